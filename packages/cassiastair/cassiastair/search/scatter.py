"""Scatter of one query over its shards at one snapshot.

The main greenlet of the query handles the results of attempts and the timers. Each
attempt runs in a greenlet of its own and sends one subrequest to one target.
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
    NotSentFailure,
    TargetFailure,
)
from ..targets.registry import find_unpaused
from ..targets.target_stats import TargetStats
from ..traces import Span
from .dependencies import SearchDependencies
from .plan import PinnedPlan
from .request import SearchRequest
from .result_queue import ResultQueue
from .shard_task import PendingAttempt, ShardTask

CANCEL_GRACE_S = 0.2  # time for a cancelled attempt to end before it is killed
MAX_ROUNDS = 3  # times that a shard tries all its targets
BASE_RETRY_PAUSE_S = 0.005  # base of the exponential backoff between rounds
MAX_HEDGE_UTILIZATION = 0.7  # no hedges above this share of the admission limit
MAX_RETRY_UTILIZATION = 0.9  # no retries that cost budget above this share


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """Outcome of an attempt, as the attempt's greenlet reports it.

    Parameters
    ----------
    task : ShardTask
        Shard that the attempt belongs to.
    attempt_id : str
        ID of the attempt.
    outcome : ShardAnswer or TargetFailure
        The answer, or why there is none.
    """

    task: ShardTask
    attempt_id: str
    outcome: ShardAnswer | TargetFailure


class Scatter:
    """Sends a query to one target of each shard, with hedges, probes and retries.

    Parameters
    ----------
    dependencies : SearchDependencies
        Objects that all searches share.
    request : SearchRequest
        Query and deadline.
    pinned : PinnedPlan
        Shards to query and the snapshot that they must answer from.
    should_restart : callable
        Called with the snapshot when no target of a shard holds it. The scatter is
        aborted if it returns True.

    Attributes
    ----------
    merge : AnswerMerge
        Answers that have arrived.
    subrequests : int
        Number of subrequests sent so far.
    aborted : bool
        Whether the scatter ended early because another snapshot is better.
    """

    def __init__(self, dependencies, request, pinned, should_restart):
        self._deps: SearchDependencies = dependencies
        self._request: SearchRequest = request
        self._pinned: PinnedPlan = pinned
        self._snapshot: Snapshot = pinned.snapshot
        self._should_restart = should_restart
        self._result_queue = ResultQueue()
        self._timers: list = []
        self._timer_sequence = itertools.count()
        self.merge = AnswerMerge(pinned.snapshot, pinned.plan.services)
        shards = pinned.plan.shards
        self._tasks = [
            ShardTask(plan.service, plan.shard, plan.tail_tolerance) for plan in shards
        ]
        self._unfinished = len(self._tasks)
        self.subrequests = 0
        self.aborted = False

    def run(self) -> None:
        """Run until every shard has ended, the deadline passes, or a restart is due."""
        try:
            for task, holders in zip(self._tasks, self._pinned.holders, strict=True):
                self._start_shard(task, holders)
            while self._unfinished and not self.aborted:
                if not self._handle_next():
                    return
        finally:
            self._result_queue.close()
            self._timers.clear()  # they refer to this scatter, which has the answers
            self._abandon_all()

    def missing_reasons(self) -> dict[tuple[str, KeyRange], MissingReason]:
        """Return the last failure reason of each shard, by service and key range."""
        return {
            (task.service, task.shard): task.reason
            for task in self._tasks
            if task.reason is not None
        }

    def _handle_next(self) -> bool:
        """Wait for a result or timer and handle it; return False at the deadline."""
        due_at = self._request.deadline
        if self._timers:
            due_at = min(due_at, self._timers[0][0])
        result = self._result_queue.get(due_at, self._deps.clock.now())
        if result is None:
            return self._run_due_timer()
        self._handle_result(result)
        return True

    def _run_due_timer(self) -> bool:
        """Run the first timer if it is due; return False at the deadline."""
        now = self._deps.clock.now()
        if now >= self._request.deadline:
            return False
        if self._timers and self._timers[0][0] <= now:
            _, _, action, task = heapq.heappop(self._timers)
            if not task.ended:
                action(task)
        return True

    def _set_timer(self, delay: float, action, task: ShardTask) -> None:
        """Call an action with a task after some seconds, unless the task has ended."""
        due_at = self._deps.clock.now() + delay
        heapq.heappush(self._timers, (due_at, next(self._timer_sequence), action, task))

    def _start_shard(self, task: ShardTask, holders: tuple[TargetStats, ...]) -> None:
        """Send the first attempt of a shard, to one of the holders of the snapshot."""
        task.started_at = self._deps.clock.now()
        task.tail_tolerance.hedge.record_subrequests(1)
        task.tail_tolerance.retries.deposit(1)
        holders = find_unpaused(holders, task.started_at)
        if not holders:
            self._finish_without_target(task)
            return
        chosen = self._deps.chooser.choose(holders)
        self._send(task, chosen, "first")
        if len(holders) > 1:
            self._probe_and_schedule_hedge(task, holders, chosen)

    def _probe_and_schedule_hedge(
        self, task: ShardTask, holders, chosen: TargetStats
    ) -> None:
        """Send a probe to a slow target if one is due, and schedule the hedge.

        A probe spends the hedge budget, since it also adds a subrequest.
        """
        probe = self._deps.chooser.find_probe(holders)
        if (
            probe is not None
            and probe is not chosen
            and task.tail_tolerance.hedge.try_hedge()
        ):
            self._send(task, probe, "probe")
        delay = task.tail_tolerance.hedge.delay()
        if delay is not None:
            self._set_timer(delay, self._send_hedge, task)

    def _find_untried(self, task: ShardTask) -> list[TargetStats]:
        """Return the targets not tried this round that may hold the snapshot."""
        held = self._deps.held_versions
        registered = self._deps.registry.candidates(task.service, task.shard)
        return [
            candidate
            for candidate in find_unpaused(registered, self._deps.clock.now())
            if candidate.name not in task.tried
            and held.may_hold(candidate.name, self._snapshot)
        ]

    def _finish_without_target(self, task: ShardTask) -> None:
        """End a shard for which no target can be tried."""
        registered = self._deps.registry.candidates(task.service, task.shard)
        reason = MissingReason.NOT_HELD if registered else MissingReason.NO_TARGET
        if len(find_unpaused(registered, self._deps.clock.now())) < len(registered):
            reason = MissingReason.OVERLOADED
        self._finish(task, reason)

    def _send(self, task: ShardTask, stats: TargetStats, kind: str) -> None:
        """Start an attempt at a target in a new greenlet."""
        deps = self._deps
        trace = self._request.trace.child(deps.rng)
        attempt = Attempt(
            attempt_id=trace.span_id,
            service=task.service,
            snapshot=self._snapshot,
            key_range=task.shard,
            query=self._request.query,
            deadline=self._request.deadline,
            traceparent=trace.traceparent,
        )
        pending = PendingAttempt(stats, deps.clock.now(), trace, kind)
        task.tried.add(stats.name)
        task.pending[attempt.attempt_id] = pending
        self.subrequests += 1
        pending.thread = eventlet.spawn_n(self._run_attempt, task, pending, attempt)

    def _run_attempt(
        self, task: ShardTask, pending: PendingAttempt, attempt: Attempt
    ) -> None:
        """Run an attempt and put its result into the queue."""
        try:
            outcome = self._read_when_admitted(pending, attempt)
        except TargetFailure as failure:
            self._deps.observer.record_notice(pending.stats, failure)
            outcome = failure
        self._result_queue.put(AttemptResult(task, attempt.attempt_id, outcome))
        if pending.ended_event is not None:
            pending.ended_event.send(None)

    def _read_when_admitted(
        self, pending: PendingAttempt, attempt: Attempt
    ) -> ShardAnswer:
        """Send the subrequest when the target's concurrency limit admits it."""
        limiter = pending.stats.limiter
        limiter.acquire()
        try:
            now = self._deps.clock.now()
            if pending.stats.paused_until > now:
                raise NotSentFailure("the target wants no requests now")
            pending.sent_at = now
            return self._deps.client.read(pending.stats.target, attempt)
        finally:
            limiter.release()

    def _handle_result(self, result: AttemptResult) -> None:
        """Match the result of an attempt to its shard and handle it."""
        task = result.task
        pending = task.pending.pop(result.attempt_id, None)
        if pending is None:
            return  # the attempt was abandoned before its result arrived
        latency = self._deps.clock.now() - pending.started_at
        outcome = result.outcome
        if isinstance(outcome, ShardAnswer) and not self._matches_attempt(
            task, outcome, result
        ):
            outcome = BadAnswerFailure("the answer does not match the attempt")
        if isinstance(outcome, ShardAnswer):
            self._handle_answer(task, pending, outcome, latency)
        else:
            self._handle_failure(task, pending, outcome, latency)

    def _matches_attempt(self, task: ShardTask, answer: ShardAnswer, result) -> bool:
        """Return True if an answer echoes the attempt's ID, service, keys, snapshot."""
        return (
            answer.attempt_id == result.attempt_id
            and answer.service == task.service
            and (answer.key_range is task.shard or answer.key_range == task.shard)
            and (answer.snapshot is self._snapshot or answer.snapshot == self._snapshot)
        )

    def _handle_answer(
        self, task, pending: PendingAttempt, answer: ShardAnswer, latency
    ) -> None:
        """Record an answer and merge it, unless its shard has ended."""
        queue_time = pending.sent_at - pending.started_at
        self._deps.observer.record_answer(pending.stats, answer, latency - queue_time)
        self._record_span(pending, latency, "ok")
        if task.ended:
            return
        task.tail_tolerance.hedge.observe(self._deps.clock.now() - task.started_at)
        is_merged = self.merge.add(answer)
        self._finish(task, None if is_merged else MissingReason.BAD_ANSWER)

    def _finish(self, task: ShardTask, reason: MissingReason | None) -> None:
        """End a shard and abandon its other attempts.

        `reason` is None if the shard was answered. The scatter is aborted if no target
        holds the snapshot and another snapshot is better.
        """
        task.ended = True
        task.reason = reason
        self._unfinished -= 1
        self._abandon(task)
        if reason is MissingReason.NOT_HELD and self._should_restart(self._snapshot):
            self.aborted = True

    def _handle_failure(
        self, task, pending: PendingAttempt, failure: TargetFailure, latency
    ) -> None:
        """Record a failure and retry, unless another attempt of the shard is pending.

        Failed connections, targets without the snapshot and requests that were not
        sent cost the target next to nothing, so such retries do not spend the retry
        budget.
        """
        self._deps.observer.record_failure(pending.stats, failure)
        self._record_span(pending, latency, type(failure).__name__)
        if task.ended:
            return
        task.reason = failure.reason
        if task.pending:
            return
        is_free = isinstance(failure, (ConnectFailure, NotHeldFailure, NotSentFailure))
        if is_free or self._may_retry(task):
            self._retry(task)
        else:
            self._finish(task, failure.reason)

    def _may_retry(self, task: ShardTask) -> bool:
        """Return True if load and retry budget allow a retry, which spends budget."""
        if self._deps.admission.utilization > MAX_RETRY_UTILIZATION:
            return False
        return task.tail_tolerance.retries.try_spend()

    def _retry(self, task: ShardTask) -> None:
        """Try another target, schedule a new round, or end the shard."""
        candidates = self._find_untried(task)
        if candidates:
            self._send(task, self._deps.chooser.choose(candidates), "retry")
            return
        task.rounds += 1
        if task.reason is MissingReason.NOT_HELD or task.rounds >= MAX_ROUNDS:
            self._finish(task, task.reason)
            return
        pause = BASE_RETRY_PAUSE_S * 2**task.rounds * (0.5 + self._deps.rng.random())
        self._set_timer(pause, self._retry_all_targets, task)

    def _retry_all_targets(self, task: ShardTask) -> None:
        """Start a new round over all targets of a shard."""
        task.tried.clear()
        candidates = self._find_untried(task)
        if candidates:
            self._send(task, self._deps.chooser.choose(candidates), "retry")
        else:
            self._finish_without_target(task)

    def _send_hedge(self, task: ShardTask) -> None:
        """Send a late shard's query to one more target, if load and budget allow."""
        if self._deps.admission.utilization > MAX_HEDGE_UTILIZATION:
            return
        candidates = [c for c in self._find_untried(task) if not c.down]
        if candidates and task.tail_tolerance.hedge.try_hedge():
            self._send(task, self._deps.chooser.choose(candidates), "hedge")

    def _abandon_all(self) -> None:
        """Abandon the pending attempts of all shards."""
        for task in self._tasks:
            self._abandon(task)

    def _abandon(self, task: ShardTask) -> None:
        """Cancel the pending attempts of a shard; their late answers are ignored."""
        now = self._deps.clock.now()
        for attempt_id, pending in task.pending.items():
            if pending.sent_at is not None:
                pending.stats.record_abandoned(now - pending.sent_at)
                eventlet.spawn_n(self._cancel, attempt_id, pending)
            else:
                kill(pending.thread)
            self._record_span(pending, now - pending.started_at, "abandoned")
        task.pending.clear()

    def _cancel(self, attempt_id: str, pending: PendingAttempt) -> None:
        """Ask a target to cancel an attempt, and kill the attempt if it does not end.

        Killing an attempt closes its connection.
        """
        pending.ended_event = Event()
        with eventlet.Timeout(CANCEL_GRACE_S, False):
            self._deps.client.cancel(pending.stats.target, attempt_id)
            pending.ended_event.wait()
            return
        kill(pending.thread)

    def _record_span(
        self, pending: PendingAttempt, duration: float, result: str
    ) -> None:
        """Record the trace span of an attempt."""
        attributes = (
            ("target", pending.stats.name),
            ("kind", pending.kind),
            ("result", result),
        )
        span = Span(
            pending.trace, "subrequest", pending.started_at, duration, attributes
        )
        self._deps.tracer.record(span)
