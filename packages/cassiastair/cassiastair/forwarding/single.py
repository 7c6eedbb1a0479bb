"""Requests that are served by a single target."""

import math

from ..errors import DeadlineError, NoTargetError, RunUnknownError
from ..routing import Route
from ..search.result_queue import ResultQueue
from ..targets.failures import ConnectFailure
from .answer import ForwardedAnswer
from .answer_deadlines import find_deadline
from .availability import find_retry_after, find_service_wait, find_untried
from .dependencies import ForwardingDependencies
from .request import CallerRequest
from .scatter import describe_outcome, is_proved_not_run
from .send import Send, stop_later
from .target_stats import RoutedTargetStats
from .timers import Timers
from .transport import TargetReply

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
            if not self._finished:
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

    def _may_send_extra(self) -> bool:
        """Spend an extra send; return whether the limits allow it."""
        possible_runs = sum(1 for send in self._sends if not is_proved_not_run(send))
        if possible_runs >= self._route.max_attempts:
            return False
        return self._deps.retry_budget.try_spend(self._service)

    def _hedge(self, reason: str) -> None:
        """Send to a second target if the first has not answered."""
        if any(not send.ended for send in self._sends) and self._find_untried():
            if self._may_send_extra():
                self._send(reason)

    def _handle_outcome(self, send: Send) -> None:
        """Accept the reply of a target, or log and handle a failure."""
        outcome = send.outcome
        if isinstance(outcome, TargetReply):
            self._answer = outcome
            if outcome.status < LOWEST_SERVER_ERROR or not self._route.idempotent:
                self._finished = True
                return
        self._deps.decision_log.warn(
            "send failed",
            self._request.attempt_id,
            service=self._service,
            target=send.stats.target.name,
            reason=describe_outcome(outcome),
            send=send.reason,
            waited_ms=round((self._deps.clock.now() - send.started_at) * 1000, 1),
        )
        if any(not other.ended for other in self._sends):
            return
        self._retry_or_finish(send)

    def _retry_or_finish(self, failed: Send) -> None:
        """Retry or back off if that is safe, otherwise finish the request."""
        not_run = is_proved_not_run(failed)
        if not not_run and not self._route.idempotent:
            self._finished = True
            return
        needs_no_budget = isinstance(failed.outcome, ConnectFailure)
        if self._find_untried():
            if needs_no_budget or self._may_send_extra():
                self._send("retry")
                return
        elif not_run and self._backoffs < MAX_BACKOFFS:
            backoff = INITIAL_BACKOFF_S * 2**self._backoffs
            if MAX_USEFUL_WAIT_S < self._find_wait() < math.inf:
                self._finished = True  # all targets have named a later time
                return
            self._backoffs += 1
            now = self._deps.clock.now()
            self._timers.add(now + backoff, self._retry_after_backoff, "retry")
            return
        self._finished = True

    def _find_wait(self) -> float:
        """Return the seconds until a target may get the request; see `availability`."""
        return find_service_wait(self._deps, self._service)

    def _retry_after_backoff(self, reason: str) -> None:
        """Retry at any target, after all of them refused."""
        self._tried.clear()
        last = self._sends[-1].outcome
        sends_before = len(self._sends)
        if isinstance(last, ConnectFailure) or self._may_send_extra():
            self._send(reason)
        if len(self._sends) == sends_before:
            self._finished = True

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
