"""A search over all shards of a route."""

import math

from ..errors import DeadlineError, NoTargetError, RunUnknownError
from ..routing import Route
from ..search.result_queue import ResultQueue
from ..targets.failures import ConnectFailure
from .answer import MergedAnswer
from .answer_deadlines import AnswerDeadlines
from .dependencies import ForwardingDependencies
from .request import CallerRequest
from .send import Send, release
from .target_stats import RoutedTargetStats
from .timers import Timers
from .top_records import merge_top_records
from .transport import TargetReply

RETRY_PAUSE_S = 0.02  # pause before targets that refused are asked again; doubles
MAX_PAUSES = 4
RETRY_AFTER_S = 0.5  # time after which targets of a lost shard may be back


class ShardState:
    """One shard of a search while it is open."""

    __slots__ = ("service", "reply", "failed", "sends", "tried", "ran", "pauses")

    def __init__(self, service: str):
        self.service = service
        self.reply: TargetReply | None = None
        self.failed = False
        self.sends: list[Send] = []
        self.tried: set[str] = set()
        self.ran = 0
        self.pauses = 0

    @property
    def is_open(self) -> bool:
        """Whether a part may still come."""
        return self.reply is None and not self.failed


class Scatter:
    """Asks a target of each shard, covers late ones, and merges what came.

    The shards are those of the route's configuration when the search began; every
    part comes from that one version.

    Parameters
    ----------
    parts : ForwardingDependencies
        Collaborators.
    route : Route
        Route with shards.
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
        self._times = AnswerDeadlines.plan(
            route, request.received_at, request.caller_timeout, request.caller_rtt
        )
        self._needed = max(
            1, math.ceil(route.lowest_coverage * len(route.shards) - 1e-9)
        )
        self._shards = [ShardState(name) for name in route.shards]
        self._open = len(self._shards)
        self._answered = 0
        self._results = ResultQueue()
        self._timers = Timers()
        self._owners: dict[Send, ShardState] = {}

    def run(self) -> MergedAnswer:
        """Answer the search.

        Raises
        ------
        NoTargetError
            If too many shards have no target; nothing has run.
        DeadlineError, RunUnknownError
            If too few parts came.
        """
        self._check_targets()
        try:
            for shard in self._shards:
                self._parts.retry_budget.record_request(shard.service)
                self._send(shard, "first")
            while self._open and not self._is_over():
                self._step()
            self._note_timing()
            return self._finish()
        finally:
            self._results.close()
            release([send for send in self._owners if not send.ended])

    def _note_timing(self) -> None:
        """Take note whether enough parts came within the objective."""
        now = self._parts.clock.now()
        enough = self._answered >= self._needed
        self._kind.note_search(enough and now < self._times.latest)

    def _check_targets(self) -> None:
        """Refuse at once what the known targets cannot serve."""
        reach = self._parts.registry.can_reach
        served = sum(1 for shard in self._shards if reach(shard.service))
        if served < self._needed:
            total = len(self._shards)
            message = f"{served} of {total} shards in reach, needed {self._needed}"
            raise NoTargetError(message, RETRY_AFTER_S)

    def _is_over(self) -> bool:
        """Tell whether the search answers now."""
        if self._answered + self._open < self._needed:
            return True
        now = self._parts.clock.now()
        return self._times.should_answer(now, self._answered >= self._needed)

    def _step(self) -> None:
        """Wait for the next result or timer and handle it."""
        now = self._parts.clock.now()
        due = min(self._times.next_after(now), self._timers.next_due())
        send = self._results.get(due, now)
        if send is not None:
            self._handle(self._owners[send], send)
            return
        for action, shard in self._timers.take_due(self._parts.clock.now()):
            if shard.is_open:
                action(shard)

    def _send(self, shard: ShardState, reason: str) -> bool:
        """Send to a target of a shard that was not asked; tell whether there is one."""
        candidates = self._find_untried(shard)
        if not candidates:
            if not any(not send.ended for send in shard.sends):
                self._give_up(shard)
            return False
        now = self._parts.clock.now()
        chosen = self._parts.chooser.choose(candidates, now, self._delay)
        send = Send(self._parts, chosen, self._kind, reason)
        shard.sends.append(send)
        shard.tried.add(chosen.target.name)
        self._owners[send] = shard
        in_time = self._kind.is_mostly_in_time
        deadline = self._times.find_send_deadline(now, in_time)
        send.start(self._request, deadline, False, self._results.put)
        if len(shard.sends) == 1:
            self._timers.add(now + self._delay, self._hedge, shard)
        return True

    def _find_untried(self, shard: ShardState) -> list[RoutedTargetStats]:
        """Return targets of a shard that were not asked yet, those with room first."""
        candidates = self._parts.registry.candidates(shard.service)
        if shard.tried:
            tried = shard.tried
            candidates = [c for c in candidates if c.target.name not in tried]
        has_room = self._parts.transport.has_free_connection
        roomy = [c for c in candidates if has_room(c.target)]
        return roomy or list(candidates)

    def _may_repeat(self, shard: ShardState) -> bool:
        """Tell whether a shard may have one more send, and count it."""
        pending = sum(1 for send in shard.sends if not send.ended)
        if shard.ran + pending >= self._route.max_attempts:
            return False
        return self._parts.retry_budget.try_spend(shard.service)

    def _hedge(self, shard: ShardState) -> None:
        """Ask a second target for a part that is late."""
        for send in shard.sends:
            if not send.ended:
                send.note_late()
        if not self._find_untried(shard):
            return
        if self._may_repeat(shard):
            self._send(shard, "hedge")

    def _handle(self, shard: ShardState, send: Send) -> None:
        """Take the outcome of a send."""
        outcome = send.outcome
        if isinstance(outcome, TargetReply) and outcome.succeeded:
            if shard.is_open:
                shard.reply = outcome
                self._open -= 1
                self._answered += 1
            return
        self._failed(shard, send)

    def _failed(self, shard: ShardState, send: Send) -> None:
        """Ask another target, or the same ones after a pause."""
        outcome = send.outcome
        not_run = not isinstance(outcome, TargetReply) and outcome.proves_not_run
        if not not_run:
            shard.ran += 1
        if not shard.is_open:
            return
        self._note_failure(shard, send)
        if any(not other.ended for other in shard.sends):
            return
        free = isinstance(outcome, ConnectFailure)
        if self._find_untried(shard):
            if free or self._may_repeat(shard):
                self._send(shard, "retry")
                return
        elif not_run and shard.pauses < MAX_PAUSES:
            pause = RETRY_PAUSE_S * 2**shard.pauses
            shard.pauses += 1
            self._timers.add(self._parts.clock.now() + pause, self._start_over, shard)
            return
        self._give_up(shard)

    def _start_over(self, shard: ShardState) -> None:
        """Ask the targets of a shard again that did not run the request."""
        shard.tried.clear()
        last = shard.sends[-1].outcome
        if isinstance(last, ConnectFailure) or self._may_repeat(shard):
            self._send(shard, "retry")
        else:
            self._give_up(shard)

    def _give_up(self, shard: ShardState) -> None:
        """Leave a shard out."""
        if shard.is_open:
            shard.failed = True
            self._open -= 1

    def _note_failure(self, shard: ShardState, send: Send) -> None:
        """Record a failed send."""
        self._parts.decisions.warn(
            "send failed",
            self._request.attempt_id,
            service=shard.service,
            target=send.evidence.target.name,
            reason=describe_outcome(send.outcome),
            send=send.reason,
            waited_ms=round((self._parts.clock.now() - send.started) * 1000, 1),
        )

    def _finish(self) -> MergedAnswer:
        """Return the answer, or raise why there is none."""
        replies = {}
        for shard in self._shards:
            if shard.reply is not None:
                replies.setdefault(shard.reply.seal, shard.reply)
        if len(replies) < self._needed:
            self._raise_failure()
        missing = len(self._shards) - len(replies)
        if missing:
            names = [s.service for s in self._shards if s.reply is None]
            self._parts.decisions.warn(
                "answered in part",
                self._request.attempt_id,
                missing=names[:8],
                missing_count=missing,
                shards=len(self._shards),
                waited_ms=self._waited_ms(),
                hedge_ms=round(self._delay * 1000, 1),
            )
        body = merge_top_records((r.body for r in replies.values()), self._route.top_k)
        return MergedAnswer(tuple(replies), missing, body)

    def _raise_failure(self) -> None:
        """Raise why the search has no answer."""
        total = len(self._shards)
        message = f"{self._answered} of {total} parts came, needed {self._needed}"
        sends = list(self._owners)
        if all(is_proved_not_run(send) for send in sends):
            raise NoTargetError(message, RETRY_AFTER_S)
        if self._parts.clock.now() >= self._times.deadline:
            raise DeadlineError(message)
        raise RunUnknownError(message)

    def _waited_ms(self) -> float:
        """Return the milliseconds since the request was read."""
        return round((self._parts.clock.now() - self._request.received_at) * 1000, 1)


def is_proved_not_run(send: Send) -> bool:
    """Tell whether a send provably ran nothing at its target."""
    outcome = send.outcome
    if outcome is None or isinstance(outcome, TargetReply):
        return False
    return outcome.proves_not_run


def describe_outcome(outcome) -> str:
    """Return why a send did not bring what was asked."""
    if isinstance(outcome, TargetReply):
        return f"status {outcome.status}"
    if outcome is None:
        return "no outcome yet"
    return f"{type(outcome).__name__}: {outcome.message}"
