"""Requests that are served by a single target."""

import math

from ..errors import DeadlineError, NoTargetError, RunUnknownError
from ..routing import Route
from ..search.result_queue import ResultQueue
from ..targets.failures import ConnectFailure
from .answer import ForwardedAnswer
from .answer_deadlines import find_deadline
from .availability import (
    explain_no_untried,
    find_retry_after,
    find_service_wait,
    find_untried,
)
from .dependencies import ForwardingDependencies
from .request import CallerRequest
from .scatter import describe_outcome, is_proved_not_run, name_reasons
from .send import Send, stop_later
from .target_stats import RoutedTargetStats
from .timers import Timers
from .transport import TargetReply
from .unsent_reason import UnsentReason

RETRY_AFTER_S = 0.3  # after which a target that refused may accept requests again
INITIAL_BACKOFF_S = 0.05  # before targets that refused are retried; doubles each time
MAX_BACKOFFS = 3
MAX_USEFUL_WAIT_S = INITIAL_BACKOFF_S * (2**MAX_BACKOFFS - 1)  # all backoffs
LOWEST_SERVER_ERROR = 500  # lowest status for which another target is tried


class SingleForward:
    """Sends a request to one target, with hedges and retries where they are safe.

    A request that is not idempotent is sent to another target only after proof that
    it has not run at the first: the connection could not be opened, or the target
    said so in its refusal.

    Parameters
    ----------
    deps : ForwardingDependencies
        Collaborators.
    route : Route
        Route with services.
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
        self._deadline = find_deadline(
            route, request.received_at, request.caller_timeout
        )
        self._service = deps.table.choose_service(route)
        self._sends: list[Send] = []
        self._tried: set[str] = set()
        self._backoffs = 0
        self._results = ResultQueue()
        self._timers = Timers()
        self._answer: TargetReply | None = None
        self._no_hedge: UnsentReason | None = None
        self._finished = False

    def run(self) -> ForwardedAnswer:
        """Serve the request and return its answer.

        Raises
        ------
        NoTargetError
            If the request has certainly not run.
        DeadlineError, RunUnknownError
            If the request may have run.
        """
        wait = find_service_wait(self._deps, self._service)
        if wait > 0:
            retry_after = find_retry_after(wait, RETRY_AFTER_S)
            reachable = self._deps.registry.has_reachable_target(self._service)
            state = "that takes requests now" if reachable else "in reach"
            message = f"no target of {self._service} {state}"
            raise NoTargetError(message, retry_after)
        self._deps.retry_budget.record_request(self._service)
        try:
            self._send("first")
            while not self._finished and self._deps.clock.now() < self._deadline:
                self._process_next()
            return self._make_answer()
        finally:
            self._results.close()
            self._timers.clear()
            stop_later([send for send in self._sends if not send.ended])

    def finish(self) -> None:
        """End the request with what is known now; called by another task."""
        self._finished = True
        self._results.wake()

    def _process_next(self) -> None:
        """Wait for the next outcome or timer and handle it."""
        now = self._deps.clock.now()
        due = min(self._deadline, self._timers.next_due())
        send = self._results.get(due, now)
        if send is not None:
            self._handle_outcome(send)
            return
        for action, reason in self._timers.pop_due(self._deps.clock.now()):
            if self._finished:
                self._count_unsent(UnsentReason.FINISHED)
            else:
                action(reason)

    def _send(self, reason: str) -> None:
        """Send to a target that was not tried yet, if there is one."""
        candidates = self._find_untried()
        if not candidates:
            return
        now = self._deps.clock.now()
        chosen = self._deps.chooser.choose(
            candidates, now, self._latency.latency_objective
        )
        send = Send(self._deps, chosen, self._latency, reason)
        self._sends.append(send)
        self._tried.add(chosen.target.name)
        at_most_once = not self._route.idempotent
        send.start(self._request, self._deadline, at_most_once, self._results.put)
        if self._route.idempotent and len(self._sends) == 1:
            self._timers.add(now + self._hedge_delay, self._hedge, "hedge")

    def _find_untried(self) -> list[RoutedTargetStats]:
        """Return the untried targets that may get a request now."""
        is_extra = bool(self._sends)
        return find_untried(self._deps, self._service, self._tried, is_extra)

    def _refuse_extra(self) -> UnsentReason | None:
        """Spend an extra send; return the limit that does not allow it, if any."""
        possible_runs = sum(1 for send in self._sends if not is_proved_not_run(send))
        if possible_runs >= self._route.max_attempts:
            return UnsentReason.MAX_ATTEMPTS
        if not self._deps.retry_budget.try_spend(self._service):
            return UnsentReason.BUDGET
        self._deps.send_counts.record_charged(self._service)
        return None

    def _count_unsent(self, reason: UnsentReason) -> None:
        """Count a hedge or retry that is not sent."""
        self._deps.send_counts.record_unsent(reason, self._service)

    def _explain_no_untried(self) -> UnsentReason:
        """Return why there is no untried target that may get a request now."""
        return explain_no_untried(
            self._deps, self._service, self._tried, self._sends[-1]
        )

    def _hedge(self, reason: str) -> None:
        """Send to a second target if the first has not answered."""
        if all(send.ended for send in self._sends):
            return
        if self._find_untried():
            self._no_hedge = self._refuse_extra()
        else:
            self._no_hedge = self._explain_no_untried()
        if self._no_hedge is None:
            self._send(reason)
            return
        self._count_unsent(self._no_hedge)
        self._deps.decision_log.record_sampled(
            "hedge not sent",
            self._request.attempt_id,
            service=self._service,
            reason=self._no_hedge,
        )

    def _handle_outcome(self, send: Send) -> None:
        """Accept the reply of a target, or handle and log a failure."""
        outcome = send.outcome
        if isinstance(outcome, TargetReply):
            self._answer = outcome
            if outcome.status < LOWEST_SERVER_ERROR or not self._route.idempotent:
                self._finished = True
                return
        waited = self._deps.clock.now() - send.started_at
        if self._finished:
            no_retry = UnsentReason.FINISHED
        elif any(not other.ended for other in self._sends):
            no_retry = UnsentReason.PENDING
        else:
            no_retry = self._retry_or_back_off(send)
            self._finished = no_retry is not None
        if no_retry is not None:
            self._count_unsent(no_retry)
        self._deps.decision_log.warn(
            "send failed",
            self._request.attempt_id,
            service=self._service,
            target=send.stats.target.name,
            reason=describe_outcome(outcome),
            send=send.reason,
            waited_ms=round(waited * 1000, 1),
            **name_reasons(no_retry, self._no_hedge),
        )

    def _retry_or_back_off(self, failed: Send) -> UnsentReason | None:
        """Retry or back off if that is safe; return the reason if neither is done."""
        not_run = is_proved_not_run(failed)
        if not not_run and not self._route.idempotent:
            return UnsentReason.NOT_IDEMPOTENT
        if self._deps.clock.now() >= self._deadline:
            return UnsentReason.DEADLINE
        if self._find_untried():
            needs_no_budget = isinstance(failed.outcome, ConnectFailure)
            refused = None if needs_no_budget else self._refuse_extra()
            if refused is None:
                self._send("retry")
            return refused
        if not not_run:
            return self._explain_no_untried()
        return self._back_off()

    def _back_off(self) -> UnsentReason | None:
        """Schedule a retry at any target; return the reason if that is no use."""
        if self._backoffs >= MAX_BACKOFFS:
            return UnsentReason.BACKOFFS
        if MAX_USEFUL_WAIT_S < self._find_wait() < math.inf:
            return self._explain_no_untried()  # all targets have named a later time
        due = self._deps.clock.now() + INITIAL_BACKOFF_S * 2**self._backoffs
        if due >= self._deadline:
            return UnsentReason.DEADLINE
        self._backoffs += 1
        self._timers.add(due, self._retry_after_backoff, "retry")
        return None

    def _find_wait(self) -> float:
        """Return the seconds until a target may get the request; see `availability`."""
        return find_service_wait(self._deps, self._service)

    def _retry_after_backoff(self, reason: str) -> None:
        """Retry at any target, after all of them refused."""
        self._tried.clear()
        refused = None
        if not self._find_untried():
            refused = self._explain_no_untried()
        elif not isinstance(self._sends[-1].outcome, ConnectFailure):
            refused = self._refuse_extra()
        if refused is None:
            self._send(reason)
            return
        self._finished = True
        self._count_unsent(refused)
        self._deps.decision_log.warn(
            "retry not sent",
            self._request.attempt_id,
            service=self._service,
            reason=refused,
        )

    def _make_answer(self) -> ForwardedAnswer:
        """Return the answer, or raise the error that says why there is none."""
        answer = self._answer
        if answer is not None:
            return ForwardedAnswer(answer.status, answer.headers, answer.body)
        message = "; ".join(describe_outcome(send.outcome) for send in self._sends)
        if all(is_proved_not_run(send) for send in self._sends):
            retry_after = find_retry_after(self._find_wait(), RETRY_AFTER_S)
            raise NoTargetError(f"the request has not run: {message}", retry_after)
        if self._deps.clock.now() >= self._deadline:
            raise DeadlineError(message)
        raise RunUnknownError(message)
