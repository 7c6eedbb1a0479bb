"""Searches: a request is sent to all shards of a route and the replies are merged."""

import math

from ..errors import DeadlineError, NoTargetError, RunUnknownError
from ..routing import Route
from ..search.result_queue import ResultQueue
from ..targets.failures import ConnectFailure
from .answer import MergedAnswer
from .answer_deadlines import AnswerDeadlines
from .availability import (
    explain_no_untried,
    find_retry_after,
    find_service_wait,
    find_untried,
)
from .dependencies import ForwardingDependencies
from .request import CallerRequest
from .send import Send, stop_later
from .target_stats import RoutedTargetStats
from .timers import Timers
from .top_records import TopRecords
from .transport import TargetReply
from .unsent_reason import UnsentReason

INITIAL_BACKOFF_S = 0.02  # before targets that refused are retried; doubles each time
MAX_BACKOFFS = 4  # per shard
MAX_USEFUL_WAIT_S = INITIAL_BACKOFF_S * (2**MAX_BACKOFFS - 1)  # all backoffs
MAX_NAMED_SHARDS = 8  # missing shards that a log line names
RETRY_AFTER_S = 0.5  # after which targets of a lost shard may have returned


class ShardState:
    """Progress of a search in one shard.

    Attributes
    ----------
    service : str
        Service of the shard.
    answered : bool
        Whether a successful reply has been merged.
    failed : bool
        Whether the search has given up on the shard.
    sends : list of Send
        All sends to the shard.
    handled_count : int
        Number of sends whose outcome the search has handled. A send that has ended
        counts as pending until then, since its request may have run.
    tried : set of str
        Targets that were sent to since the last backoff.
    possible_runs : int
        Failed sends whose request may have run.
    backoffs : int
        Number of backoffs so far.
    no_hedge : UnsentReason or None
        Why no hedge was sent when one was due.
    """

    __slots__ = (
        "service",
        "answered",
        "failed",
        "sends",
        "handled_count",
        "tried",
        "possible_runs",
        "backoffs",
        "no_hedge",
    )

    def __init__(self, service: str):
        self.service = service
        self.answered = False
        self.failed = False
        self.sends: list[Send] = []
        self.handled_count = 0
        self.tried: set[str] = set()
        self.possible_runs = 0
        self.backoffs = 0
        self.no_hedge: UnsentReason | None = None

    @property
    def pending_count(self) -> int:
        """Number of sends whose outcome was not handled yet."""
        return len(self.sends) - self.handled_count

    @property
    def is_open(self) -> bool:
        """Whether the shard may still contribute a part."""
        return not self.answered and not self.failed


class Scatter:
    """One search: sends to a target of each shard, hedges, retries and merges.

    The shards are taken from the route when the search starts, so all parts belong
    to one version of the configuration.

    Parameters
    ----------
    deps : ForwardingDependencies
        Collaborators.
    route : Route
        Route with shards.
    request : CallerRequest
        Request to serve.
    """

    def __init__(
        self, deps: ForwardingDependencies, route: Route, request: CallerRequest
    ):
        self._deps = deps
        self._route = route
        self._request = request
        self._latency = deps.latencies.get(route)
        self._hedge_delay = self._latency.hedge_delay()
        self._deadlines = AnswerDeadlines.plan(
            route, request.received_at, request.caller_timeout, request.caller_rtt
        )
        self._needed = max(
            1, math.ceil(route.lowest_coverage * len(route.shards) - 1e-9)
        )
        self._shards = [ShardState(name) for name in route.shards]
        self._open_count = len(self._shards)
        self._answered_count = 0
        self._seals: dict[str, None] = {}  # in the order of arrival
        self._records = TopRecords(route.top_k)
        self._results = ResultQueue()
        self._timers = Timers()
        self._shard_of: dict[Send, ShardState] = {}
        self._stopped = False

    def run(self) -> MergedAnswer:
        """Run the search and return its answer.

        Raises
        ------
        NoTargetError
            If the lowest coverage cannot be reached and the request has run at no
            target.
        DeadlineError, RunUnknownError
            If the lowest coverage was not reached and the request may have run.
        """
        self._check_targets()
        try:
            for shard in self._shards:
                self._deps.retry_budget.record_request(shard.service)
                self._send(shard, "first")
            while self._open_count and not self._is_finished():
                self._process_next()
            self._record_timing()
            return self._make_answer()
        finally:
            self._results.close()
            self._timers.clear()
            stop_later([send for send in self._shard_of if not send.ended])

    def finish(self) -> None:
        """End the search with the parts that are in; called by another task."""
        self._stopped = True
        self._results.wake()

    def _record_timing(self) -> None:
        """Record whether the lowest coverage was reached within the objective."""
        now = self._deps.clock.now()
        enough = self._answered_count >= self._needed
        self._latency.record_search(enough and now < self._deadlines.in_time_until)

    def _check_targets(self) -> None:
        """Raise NoTargetError if too few shards have a target that may get a request.

        Such a target is reachable, and the limit that it may have named leaves room.
        """
        waits = self._find_waits()
        wait = waits[self._needed - 1]
        if wait > 0:
            raise NoTargetError(
                self._describe_unready(waits), find_retry_after(wait, RETRY_AFTER_S)
            )

    def _find_waits(self) -> list[float]:
        """Return the seconds until each shard can take a request, in rising order."""
        return sorted(find_service_wait(self._deps, s.service) for s in self._shards)

    def _describe_unready(self, waits: list[float]) -> str:
        """Return how many shards can take a request, and what keeps the others."""
        is_reachable = self._deps.registry.has_reachable_target
        ready = sum(1 for shard in self._shards if is_reachable(shard.service))
        state = "in reach"
        if ready >= self._needed:
            ready = sum(1 for wait in waits if wait <= 0)
            state = "with a target that takes requests now"
        return f"{ready} of {len(self._shards)} shards {state}, needed {self._needed}"

    def _is_finished(self) -> bool:
        """Return True if the search should stop waiting now."""
        if self._stopped or self._answered_count + self._open_count < self._needed:
            return True
        now = self._deps.clock.now()
        return self._deadlines.should_answer(now, self._answered_count >= self._needed)

    def _process_next(self) -> None:
        """Wait for the next outcome or timer and handle it."""
        now = self._deps.clock.now()
        due = min(self._deadlines.next_after(now), self._timers.next_due())
        send = self._results.get(due, now)
        if send is not None:
            self._handle_outcome(self._shard_of[send], send)
            return
        for action, shard in self._timers.pop_due(self._deps.clock.now()):
            if shard.is_open:
                action(shard)

    def _send(self, shard: ShardState, reason: str) -> None:
        """Send to a target of a shard that was not tried yet, if there is one.

        A shard without such a target is left out, unless a send to it is pending.
        """
        candidates = self._find_untried(shard)
        if not candidates:
            if not shard.pending_count:
                self._give_up(shard)
            return
        now = self._deps.clock.now()
        chosen = self._deps.chooser.choose(candidates, now, self._hedge_delay)
        send = Send(self._deps, chosen, self._latency, reason)
        shard.sends.append(send)
        shard.tried.add(chosen.target.name)
        self._shard_of[send] = shard
        in_time = self._latency.is_mostly_in_time
        deadline = self._deadlines.find_send_deadline(now, in_time)
        send.start(self._request, deadline, False, self._results.put)
        if len(shard.sends) == 1:
            self._timers.add(now + self._hedge_delay, self._hedge, shard)

    def _find_untried(self, shard: ShardState) -> list[RoutedTargetStats]:
        """Return the untried targets of a shard that may get a request now."""
        is_extra = bool(shard.sends)
        return find_untried(self._deps, shard.service, shard.tried, is_extra)

    def _refuse_extra(self, shard: ShardState) -> UnsentReason | None:
        """Spend an extra send; return the limit that does not allow it, if any."""
        if shard.possible_runs + shard.pending_count >= self._route.max_attempts:
            return UnsentReason.MAX_ATTEMPTS
        if not self._deps.retry_budget.try_spend(shard.service):
            return UnsentReason.BUDGET
        self._deps.send_counts.record_charged(shard.service)
        return None

    def _count_unsent(self, shard: ShardState, reason: UnsentReason) -> None:
        """Count a hedge or retry that is not sent."""
        self._deps.send_counts.record_unsent(reason, shard.service)

    def _explain_no_untried(self, shard: ShardState) -> UnsentReason:
        """Return why no untried target of a shard may get a request now."""
        return explain_no_untried(
            self._deps, shard.service, shard.tried, shard.sends[-1]
        )

    def _hedge(self, shard: ShardState) -> None:
        """Send to a second target of a shard that has not answered in time."""
        for send in shard.sends:
            if not send.ended:
                send.record_late()
        if self._find_untried(shard):
            shard.no_hedge = self._refuse_extra(shard)
        else:
            shard.no_hedge = self._explain_no_untried(shard)
        if shard.no_hedge is None:
            self._send(shard, "hedge")
            return
        self._count_unsent(shard, shard.no_hedge)
        self._deps.decision_log.record_sampled(
            "hedge not sent",
            self._request.attempt_id,
            service=shard.service,
            reason=shard.no_hedge,
        )

    def _handle_outcome(self, shard: ShardState, send: Send) -> None:
        """Record a successful reply, or handle a failure."""
        outcome = send.outcome
        shard.handled_count += 1
        if isinstance(outcome, TargetReply) and outcome.succeeded:
            send.outcome = None  # the other shards may take long; it is merged now
            if shard.is_open:
                self._accept_reply(shard, outcome)
            return
        self._handle_failure(shard, send)

    def _accept_reply(self, shard: ShardState, reply: TargetReply) -> None:
        """Add a reply as the part of its shard, unless it repeats another part."""
        shard.answered = True
        self._open_count -= 1
        self._answered_count += 1
        if reply.seal not in self._seals:
            self._seals[reply.seal] = None
            self._records.add(reply.body)

    def _handle_failure(self, shard: ShardState, send: Send) -> None:
        """Retry at another target, or back off if all have refused, or give up."""
        not_run = is_proved_not_run(send)
        if not not_run:
            shard.possible_runs += 1
        if not shard.is_open:
            self._count_unsent(shard, UnsentReason.FINISHED)
            return
        waited = self._deps.clock.now() - send.started_at
        no_retry = self._retry_or_back_off(shard, send)
        if no_retry is not None:
            self._count_unsent(shard, no_retry)
            if no_retry is not UnsentReason.PENDING:
                self._give_up(shard)
        self._log_failure(shard, send, waited, no_retry)

    def _retry_or_back_off(self, shard: ShardState, failed: Send):
        """Retry at a shard or back off.

        Returns
        -------
        UnsentReason or None
            Why neither is done, if so.
        """
        if shard.pending_count:
            return UnsentReason.PENDING
        if self._deps.clock.now() >= self._deadlines.deadline:
            return UnsentReason.DEADLINE
        if self._find_untried(shard):
            needs_no_budget = isinstance(failed.outcome, ConnectFailure)
            refused = None if needs_no_budget else self._refuse_extra(shard)
            if refused is None:
                self._send(shard, "retry")
            return refused
        if not is_proved_not_run(failed):
            return self._explain_no_untried(shard)
        return self._back_off(shard)

    def _back_off(self, shard: ShardState) -> UnsentReason | None:
        """Schedule a retry at any target; return the reason if that is no use."""
        if shard.backoffs >= MAX_BACKOFFS:
            return UnsentReason.BACKOFFS
        if not self._may_wait(shard):
            return self._explain_no_untried(shard)
        due = self._deps.clock.now() + INITIAL_BACKOFF_S * 2**shard.backoffs
        if due >= self._deadlines.deadline:
            return UnsentReason.DEADLINE
        shard.backoffs += 1
        self._timers.add(due, self._retry_after_backoff, shard)
        return None

    def _may_wait(self, shard: ShardState) -> bool:
        """Return False if all targets of a shard have named a time that is too late."""
        wait = find_service_wait(self._deps, shard.service)
        return not MAX_USEFUL_WAIT_S < wait < math.inf

    def _retry_after_backoff(self, shard: ShardState) -> None:
        """Retry at any target of a shard, after all of them refused."""
        shard.tried.clear()
        refused = None
        if not self._find_untried(shard):
            refused = self._explain_no_untried(shard)
        elif not isinstance(shard.sends[-1].outcome, ConnectFailure):
            refused = self._refuse_extra(shard)
        if refused is None:
            self._send(shard, "retry")
            return
        self._give_up(shard)
        self._count_unsent(shard, refused)
        self._deps.decision_log.warn(
            "retry not sent",
            self._request.attempt_id,
            service=shard.service,
            reason=refused,
        )

    def _give_up(self, shard: ShardState) -> None:
        """Leave a shard out of the answer."""
        if shard.is_open:
            shard.failed = True
            self._open_count -= 1

    def _log_failure(
        self,
        shard: ShardState,
        send: Send,
        waited: float,
        no_retry: UnsentReason | None,
    ) -> None:
        """Log a failed send and why the request was not sent once more, if so."""
        self._deps.decision_log.warn(
            "send failed",
            self._request.attempt_id,
            service=shard.service,
            target=send.stats.target.name,
            reason=describe_outcome(send.outcome),
            send=send.reason,
            waited_ms=round(waited * 1000, 1),
            **name_reasons(no_retry, shard.no_hedge),
        )

    def _make_answer(self) -> MergedAnswer:
        """Return the merged answer, or raise an error if too few parts arrived."""
        if len(self._seals) < self._needed:
            self._raise_failure()
        missing = len(self._shards) - len(self._seals)
        if missing:
            lost = [s for s in self._shards if not s.answered][:MAX_NAMED_SHARDS]
            no_hedge = {s.service: s.no_hedge for s in lost if s.no_hedge}
            self._deps.decision_log.warn(
                "answered in part",
                self._request.attempt_id,
                route=self._route.name,
                missing=[s.service for s in lost],
                missing_count=missing,
                shards=len(self._shards),
                waited_ms=self._waited_ms(),
                hedge_ms=round(self._hedge_delay * 1000, 1),
                no_hedge=no_hedge,
            )
        return MergedAnswer(tuple(self._seals), missing, self._records.join())

    def _raise_failure(self) -> None:
        """Raise the error that says why the search has no answer."""
        total = len(self._shards)
        message = (
            f"{self._answered_count} of {total} shards answered, needed {self._needed}"
        )
        sends = list(self._shard_of)
        if all(is_proved_not_run(send) for send in sends):
            wait = self._find_waits()[self._needed - 1]
            raise NoTargetError(message, find_retry_after(wait, RETRY_AFTER_S))
        if self._deps.clock.now() >= self._deadlines.deadline:
            raise DeadlineError(message)
        raise RunUnknownError(message)

    def _waited_ms(self) -> float:
        """Return the time since the request was read, in milliseconds."""
        return round((self._deps.clock.now() - self._request.received_at) * 1000, 1)


def is_proved_not_run(send: Send) -> bool:
    """Return True if the outcome of a send proves that its request has not run."""
    outcome = send.outcome
    if outcome is None or isinstance(outcome, TargetReply):
        return False
    return outcome.proves_not_run


def name_reasons(
    no_retry: UnsentReason | None, no_hedge: UnsentReason | None
) -> dict[str, UnsentReason]:
    """Return the inputs of a log line that say why a request was not sent again."""
    reasons = {"no_retry": no_retry, "no_hedge": no_hedge}
    return {name: reason for name, reason in reasons.items() if reason is not None}


def describe_outcome(outcome) -> str:
    """Describe the outcome of an unsuccessful send, for log records and errors."""
    if isinstance(outcome, TargetReply):
        return f"status {outcome.status}"
    if outcome is None:
        return "no outcome yet"
    return f"{type(outcome).__name__}: {outcome.message}"
