"""Ids of non-idempotent requests, which entry VMs issue."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RequestId:
    """Id of a request: the issuing VM and incarnation, and a sequence number.

    Parameters
    ----------
    vm : str
        Name of the VM that issued the id.
    incarnation : str
        Run of the daemon that issued the id.
    sequence : int
        Sequence number of the id within the incarnation.
    """

    vm: str
    incarnation: str
    sequence: int

    def __str__(self) -> str:
        return f"{self.vm}~{self.incarnation}~{self.sequence}"


def parse_request_id(text: str) -> RequestId | None:
    """Parse the text form of a request id; return None if it is malformed."""
    parts = text.split("~")
    if len(parts) != 3 or not parts[0] or not parts[1]:
        return None
    if not (parts[2].isascii() and parts[2].isdigit()) or len(parts[2]) > 18:
        return None
    return RequestId(parts[0], parts[1], int(parts[2]))
