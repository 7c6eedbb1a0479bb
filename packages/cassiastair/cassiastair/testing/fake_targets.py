"""Targets in memory with faults, and the records of correct answers."""

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
from ..targets.notice import TargetNotice

KEY_STEP = 2**26  # each service has one record at every multiple of this key
DEFAULT_LATENCY_S = 0.005


@dataclass
class FakeTarget:
    """Behaviour and counters of one target; tests change the fields at any time.

    Parameters
    ----------
    held : tuple of HeldVersions
        Data versions that the target holds.
    latency : callable
        Returns the latency of an answer in seconds.
    fault : str
        Empty, or how the target fails: ``connect`` refuses connections, ``broken``
        resets them after the latency, ``silent`` never answers, ``shed`` and
        ``draining`` refuse requests with that code.
    alter_answer : callable
        Alters an answer before it is returned.
    incarnation : str
        Name of the target's run.
    load : float
        Load that the target reports.
    pause : float or None
        Time in seconds that a refusal names; None if it names none.
    executions : Counter
        Number of executions of each non-idempotent request, by request ID.
    reads : int
        Number of subrequests received.
    cancelled : int
        Number of subrequests that were cancelled.
    in_progress, highest_in_progress : int
        Number of subrequests in progress, now and at most so far.
    """

    held: tuple[HeldVersions, ...] = (HeldVersions(1, 1, 3),)
    latency: Callable[[], float] = lambda: DEFAULT_LATENCY_S
    fault: str = ""
    alter_answer: Callable[[ShardAnswer], ShardAnswer] = lambda answer: answer
    incarnation: str = "run-1"
    load: float = 0.0
    pause: float | None = None
    executions: Counter = field(default_factory=Counter)
    reads: int = 0
    cancelled: int = 0
    in_progress: int = 0
    highest_in_progress: int = 0


def list_expected_records(service: str, key_range: KeyRange, version: int) -> tuple:
    """Return the records that a correct answer contains.

    Parameters
    ----------
    service : str
        Service that is searched.
    key_range : KeyRange
        Keys of the shard.
    version : int
        Data version of the snapshot.
    """
    first = -(-key_range.start // KEY_STEP)
    return tuple(
        (service, position * KEY_STEP, f"{service}@{version}")
        for position in range(first, -(-key_range.end // KEY_STEP))
    )


class FakeTargets(TargetClient):
    """Client that answers requests from targets in memory.

    Parameters
    ----------
    rng : random.Random, optional
        Random number generator for tests that set random latencies.
    """

    def __init__(self, rng: random.Random | None = None):
        self.targets: dict[str, FakeTarget] = {}
        self.rng = rng or random.Random(1)
        self._pending: dict[str, Event] = {}

    def get(self, name: str) -> FakeTarget:
        """Return the behaviour of a target; a new target gets the default one."""
        return self.targets.setdefault(name, FakeTarget())

    def read(self, target: Target, attempt: Attempt) -> ShardAnswer:
        """Return the answer to a subrequest after the target's latency.

        Raises
        ------
        TargetFailure
            If the target has a fault, does not hold the snapshot, or the attempt is
            cancelled.
        """
        fake = self.get(target.name)
        fake.reads += 1
        fake.in_progress += 1
        fake.highest_in_progress = max(fake.highest_in_progress, fake.in_progress)
        try:
            self._raise_fault(fake)
            self._wait(fake, attempt.attempt_id)
            return self._make_answer(fake, target, attempt)
        finally:
            fake.in_progress -= 1

    def _raise_fault(self, fake: FakeTarget) -> None:
        """Raise the failure of the target's fault, if any; a silent target sleeps."""
        if fake.fault == "connect":
            raise ConnectFailure("connection refused")
        if fake.fault == "broken":
            eventlet.sleep(fake.latency())
            raise BrokenFailure("connection reset")
        if fake.fault in ("shed", "draining"):
            notice = TargetNotice(leaving=fake.fault == "draining", pause=fake.pause)
            raise RefusedFailure("refused", fake.fault, fake.incarnation, notice)
        if fake.fault == "silent":
            eventlet.sleep(3600)

    def _wait(self, fake: FakeTarget, attempt_id: str) -> None:
        """Wait for the latency; raise a refusal if the attempt is cancelled."""
        event = self._pending[attempt_id] = Event()
        try:
            with eventlet.Timeout(fake.latency(), False):
                event.wait()
                fake.cancelled += 1
                raise RefusedFailure("cancelled", "cancelled", fake.incarnation)
        finally:
            del self._pending[attempt_id]

    def _make_answer(self, fake: FakeTarget, target: Target, attempt: Attempt):
        """Return the answer to an attempt, altered as the target's behaviour says."""
        snapshot = attempt.snapshot
        if not any(versions.holds(snapshot) for versions in fake.held):
            raise NotHeldFailure("not held", fake.held)
        answer = ShardAnswer(
            attempt_id=attempt.attempt_id,
            service=target.service,
            snapshot=Snapshot(snapshot.version, snapshot.epoch),
            key_range=attempt.key_range,
            records=list_expected_records(
                target.service, attempt.key_range, snapshot.version
            ),
            held_versions=fake.held,
            incarnation=fake.incarnation,
            load=fake.load,
        )
        return fake.alter_answer(answer)

    def cancel(self, target: Target, attempt_id: str) -> None:
        """Cancel the attempt with an ID if it is in progress."""
        event = self._pending.get(attempt_id)
        if event is not None and not event.ready():
            event.send(None)

    def write(self, target: Target, attempt: Attempt, request_id: str) -> dict:
        """Count an execution of a non-idempotent request and return its result.

        Raises
        ------
        TargetFailure
            If the target has a fault. It has run the request unless the fault is
            ``connect``, ``shed`` or ``draining``.
        """
        fake = self.get(target.name)
        if fake.fault in ("connect", "shed", "draining"):
            self._raise_fault(fake)
        fake.executions[request_id] += 1
        if fake.fault:
            raise BrokenFailure("connection reset")
        return {"noted": True}

    def fetch_report(self, target: Target, timeout: float) -> TargetReport:
        """Return the report of a target.

        Raises
        ------
        ConnectFailure
            If the target's fault is ``connect`` or ``silent``.
        """
        fake = self.get(target.name)
        if fake.fault in ("connect", "silent"):
            raise ConnectFailure("connection refused")
        serving = fake.fault != "draining"
        return TargetReport(fake.incarnation, serving, fake.load, fake.held)
