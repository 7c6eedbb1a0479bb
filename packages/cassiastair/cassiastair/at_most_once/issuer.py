"""Issuer of request ids: the one place where a request under an id may start.

An id names the VM and the incarnation that issued it. Only that incarnation ever
runs the request, and it runs an id only by moving it from *issued* to *started*,
which happens once. If the incarnation is gone the outcome is unknown and nobody
runs the id, so no agreement between VMs is needed.
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

RETENTION_S = 900.0  # time from issue until an id is forgotten
MAX_IDS = 200_000  # ids remembered; issuing is refused beyond


@dataclass(slots=True)
class _Slot:
    """State of one id: issued, then started, then done."""

    issued_at: float
    body_hash: int | None = None
    done: Event = field(default_factory=Event)
    result: RequestResult | None = None


class RequestIdIssuer:
    """Issues ids and runs each at most once.

    Parameters
    ----------
    vm, incarnation : str
        Identity of this run of the daemon, unique among all runs.
    clock : Clock
        Source of time.
    max_ids : int
        Ids remembered at most.
    """

    def __init__(self, vm: str, incarnation: str, clock: Clock, max_ids=MAX_IDS):
        self._vm = vm
        self._incarnation = incarnation
        self._clock = clock
        self._max_ids = max_ids
        self._next = 1
        self._slots: OrderedDict[int, _Slot] = OrderedDict()

    def issue(self) -> RequestId:
        """Return a new id.

        Raises
        ------
        OverloadedError
            If too many ids are remembered already.
        """
        self._forget_old()
        if len(self._slots) >= self._max_ids:
            raise OverloadedError(f"{self._max_ids} request ids are in use")
        sequence = self._next
        self._next += 1
        self._slots[sequence] = _Slot(self._clock.now())
        return RequestId(self._vm, self._incarnation, sequence)

    def owns(self, request_id: RequestId) -> bool:
        """Tell whether this incarnation issued an id."""
        own = (self._vm, self._incarnation)
        return (request_id.vm, request_id.incarnation) == own

    def run_once(
        self, request_id: RequestId, body: bytes, run: Callable[[], RequestResult]
    ) -> RequestResult:
        """Run a request under its id, or return what the first try gave.

        A repeat that comes while the first try runs waits for its outcome.

        Parameters
        ----------
        request_id : RequestId
            Id that this incarnation issued.
        body : bytes
            The request; a repeat must bring the same.
        run : callable
            Runs the request and returns its record; it must not raise.

        Raises
        ------
        UnissuedIdError
            If this incarnation never issued the id.
        ExpiredIdError
            If the id was issued too long ago.
        ReusedIdError
            If the id was used before with another request.
        """
        slot = self._find(request_id)
        body_hash = xxhash.xxh3_64_intdigest(body)
        if slot.body_hash is not None:
            return self._repeat(slot, body_hash)
        slot.body_hash = body_hash  # issued -> started: happens once for an id
        slot.result = run()
        slot.done.send(None)
        return slot.result

    def _repeat(self, slot: _Slot, body_hash: int) -> RequestResult:
        """Return the record of the first try, once there is one."""
        if slot.body_hash != body_hash:
            raise ReusedIdError("the request id belongs to another request")
        if slot.result is None:
            slot.done.wait()
        return slot.result

    def _find(self, request_id: RequestId) -> _Slot:
        """Return the slot of an id."""
        self._forget_old()
        slot = self._slots.get(request_id.sequence)
        if slot is not None:
            return slot
        if 0 < request_id.sequence < self._next:
            raise ExpiredIdError(f"request id {request_id} has expired")
        raise UnissuedIdError(f"request id {request_id} was never issued")

    def _forget_old(self) -> None:
        """Drop ids that have expired; a request that still runs is kept."""
        limit = self._clock.now() - RETENTION_S
        while self._slots:
            sequence, slot = next(iter(self._slots.items()))
            running = slot.body_hash is not None and slot.result is None
            if slot.issued_at > limit or running:
                return
            del self._slots[sequence]


def parse_issued_id(text: str) -> RequestId:
    """Parse a caller's request id.

    Raises
    ------
    UnissuedIdError
        If the caller made the id up.
    """
    request_id = parse_request_id(text)
    if request_id is None:
        raise UnissuedIdError(f"{text[:80]!r} is not an id that an entry VM issued")
    return request_id
