"""Identities of non-idempotent requests, issued by an entry VM."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RequestId:
    """An issued identity: the issuer's incarnation and a number within it.

    Parameters
    ----------
    vm : str
        Name of the VM that issued it.
    incarnation : str
        Run of the daemon that issued it.
    sequence : int
        Number within the incarnation.
    """

    vm: str
    incarnation: str
    sequence: int

    def __str__(self) -> str:
        return f"{self.vm}~{self.incarnation}~{self.sequence}"


def parse_request_id(text: str) -> RequestId | None:
    """Parse an issued identity; None if the text is not of that form."""
    parts = text.split("~")
    if len(parts) != 3 or not parts[0] or not parts[1]:
        return None
    if not (parts[2].isascii() and parts[2].isdigit()) or len(parts[2]) > 18:
        return None
    return RequestId(parts[0], parts[1], int(parts[2]))
