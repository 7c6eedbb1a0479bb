"""In-memory targets behind the client's interface, with faults and an oracle."""

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

import eventlet
from eventlet.event import Event

from ..data import Attempt, HeldVersions, KeyRange, ShardAnswer, Snapshot, Target
from ..targets import (
    BrokenFailure,
    ConnectFailure,
    NotHeldFailure,
    RefusedFailure,
    TargetClient,
    TargetReport,
)

KEY_STEP = 2**26  # a record stands at every multiple of it
DEFAULT_LATENCY_S = 0.005


@dataclass
class FakeTarget:
    """Behaviour of one target; tests change the fields while it runs.

    Parameters
    ----------
    held : tuple of HeldVersions
        Versions that it holds.
    latency : callable
        Time of an answer in seconds.
    fault : str
        Empty, or ``connect``, ``broken``, ``silent``, ``shed``, ``draining``.
    spoil : callable
        Changes an answer before it is sent.
    """

    held: tuple[HeldVersions, ...] = (HeldVersions(1, 1, 3),)
    latency: Callable[[], float] = lambda: DEFAULT_LATENCY_S
    fault: str = ""
    spoil: Callable[[ShardAnswer], ShardAnswer] = lambda answer: answer
    incarnation: str = "run-1"
    load: float = 0.0
    executions: Counter = field(default_factory=Counter)
    asked: int = 0
    cancelled: int = 0
    in_progress: int = 0
    highest_in_progress: int = 0


def find_expected(service: str, key_range: KeyRange, version: int) -> tuple:
    """Return the records that a correct answer holds: the oracle."""
    first = -(-key_range.start // KEY_STEP)
    return tuple(
        (service, position * KEY_STEP, f"{service}@{version}")
        for position in range(first, -(-key_range.end // KEY_STEP))
    )


class FakeTargets(TargetClient):
    """Client whose targets live in memory.

    Parameters
    ----------
    source : random.Random
        Source of random numbers for latencies.
    """

    def __init__(self, source: random.Random | None = None):
        self.targets: dict[str, FakeTarget] = {}
        self.source = source or random.Random(1)
        self._pending: dict[str, Event] = {}

    def get(self, name: str) -> FakeTarget:
        """Return a target's behaviour, the usual one at first."""
        return self.targets.setdefault(name, FakeTarget())

    def read(self, target: Target, attempt: Attempt) -> ShardAnswer:
        """Answer a read after the target's latency."""
        fake = self.get(target.name)
        fake.asked += 1
        fake.in_progress += 1
        fake.highest_in_progress = max(fake.highest_in_progress, fake.in_progress)
        try:
            self._fail(fake)
            self._wait(fake, attempt.attempt_id)
            return self._answer(fake, target, attempt)
        finally:
            fake.in_progress -= 1

    def _fail(self, fake: FakeTarget) -> None:
        """Fail as the target's fault says."""
        if fake.fault == "connect":
            raise ConnectFailure("connection refused")
        if fake.fault == "broken":
            eventlet.sleep(fake.latency())
            raise BrokenFailure("connection reset")
        if fake.fault in ("shed", "draining"):
            raise RefusedFailure("refused", fake.fault, fake.incarnation)
        if fake.fault == "silent":
            eventlet.sleep(3600)

    def _wait(self, fake: FakeTarget, attempt: str) -> None:
        """Wait for the latency, or until the attempt is cancelled."""
        event = self._pending[attempt] = Event()
        try:
            with eventlet.Timeout(fake.latency(), False):
                event.wait()
                fake.cancelled += 1
                raise RefusedFailure("cancelled", "cancelled", fake.incarnation)
        finally:
            del self._pending[attempt]

    def _answer(self, fake: FakeTarget, target: Target, attempt: Attempt):
        """Return the answer that the target gives now."""
        snapshot = attempt.snapshot
        if not any(span.holds(snapshot) for span in fake.held):
            raise NotHeldFailure("not held", fake.held)
        answer = ShardAnswer(
            attempt_id=attempt.attempt_id,
            service=target.service,
            snapshot=Snapshot(snapshot.version, snapshot.epoch),
            key_range=attempt.key_range,
            records=find_expected(target.service, attempt.key_range, snapshot.version),
            held_versions=fake.held,
            incarnation=fake.incarnation,
            load=fake.load,
        )
        return fake.spoil(answer)

    def cancel(self, target: Target, attempt: str) -> None:
        """Cancel an attempt."""
        event = self._pending.get(attempt)
        if event is not None and not event.ready():
            event.send(None)

    def write(self, target: Target, attempt: Attempt, request_id: str) -> dict:
        """Run a non-idempotent request and count the execution."""
        fake = self.get(target.name)
        if fake.fault in ("connect", "shed", "draining"):
            self._fail(fake)
        fake.executions[request_id] += 1
        if fake.fault:
            raise BrokenFailure("connection reset")
        return {"noted": True}

    def fetch_report(self, target: Target, timeout: float) -> TargetReport:
        """Return a target's report."""
        fake = self.get(target.name)
        if fake.fault in ("connect", "silent"):
            raise ConnectFailure("connection refused")
        serving = fake.fault != "draining"
        return TargetReport(fake.incarnation, serving, fake.load, fake.held)
