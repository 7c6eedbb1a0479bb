"""Transport to targets in memory, with latencies and failures set by the tests."""

from collections.abc import Callable
from dataclasses import dataclass, field

import eventlet

from ..clock import Clock
from ..forwarding import (
    CallerRequest,
    ProbeResult,
    RoutedTarget,
    TargetReply,
    TargetTransport,
)
from ..targets.failures import TargetFailure
from .slot_queue import SlotQueue


@dataclass(slots=True)
class FakeRoutedTarget:
    """Behaviour of one target, and the sends that reached it.

    Parameters
    ----------
    latency : callable
        Returns the seconds that a request takes.
    override : callable
        Returns a failure to raise or a reply to return instead of the default reply,
        or None.
    arrivals, ends : list of (float, str)
        Time and attempt ID of the start and of the end of each send.
    reachable : bool
        Whether probes succeed.
    displaced : bool
        Whether another process answers them.
    queue : SlotQueue or None
        Queue that processes the requests; the latency is then not used.
    """

    latency: Callable[[], float] = lambda: 0.01
    override: Callable[[], TargetFailure | TargetReply | None] = lambda: None
    arrivals: list[tuple[float, str]] = field(default_factory=list)
    ends: list[tuple[float, str]] = field(default_factory=list)
    reachable: bool = True
    displaced: bool = False
    queue: SlotQueue | None = None


class FakeTransport(TargetTransport):
    """Transport to targets in memory.

    Parameters
    ----------
    clock : Clock
        Monotonic clock.

    Attributes
    ----------
    targets : dict
        Targets by name.
    closed_idle : list of str
        Names of the targets whose idle connections were closed.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self.targets: dict[str, FakeRoutedTarget] = {}
        self.closed_idle: list[str] = []

    def get(self, name: str) -> FakeRoutedTarget:
        """Return a target; a new one gets the default behaviour."""
        return self.targets.setdefault(name, FakeRoutedTarget())

    def send(
        self,
        target: RoutedTarget,
        request: CallerRequest,
        deadline: float,
        at_most_once: bool,
    ) -> TargetReply:
        """Return the target's reply after its latency or its wait in the queue.

        Raises
        ------
        TargetFailure
            If the test has set a failure or the queue refuses the request. A failure
            that proves that the request did not run is raised without a wait.
        """
        fake = self.get(target.name)
        fake.arrivals.append((self._clock.now(), request.attempt_id))
        try:
            outcome = fake.override()
            if isinstance(outcome, TargetFailure) and outcome.proves_not_run:
                raise outcome
            if fake.queue is not None:
                if not fake.queue.serve(deadline):
                    return make_reply(target, 504)
            else:
                eventlet.sleep(fake.latency())
            if isinstance(outcome, TargetFailure):
                raise outcome
            return outcome or make_reply(target)
        finally:
            fake.ends.append((self._clock.now(), request.attempt_id))

    def has_free_connection(self, target: RoutedTarget) -> bool:
        """Return True; connections are not limited."""
        return True

    def keeps_connection(self, target: RoutedTarget) -> bool:
        """Return True; connections are not limited."""
        return True

    def probe(self, target: RoutedTarget, asks_identity: bool) -> ProbeResult:
        """Return the result that the test has set."""
        fake = self.get(target.name)
        if not fake.reachable:
            return ProbeResult.UNREACHABLE
        if asks_identity and fake.displaced:
            return ProbeResult.DISPLACED
        return ProbeResult.CONNECTED

    def pause(self, target: RoutedTarget, until: float) -> None:
        """Do nothing; no request waits for a connection."""

    def retire(self, target: RoutedTarget) -> None:
        """Record that the idle connections to a target were closed."""
        self.closed_idle.append(target.name)


def make_reply(target: RoutedTarget, status: int = 200) -> TargetReply:
    """Return a reply whose body is a single record with the target's name."""
    body = target.name.encode().ljust(16, b".")[:16]
    return TargetReply(status, ((b"Seal", b"x"),), body, f"seal-{target.name}")
