"""Targets in memory for tests of forwarding: latencies, failures, and what ran."""

from collections.abc import Callable
from dataclasses import dataclass, field

import eventlet

from ..clock import Clock
from ..forwarding import CallerRequest, RoutedTarget, TargetReply, TargetTransport
from ..targets.failures import TargetFailure
from .slot_queue import SlotQueue


@dataclass(slots=True)
class FakeRoutedTarget:
    """One target.

    Parameters
    ----------
    latency : callable
        Returns the seconds that a request takes.
    fail : callable
        Returns the failure or reply in place of the usual reply, or None.
    queue : SlotQueue or None
        Takes the place of the latency.
    """

    latency: Callable[[], float] = lambda: 0.01
    fail: Callable[[], TargetFailure | TargetReply | None] = lambda: None
    arrivals: list[tuple[float, str]] = field(default_factory=list)
    ended: list[tuple[float, str]] = field(default_factory=list)
    reachable: bool = True
    queue: SlotQueue | None = None


class FakeTransport(TargetTransport):
    """Transport to targets in memory.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self.targets: dict[str, FakeRoutedTarget] = {}
        self.forgotten: list[str] = []

    def get(self, name: str) -> FakeRoutedTarget:
        """Return a target, new if it is not known."""
        return self.targets.setdefault(name, FakeRoutedTarget())

    def send(
        self,
        target: RoutedTarget,
        request: CallerRequest,
        deadline: float,
        at_most_once: bool,
    ) -> TargetReply:
        """Answer after the target's latency."""
        fake = self.get(target.name)
        fake.arrivals.append((self._clock.now(), request.attempt_id))
        try:
            outcome = fake.fail()
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
            fake.ended.append((self._clock.now(), request.attempt_id))

    def has_free_connection(self, target: RoutedTarget) -> bool:
        """Tell that there is always room."""
        return True

    def probe(self, target: RoutedTarget) -> bool:
        """Tell whether the target can be reached."""
        return self.get(target.name).reachable

    def close_idle(self, target: RoutedTarget) -> None:
        """Take note of a target that is not asked any more."""
        self.forgotten.append(target.name)


def make_reply(target: RoutedTarget, status: int = 200) -> TargetReply:
    """Return a reply whose body is a record that names the target."""
    body = target.name.encode().ljust(16, b".")[:16]
    return TargetReply(status, ((b"Seal", b"x"),), body, f"seal-{target.name}")
