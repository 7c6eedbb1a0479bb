"""When a search answers with the parts that it has."""

from dataclasses import dataclass

from ..routing import Route

MARGIN_S = 0.004  # time kept for timers that fire late
SHARD_MARGIN_S = 0.0001  # the same for each shard: parts to take in and to merge
LATE_FACTOR = 2.0  # multiple of the objective until which a late search waits on
FINISH_MARGIN_S = 0.040  # time before the deadline at which a final answer leaves


@dataclass(frozen=True, slots=True)
class AnswerDeadlines:
    """Times at which one search stops waiting, in seconds of the clock.

    An answer within the objective is worth the square of the share of parts in it.
    One after the objective is worth a tenth of that. So with the lowest share
    reached, an answer with k of n parts at the objective beats the full one later
    whenever (k/n)^2 > 0.1, which the lowest share implies in practice: at the
    objective the search answers with what it has. Before it, waiting costs nothing,
    since the credit does not depend on the time, so a part that may come is never
    given up. If the lowest share is not reached at the objective, the credit is
    small either way and parts count more than haste: the search waits on until all
    are in or a multiple of the objective has passed.

    Parameters
    ----------
    objective : float
        Time at which an answer leaves if the lowest share is in.
    latest : float
        Time until which an answer still reaches the caller within its objective. A
        search that gets to its answer between the two, since the event loop was busy
        or the lowest share came late, answers at once.
    patience : float
        Time from which a late search answers as soon as the lowest share is in.
    deadline : float
        Time at which the search ends without an answer.
    """

    objective: float
    latest: float
    patience: float
    deadline: float

    @classmethod
    def plan(
        cls,
        route: Route,
        received_at: float,
        caller_timeout: float | None,
        caller_rtt: float = 0.0,
    ):
        """Return the times of one search.

        Parameters
        ----------
        route : Route
            Route of the search.
        received : float
            Time at which the request was read.
        patience : float or None
            Seconds that the caller will wait.
        travel : float
            Seconds on the way from and to the caller, who counts them too.
        """
        deadline = find_deadline(route, received_at, caller_timeout)
        margin = MARGIN_S + SHARD_MARGIN_S * len(route.shards)
        latest = received_at + route.latency_objective - caller_rtt
        late = received_at + LATE_FACTOR * route.latency_objective
        return cls(
            min(latest - margin, deadline),
            min(latest, deadline),
            min(late, deadline),
            deadline,
        )

    def next_after(self, now: float) -> float:
        """Return the next time at which the search may stop waiting."""
        for time in (self.objective, self.patience):
            if now < time:
                return time
        return self.deadline

    def find_send_deadline(self, now: float, in_time: bool) -> float:
        """Return the time at which a target is to give up a send.

        Load: a target with more requests than it can serve in time works through its
        queue in order, so that all its answers come too late, also those to searches
        that have ended. With the objective as the deadline it drops those, and what
        it still serves is of use.

        Parameters
        ----------
        now : float
            Time in seconds.
        in_time : bool
            Whether searches of this kind mostly get enough parts within the objective.
            Where they do not, a late part is better than none.
        """
        if in_time and now < self.objective:
            return self.latest
        return self.deadline

    def should_answer(self, now: float, enough: bool) -> bool:
        """Tell whether a search with open parts answers now.

        Parameters
        ----------
        now : float
            Time in seconds.
        enough : bool
            Whether the lowest share is in.
        """
        if now >= self.deadline:
            return True
        if not enough:
            return False
        if now >= self.patience:
            return True
        return self.objective <= now < self.latest


def find_deadline(
    route: Route, received_at: float, caller_timeout: float | None
) -> float:
    """Return the time at which a request gets its final answer at the latest."""
    limit = (
        route.timeout if caller_timeout is None else min(route.timeout, caller_timeout)
    )
    margin = min(FINISH_MARGIN_S, 0.2 * limit)
    return received_at + limit - margin
