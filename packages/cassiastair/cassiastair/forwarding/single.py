"""A request that one target serves."""

from ..errors import DeadlineError, NoTargetError, RunUnknownError
from ..routing import Route
from ..search.result_queue import ResultQueue
from ..targets.failures import ConnectFailure
from .answer import ForwardedAnswer
from .answer_deadlines import find_deadline
from .dependencies import ForwardingDependencies
from .request import CallerRequest
from .scatter import describe_outcome, is_proved_not_run
from .send import Send, release
from .target_stats import RoutedTargetStats
from .timers import Timers
from .transport import TargetReply

RETRY_AFTER_S = 0.3  # time after which a target that refused may have room
RETRY_PAUSE_S = 0.05  # pause before targets that refused are asked again; doubles
MAX_PAUSES = 3
SERVER_ERROR = 500  # lowest status that another target may do better than


class SingleForward:
    """Sends a request to one target, and to another where that is safe.

    A request that must not run twice goes to another target only after proof that
    it did not run at the first: no connection was made, or the target said so.

    Parameters
    ----------
    parts : ForwardingDependencies
        Collaborators.
    route : Route
        Route with services.
    request : CallerRequest
        What is asked.
    """

    def __init__(
        self, parts: ForwardingDependencies, route: Route, request: CallerRequest
    ):
        self._parts = parts
        self._route = route
        self._request = request
        self._kind = parts.latencies.get(route)
        self._delay = self._kind.hedge_delay()
        self._deadline = find_deadline(
            route, request.received_at, request.caller_timeout
        )
        self._service = parts.table.choose_service(route)
        self._sends: list[Send] = []
        self._tried: set[str] = set()
        self._pauses = 0
        self._results = ResultQueue()
        self._timers = Timers()
        self._answer: TargetReply | None = None
        self._over = False

    def run(self) -> ForwardedAnswer:
        """Answer the request.

        Raises
        ------
        NoTargetError
            If it provably has not run.
        DeadlineError, RunUnknownError
            If it may have run.
        """
        if not self._parts.registry.can_reach(self._service):
            raise NoTargetError(f"no target of {self._service} in reach", RETRY_AFTER_S)
        self._parts.retry_budget.record_request(self._service)
        try:
            self._send("first")
            while not self._over and self._parts.clock.now() < self._deadline:
                self._step()
            return self._finish()
        finally:
            self._results.close()
            release([send for send in self._sends if not send.ended])

    def _step(self) -> None:
        """Wait for the next result or timer and handle it."""
        now = self._parts.clock.now()
        due = min(self._deadline, self._timers.next_due())
        send = self._results.get(due, now)
        if send is not None:
            self._handle(send)
            return
        for action, reason in self._timers.take_due(self._parts.clock.now()):
            if not self._over:
                action(reason)

    def _send(self, reason: str) -> None:
        """Send to a target that was not asked yet."""
        candidates = self._find_untried()
        if not candidates:
            return
        now = self._parts.clock.now()
        chosen = self._parts.chooser.choose(candidates, now, self._kind.objective)
        send = Send(self._parts, chosen, self._kind, reason)
        self._sends.append(send)
        self._tried.add(chosen.target.name)
        once = not self._route.idempotent
        send.start(self._request, self._deadline, once, self._results.put)
        if self._route.idempotent and len(self._sends) == 1:
            self._timers.add(now + self._delay, self._hedge, "hedge")

    def _find_untried(self) -> list[RoutedTargetStats]:
        """Return targets that were not asked yet, those with room first."""
        candidates = [
            c
            for c in self._parts.registry.candidates(self._service)
            if c.target.name not in self._tried
        ]
        has_room = self._parts.transport.has_free_connection
        return [c for c in candidates if has_room(c.target)] or candidates

    def _may_repeat(self) -> bool:
        """Tell whether one more send is allowed, and count it."""
        used = sum(1 for send in self._sends if not is_proved_not_run(send))
        if used >= self._route.max_attempts:
            return False
        return self._parts.retry_budget.try_spend(self._service)

    def _hedge(self, reason: str) -> None:
        """Ask a second target if the first is late."""
        if any(not send.ended for send in self._sends) and self._find_untried():
            if self._may_repeat():
                self._send(reason)

    def _handle(self, send: Send) -> None:
        """Take the outcome of a send."""
        outcome = send.outcome
        if isinstance(outcome, TargetReply):
            self._answer = outcome
            if outcome.status < SERVER_ERROR or not self._route.idempotent:
                self._over = True
                return
        self._parts.decisions.warn(
            "send failed",
            self._request.attempt_id,
            service=self._service,
            target=send.evidence.target.name,
            reason=describe_outcome(outcome),
            send=send.reason,
            waited_ms=round((self._parts.clock.now() - send.started) * 1000, 1),
        )
        if any(not other.ended for other in self._sends):
            return
        self._repeat(send)

    def _repeat(self, failed: Send) -> None:
        """Send again where that is safe, else end."""
        not_run = is_proved_not_run(failed)
        if not not_run and not self._route.idempotent:
            self._over = True
            return
        free = isinstance(failed.outcome, ConnectFailure)
        if self._find_untried():
            if free or self._may_repeat():
                self._send("retry")
                return
        elif not_run and self._pauses < MAX_PAUSES:
            pause = RETRY_PAUSE_S * 2**self._pauses
            self._pauses += 1
            now = self._parts.clock.now()
            self._timers.add(now + pause, self._start_over, "retry")
            return
        self._over = True

    def _start_over(self, reason: str) -> None:
        """Ask targets again that did not run the request."""
        self._tried.clear()
        last = self._sends[-1].outcome
        count = len(self._sends)
        if isinstance(last, ConnectFailure) or self._may_repeat():
            self._send(reason)
        if len(self._sends) == count:
            self._over = True

    def _finish(self) -> ForwardedAnswer:
        """Return the answer, or raise why there is none."""
        answer = self._answer
        if answer is not None:
            return ForwardedAnswer(answer.status, answer.headers, answer.body)
        message = "; ".join(describe_outcome(send.outcome) for send in self._sends)
        if all(is_proved_not_run(send) for send in self._sends):
            raise NoTargetError(f"nothing has run: {message}", RETRY_AFTER_S)
        if self._parts.clock.now() >= self._deadline:
            raise DeadlineError(message)
        raise RunUnknownError(message)
