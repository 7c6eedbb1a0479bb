"""A caller of the entry VMs, who checks what it gets against the back ends."""

import itertools
from dataclasses import dataclass

import eventlet

from .back_end import RECORD_BYTES, make_body
from .http import Message, Wire, write_message

CLOSED = 0  # status of a request whose connection ended without an answer


@dataclass(frozen=True, slots=True)
class Outcome:
    """What came of one request.

    Parameters
    ----------
    attempt : str
        Its identity.
    status : int
        Status, or `CLOSED`.
    answer : Message or None
        The whole answer.
    sent, ended : float
        Times in seconds.
    vm : str
        VM that was asked.
    """

    attempt: str
    status: int
    answer: Message | None
    sent: float
    ended: float
    vm: str


class Caller:
    """Sends requests on one kept connection, opened anew when it ends.

    Parameters
    ----------
    name : str
        Part of the identities of its requests.
    host : str
        Host header.
    clock : callable
        Returns the time in seconds.
    """

    def __init__(self, name: str, host: str, clock):
        self._name = name
        self._host = host
        self._clock = clock
        self._numbers = itertools.count(1)
        self._wire: Wire | None = None
        self._address = None

    def call(
        self,
        address: tuple[str, int],
        path: str,
        patience: float = 2.0,
        method: str = "GET",
        body: bytes = b"",
        give_up: float | None = None,
    ) -> Outcome:
        """Send a request and wait for the answer.

        Parameters
        ----------
        address : (str, int)
            VM to ask.
        path : str
            Path of the request.
        patience : float
            Seconds that the caller says it will wait.
        method : str
            Method.
        body : bytes
            Body.
        give_up : float, optional
            Seconds after which the caller leaves without a word.
        """
        attempt = f"{self._name}-{next(self._numbers)}"
        headers = {
            "Host": self._host,
            "X-Attempt-Id": attempt,
            "X-Request-Deadline": int(patience * 1000),
        }
        sent = self._clock()
        answer = None
        limit = give_up if give_up is not None else patience + 1.0
        with eventlet.Timeout(limit, False):
            answer = self._exchange(
                address, write_message(f"{method} {path} HTTP/1.1", headers, body)
            )
        if answer is None or answer.headers.get("connection") == "close":
            self.close()
        status = CLOSED if answer is None else answer.status
        vm = f"{address[0]}:{address[1]}"
        return Outcome(attempt, status, answer, sent, self._clock(), vm)

    def _exchange(self, address, request: bytes) -> Message | None:
        """Send bytes and read an answer; None if the connection ended."""
        try:
            if self._wire is None or self._address != address:
                self.close()
                self._wire = Wire(eventlet.connect(address))
                self._address = address
            self._wire.sock.sendall(request)
            return self._wire.read()
        except (OSError, EOFError):
            return None

    def close(self) -> None:
        """Close the connection."""
        if self._wire is not None:
            self._wire.sock.close()
            self._wire = None


def check_search(
    outcome: Outcome, sets: list[tuple[str, ...]], owners: dict[str, str], top: int
) -> str | None:
    """Return what is wrong with a successful search, if anything.

    Parameters
    ----------
    outcome : Outcome
        The search.
    sets : list of tuple of str
        Shards of each configuration that may be in force.
    owners : dict of str to str
        Service of each back end.
    top : int
        Records that are asked for.
    """
    headers = outcome.answer.headers
    seals = [s.strip() for s in headers.get("x-part-seals", "").split(",") if s.strip()]
    missing = int(headers.get("x-missing-parts", "0"))
    services = []
    for seal in seals:
        back_end, _, attempt = seal.partition(".")
        if attempt != outcome.attempt:
            return f"part {seal} answers another request"
        services.append(owners[back_end])
    if len(set(services)) != len(services) or not services:
        return f"parts of {services}"
    if not any(
        set(services) <= set(shards) and len(services) + missing == len(shards)
        for shards in sets
    ):
        return f"{len(services)} parts and {missing} missing fit no configuration"
    records = [
        body[start : start + RECORD_BYTES]
        for body in (make_body(service, outcome.attempt) for service in services)
        for start in range(0, len(body), RECORD_BYTES)
    ]
    expected = b"".join(sorted(records, reverse=True)[:top])
    return None if outcome.answer.body == expected else "wrong records"
