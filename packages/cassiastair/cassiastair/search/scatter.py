"""One scatter of a query over its shards at one snapshot.

The task of the query waits for the results of its attempts and for timers; each
attempt is a task of its own that speaks with one target.
"""

import heapq
import itertools
from dataclasses import dataclass

import eventlet
from eventlet.event import Event
from eventlet.greenthread import kill

from ..data import Attempt, KeyRange, MissingReason, ShardAnswer, Snapshot
from ..snapshots import AnswerMerge
from ..targets.failures import (
    BadAnswerFailure,
    ConnectFailure,
    NotHeldFailure,
    TargetFailure,
)
from ..targets.target_stats import TargetStats
from ..traces import Span
from .dependencies import SearchDependencies
from .plan import PinnedPlan
from .request import SearchRequest
from .result_queue import ResultQueue
from .shard_task import Pending, ShardTask

CANCEL_GRACE_S = 0.2  # time for a cancelled attempt to end and keep its connection
MAX_ROUNDS = 3  # times that a shard goes through all its targets
RETRY_PAUSE_S = 0.005  # lowest pause before the next round; grows and has jitter
HEDGE_PRESSURE = 0.7  # share of the tier in use above which no hedge is sent
RETRY_PRESSURE = 0.9  # the same for retries


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """The end of an attempt.

    Parameters
    ----------
    task : ShardTask
        Shard that was asked for.
    attempt : str
        Identity of the attempt.
    outcome : ShardAnswer or TargetFailure
        What came of it.
    """

    task: ShardTask
    attempt: str
    outcome: ShardAnswer | TargetFailure


class Scatter:
    """Asks one target for each shard, with hedges, probes and retries.

    Parameters
    ----------
    parts : SearchDependencies
        Collaborators.
    request : SearchRequest
        What is asked.
    pinned : PinnedPlan
        Shards to ask and the snapshot that they must answer from.
    should_restart : callable
        Asked when a shard's targets do not hold the snapshot; a yes ends the
        scatter early.
    """

    def __init__(self, parts, request, pinned, should_restart):
        self._parts: SearchDependencies = parts
        self._request: SearchRequest = request
        self._pinned: PinnedPlan = pinned
        self._snapshot: Snapshot = pinned.snapshot
        self._should_restart = should_restart
        self._results = ResultQueue()
        self._timers: list = []
        self._order = itertools.count()
        self.merge = AnswerMerge(pinned.snapshot, pinned.plan.services)
        shards = pinned.plan.shards
        self._tasks = [ShardTask(p.service, p.shard, p.tail) for p in shards]
        self._open = len(self._tasks)
        self.subrequests = 0
        self.aborted = False

    def run(self) -> None:
        """Ask until every shard has ended, the deadline comes, or a restart is due."""
        try:
            for task, holders in zip(self._tasks, self._pinned.holders, strict=True):
                self._start(task, holders)
            while self._open and not self.aborted:
                if not self._step():
                    return
        finally:
            self._results.close()
            self._abandon_pending()

    def reasons(self) -> dict[tuple[str, KeyRange], MissingReason]:
        """Return why shards are missing."""
        return {
            (task.service, task.shard): task.reason
            for task in self._tasks
            if task.reason is not None
        }

    def _step(self) -> bool:
        """Handle the next result or timer; False at the deadline."""
        due = self._request.deadline
        if self._timers:
            due = min(due, self._timers[0][0])
        result = self._results.get(due, self._parts.clock.now())
        if result is None:
            return self._fire_timer()
        self._handle(result)
        return True

    def _fire_timer(self) -> bool:
        """Run the timer that is due; False at the deadline."""
        now = self._parts.clock.now()
        if now >= self._request.deadline:
            return False
        if self._timers and self._timers[0][0] <= now:
            _, _, action, task = heapq.heappop(self._timers)
            if not task.ended:
                action(task)
        return True

    def _set_timer(self, delay: float, action, task: ShardTask) -> None:
        """Call an action for a task after some seconds."""
        at = self._parts.clock.now() + delay
        heapq.heappush(self._timers, (at, next(self._order), action, task))

    def _start(self, task: ShardTask, holders: tuple[TargetStats, ...]) -> None:
        """Send the first attempt of a shard."""
        task.started = self._parts.clock.now()
        task.tail.hedge.record_subrequests(1)
        task.tail.retries.deposit(1)
        if not holders:
            self._end_without_target(task)
            return
        chosen = self._parts.chooser.choose(holders)
        self._send(task, chosen, "first")
        if len(holders) > 1:
            self._cover(task, holders, chosen)

    def _cover(self, task: ShardTask, holders, chosen: TargetStats) -> None:
        """Send a probe that is due, and set the time of the hedge."""
        probe = self._parts.chooser.find_probe(holders)
        if probe is not None and probe is not chosen and task.tail.hedge.try_hedge():
            self._send(task, probe, "probe")
        delay = task.tail.hedge.delay()
        if delay is not None:
            self._set_timer(delay, self._hedge, task)

    def _find_untried(self, task: ShardTask) -> list[TargetStats]:
        """Return the targets that may answer for a shard and were not asked yet."""
        held = self._parts.held
        return [
            candidate
            for candidate in self._parts.registry.candidates(task.service, task.shard)
            if candidate.name not in task.tried
            and held.may_hold(candidate.name, self._snapshot)
        ]

    def _end_without_target(self, task: ShardTask) -> None:
        """End a shard that nobody can be asked for."""
        known = self._parts.registry.candidates(task.service, task.shard)
        self._end(task, MissingReason.NOT_HELD if known else MissingReason.NO_TARGET)

    def _send(self, task: ShardTask, evidence: TargetStats, kind: str) -> None:
        """Start an attempt."""
        parts = self._parts
        trace = self._request.trace.child(parts.rng)
        attempt = Attempt(
            attempt_id=trace.span_id,
            service=task.service,
            snapshot=self._snapshot,
            key_range=task.shard,
            query=self._request.query,
            deadline=self._request.deadline,
            traceparent=trace.traceparent,
        )
        pending = Pending(evidence, parts.clock.now(), trace, kind)
        task.tried.add(evidence.name)
        task.pending[attempt.attempt_id] = pending
        self.subrequests += 1
        pending.thread = eventlet.spawn_n(self._run_attempt, task, pending, attempt)

    def _run_attempt(self, task: ShardTask, pending: Pending, attempt: Attempt) -> None:
        """Speak with one target and report the result."""
        try:
            outcome = self._ask(pending, attempt)
        except TargetFailure as failure:
            outcome = failure
        self._results.put(AttemptResult(task, attempt.attempt_id, outcome))
        if pending.ended is not None:
            pending.ended.send(None)

    def _ask(self, pending: Pending, attempt: Attempt) -> ShardAnswer:
        """Wait for a place at the target, then ask it."""
        gate = pending.evidence.limiter
        gate.acquire()
        try:
            pending.sent = self._parts.clock.now()
            return self._parts.client.read(pending.evidence.target, attempt)
        finally:
            gate.release()

    def _handle(self, result: AttemptResult) -> None:
        """Take the end of an attempt."""
        task = result.task
        pending = task.pending.pop(result.attempt, None)
        if pending is None:
            return  # an abandoned attempt that ended after all
        latency = self._parts.clock.now() - pending.started
        outcome = result.outcome
        if isinstance(outcome, ShardAnswer) and not self._is_own(task, outcome, result):
            outcome = BadAnswerFailure("the answer does not fit the attempt")
        if isinstance(outcome, ShardAnswer):
            self._answered(task, pending, outcome, latency)
        else:
            self._failed(task, pending, outcome, latency)

    def _is_own(self, task: ShardTask, answer: ShardAnswer, result) -> bool:
        """Tell whether an answer echoes what was asked."""
        return (
            answer.attempt_id == result.attempt
            and answer.service == task.service
            and (answer.key_range is task.shard or answer.key_range == task.shard)
            and (answer.snapshot is self._snapshot or answer.snapshot == self._snapshot)
        )

    def _answered(self, task, pending: Pending, answer: ShardAnswer, latency) -> None:
        """Take an answer."""
        waited = pending.sent - pending.started
        self._parts.observer.record_answer(pending.evidence, answer, latency - waited)
        self._trace(pending, latency, "ok")
        if task.ended:
            return
        task.tail.hedge.observe(self._parts.clock.now() - task.started)
        fitted = self.merge.add(answer)
        self._end(task, None if fitted else MissingReason.BAD_ANSWER)

    def _end(self, task: ShardTask, reason: MissingReason | None) -> None:
        """End a shard; what is still under way for it is not wanted any more."""
        task.ended = True
        task.reason = reason
        self._open -= 1
        self._abandon(task)
        if reason is MissingReason.NOT_HELD and self._should_restart(self._snapshot):
            self.aborted = True

    def _failed(self, task, pending: Pending, failure: TargetFailure, latency) -> None:
        """Take a failure: ask another target, or wait for the one still asked."""
        self._parts.observer.record_failure(pending.evidence, failure)
        self._trace(pending, latency, type(failure).__name__)
        if task.ended:
            return
        task.reason = failure.reason
        if task.pending:
            return
        free = isinstance(failure, (ConnectFailure, NotHeldFailure))
        if free or self._may_retry(task):
            self._retry(task)
        else:
            self._end(task, failure.reason)

    def _may_retry(self, task: ShardTask) -> bool:
        """Spend a retry of the service's budget, unless the tier is nearly full."""
        if self._parts.admission.utilization > RETRY_PRESSURE:
            return False
        return task.tail.retries.try_spend()

    def _retry(self, task: ShardTask) -> None:
        """Ask another target, or start over after a pause when all were asked."""
        candidates = self._find_untried(task)
        if candidates:
            self._send(task, self._parts.chooser.choose(candidates), "retry")
            return
        task.rounds += 1
        if task.reason is MissingReason.NOT_HELD or task.rounds >= MAX_ROUNDS:
            self._end(task, task.reason)
            return
        pause = RETRY_PAUSE_S * 2**task.rounds * (0.5 + self._parts.rng.random())
        self._set_timer(pause, self._start_over, task)

    def _start_over(self, task: ShardTask) -> None:
        """Ask the targets of a shard again."""
        task.tried.clear()
        candidates = self._find_untried(task)
        if candidates:
            self._send(task, self._parts.chooser.choose(candidates), "retry")
        else:
            self._end_without_target(task)

    def _hedge(self, task: ShardTask) -> None:
        """Ask a second target for a shard that is late."""
        if self._parts.admission.utilization > HEDGE_PRESSURE:
            return
        candidates = [c for c in self._find_untried(task) if not c.down]
        if candidates and task.tail.hedge.try_hedge():
            self._send(task, self._parts.chooser.choose(candidates), "hedge")

    def _abandon_pending(self) -> None:
        """Abandon all attempts that are still under way."""
        for task in self._tasks:
            self._abandon(task)

    def _abandon(self, task: ShardTask) -> None:
        """Cancel a shard's attempts; their late answers are dropped."""
        now = self._parts.clock.now()
        for attempt, pending in task.pending.items():
            if pending.sent is not None:
                pending.evidence.record_abandoned(now - pending.sent)
                eventlet.spawn_n(self._cancel, attempt, pending)
            else:
                kill(pending.thread)
            self._trace(pending, now - pending.started, "abandoned")
        task.pending.clear()

    def _cancel(self, attempt: str, pending: Pending) -> None:
        """Tell a target, then close the connection if no answer ends the attempt."""
        pending.ended = Event()
        with eventlet.Timeout(CANCEL_GRACE_S, False):
            self._parts.client.cancel(pending.evidence.target, attempt)
            pending.ended.wait()
            return
        kill(pending.thread)

    def _trace(self, pending: Pending, duration: float, result: str) -> None:
        """Record the span of an attempt."""
        detail = (
            ("target", pending.evidence.name),
            ("kind", pending.kind),
            ("result", result),
        )
        span = Span(pending.trace, "subrequest", pending.started, duration, detail)
        self._parts.tracer.record(span)
