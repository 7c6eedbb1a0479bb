"""Issuer of request ids, the only place where the request of an id may start.

An id names the VM and the incarnation that issued it. Only that incarnation runs the
request, and only while it moves the id from *issued* to *started*, which happens
once. If the incarnation is gone, the outcome of the request is unknown and no other
VM runs it, so the VMs need no consensus.
"""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

import xxhash
from eventlet.event import Event

from ..clock import Clock
from ..data import RequestId
from ..data.request_id import parse_request_id
from ..errors import (
    ExpiredIdError,
    OverloadedError,
    ReusedIdError,
    UnissuedIdError,
)
from .result import RequestResult

RETENTION_S = 900.0  # seconds from issue until an id expires
MAX_RETAINED_IDS = 200_000  # bounds memory; further ids are refused


@dataclass(slots=True)
class _RequestState:
    """State of one request id: issued, then started, then done."""

    issued_at: float
    body_hash: int | None = None
    done: Event = field(default_factory=Event)
    result: RequestResult | None = None


class RequestIdIssuer:
    """Issues request ids and runs the request of each id at most once.

    Parameters
    ----------
    vm, incarnation : str
        Name of this VM and identity of this run of its daemon; together they are
        unique.
    clock : Clock
        Source of time.
    max_ids : int
        Number of retained ids from which on no further id is issued.
    """

    def __init__(
        self, vm: str, incarnation: str, clock: Clock, max_ids=MAX_RETAINED_IDS
    ):
        self._vm = vm
        self._incarnation = incarnation
        self._clock = clock
        self._max_ids = max_ids
        self._next_sequence = 1
        self._states: OrderedDict[int, _RequestState] = OrderedDict()

    def issue(self) -> RequestId:
        """Return a new request id.

        Raises
        ------
        OverloadedError
            If ``max_ids`` ids are retained already.
        """
        self._remove_expired()
        if len(self._states) >= self._max_ids:
            raise OverloadedError(f"{self._max_ids} request ids are retained")
        sequence = self._next_sequence
        self._next_sequence += 1
        self._states[sequence] = _RequestState(self._clock.now())
        return RequestId(self._vm, self._incarnation, sequence)

    def has_issued(self, request_id: RequestId) -> bool:
        """Return True if this incarnation issued the id."""
        own_identity = (self._vm, self._incarnation)
        return (request_id.vm, request_id.incarnation) == own_identity

    def run_once(
        self, request_id: RequestId, body: bytes, execute: Callable[[], RequestResult]
    ) -> RequestResult:
        """Run the request of an id, or return the result of the first try.

        A repeat that arrives while the first try runs waits for its result.

        Parameters
        ----------
        request_id : RequestId
            Id that this incarnation issued.
        body : bytes
            Content of the request; it must be the same in each repeat.
        execute : callable
            Runs the request and returns its result; it must not raise.

        Returns
        -------
        RequestResult
            Result of the first try.

        Raises
        ------
        UnissuedIdError
            If this incarnation never issued the id.
        ExpiredIdError
            If the id was issued more than ``RETENTION_S`` ago and removed since.
        ReusedIdError
            If the first try under the id had another body.
        """
        state = self._find_state(request_id)
        body_hash = xxhash.xxh3_64_intdigest(body)
        if state.body_hash is not None:
            return self._wait_for_result(state, body_hash)
        state.body_hash = body_hash  # issued -> started: happens once for an id
        state.result = execute()
        state.done.send(None)
        return state.result

    def _wait_for_result(self, state: _RequestState, body_hash: int) -> RequestResult:
        """Return the result of the first try, after waiting for it if necessary."""
        if state.body_hash != body_hash:
            raise ReusedIdError("the request id belongs to another request")
        if state.result is None:
            state.done.wait()
        return state.result

    def _find_state(self, request_id: RequestId) -> _RequestState:
        """Return the state of an id; raise an error if it is expired or unissued."""
        self._remove_expired()
        state = self._states.get(request_id.sequence)
        if state is not None:
            return state
        if 0 < request_id.sequence < self._next_sequence:
            raise ExpiredIdError(f"request id {request_id} has expired")
        raise UnissuedIdError(f"request id {request_id} was never issued")

    def _remove_expired(self) -> None:
        """Remove expired ids, oldest first, up to the first that must be retained.

        The id of a request that still runs is retained.
        """
        oldest_retained = self._clock.now() - RETENTION_S
        while self._states:
            sequence, state = next(iter(self._states.items()))
            running = state.body_hash is not None and state.result is None
            if state.issued_at > oldest_retained or running:
                return
            del self._states[sequence]


def parse_issued_id(text: str) -> RequestId:
    """Parse the request id that a caller sent.

    Raises
    ------
    UnissuedIdError
        If the text does not have the form of an issued id.
    """
    request_id = parse_request_id(text)
    if request_id is None:
        raise UnissuedIdError(f"{text[:80]!r} is not an id that an entry VM issued")
    return request_id
