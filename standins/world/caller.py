"""Caller of the entry VMs, and the check of a search against the back ends' data."""

import itertools
from dataclasses import dataclass

import eventlet

from .back_end import RECORD_BYTES, make_body
from .http_messages import Message, MessageReader, encode_message

NO_ANSWER_STATUS = 0  # the connection ended or the caller gave up before an answer


@dataclass(frozen=True, slots=True)
class Outcome:
    """Result of one request to an entry VM.

    Parameters
    ----------
    attempt_id : str
        ID that the caller gave the request.
    status : int
        Status code, or `NO_ANSWER_STATUS`.
    answer : Message or None
        Complete answer; None if there was none.
    sent_at, ended_at : float
        Times in seconds at which the request was sent and the call returned.
    vm_address : str
        Address of the VM that got the request, as host:port.
    """

    attempt_id: str
    status: int
    answer: Message | None
    sent_at: float
    ended_at: float
    vm_address: str


class Caller:
    """Sends requests on one persistent connection, which it opens again when it ends.

    Parameters
    ----------
    name : str
        Prefix of the attempt IDs.
    host : str
        Value of the Host header.
    clock : callable
        Returns the time in seconds.
    """

    def __init__(self, name: str, host: str, clock):
        self._name = name
        self._host = host
        self._clock = clock
        self._sequence = itertools.count(1)
        self._reader: MessageReader | None = None
        self._address = None

    def call(
        self,
        address: tuple[str, int],
        path: str,
        caller_timeout: float = 2.0,
        method: str = "GET",
        body: bytes = b"",
        abandon_after: float | None = None,
    ) -> Outcome:
        """Send a request and wait for the answer.

        Parameters
        ----------
        address : (str, int)
            Address of the VM.
        path : str
            Path of the request.
        caller_timeout : float
            Time-out in seconds that the request announces to the VM.
        method : str
            HTTP method.
        body : bytes
            Body of the request.
        abandon_after : float, optional
            Seconds after which the caller closes the connection; by default one
            second after the announced time-out.
        """
        attempt_id = f"{self._name}-{next(self._sequence)}"
        headers = {
            "Host": self._host,
            "X-Attempt-Id": attempt_id,
            "X-Request-Deadline": int(caller_timeout * 1000),
        }
        sent_at = self._clock()
        answer = None
        timeout_s = abandon_after if abandon_after is not None else caller_timeout + 1.0
        with eventlet.Timeout(timeout_s, False):
            answer = self._exchange(
                address, encode_message(f"{method} {path} HTTP/1.1", headers, body)
            )
        if answer is None or answer.headers.get("connection") == "close":
            self.close()
        status = NO_ANSWER_STATUS if answer is None else answer.status
        vm_address = f"{address[0]}:{address[1]}"
        return Outcome(attempt_id, status, answer, sent_at, self._clock(), vm_address)

    def _exchange(self, address, request: bytes) -> Message | None:
        """Send a request and return the answer; None if the connection ended."""
        try:
            if self._reader is None or self._address != address:
                self.close()
                self._reader = MessageReader(eventlet.connect(address))
                self._address = address
            self._reader.sock.sendall(request)
            return self._reader.read()
        except (OSError, EOFError):
            return None

    def close(self) -> None:
        """Close the connection if there is one."""
        if self._reader is not None:
            self._reader.sock.close()
            self._reader = None


def check_search(
    outcome: Outcome,
    shard_sets: list[tuple[str, ...]],
    service_by_back_end: dict[str, str],
    top_k: int,
) -> str | None:
    """Check the answer of a successful search.

    Parameters
    ----------
    outcome : Outcome
        Result of the search, with status 200.
    shard_sets : list of tuple of str
        Shards of each configuration that may be in force.
    service_by_back_end : dict of str to str
        Service of each back end.
    top_k : int
        Number of records that the route asks for.

    Returns
    -------
    str or None
        What is wrong with the answer; None if it is correct.
    """
    headers = outcome.answer.headers
    seals = [s.strip() for s in headers.get("x-part-seals", "").split(",") if s.strip()]
    missing = int(headers.get("x-missing-parts", "0"))
    services = []
    for seal in seals:
        back_end, _, attempt_id = seal.partition(".")
        if attempt_id != outcome.attempt_id:
            return f"the answer of {seal} belongs to another request"
        services.append(service_by_back_end[back_end])
    if len(set(services)) != len(services) or not services:
        return f"no shard answered, or one answered twice: {services}"
    if not any(
        set(services) <= set(shards) and len(services) + missing == len(shards)
        for shards in shard_sets
    ):
        return f"{len(services)} shards and {missing} missing match no configuration"
    records = [
        body[start : start + RECORD_BYTES]
        for body in (make_body(service, outcome.attempt_id) for service in services)
        for start in range(0, len(body), RECORD_BYTES)
    ]
    expected = b"".join(sorted(records, reverse=True)[:top_k])
    return None if outcome.answer.body == expected else "the merged records are wrong"
