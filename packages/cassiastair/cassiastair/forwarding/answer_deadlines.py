"""Times at which a search stops waiting for further parts.

All times are in seconds of the clock.
"""

from dataclasses import dataclass

from ..routing import Route

TIMER_MARGIN_S = 0.004  # allowance for timers that fire late
MARGIN_PER_SHARD_S = 0.0001  # time to receive and merge the part of one shard
LATE_FACTOR = 2.0  # late searches wait for all parts up to this many objectives
FINAL_ANSWER_MARGIN_S = 0.040  # time between the final answer and the timeout


@dataclass(frozen=True, slots=True)
class AnswerDeadlines:
    """Times at which one search stops waiting, in seconds of the clock.

    The coverage of an answer is the share of the shards with a part in it. An
    answer within the latency objective is worth the square of its coverage, a later
    one a tenth of that. This gives three rules:

    - Before the objective the search waits for every part that may still arrive,
      because the value of an answer does not depend on the time within it.
    - At the objective the search answers if it has reached the route's lowest
      coverage. An answer with k of n parts is then worth more than a complete one
      later whenever (k/n)^2 > 0.1, which holds for the lowest coverages in use.
    - If the lowest coverage is not reached by then, the answer is worth little
      either way and its coverage counts more than its time. The search waits until
      all parts are in or a multiple of the objective has passed.

    Parameters
    ----------
    objective_at : float
        Time at which the search answers if it has reached the lowest coverage.
    in_time_until : float
        Time until which an answer still reaches the caller within the objective. A
        search that reaches the lowest coverage between `objective_at` and this time,
        or that a busy event loop resumes only then, answers at once.
    late_limit : float
        Time from which a late search answers as soon as it has reached the lowest
        coverage.
    deadline : float
        Time at which the search fails if it has not answered.
    """

    objective_at: float
    in_time_until: float
    late_limit: float
    deadline: float

    @classmethod
    def plan(
        cls,
        route: Route,
        received_at: float,
        caller_timeout: float | None,
        caller_rtt: float = 0.0,
    ):
        """Compute the times of one search.

        Parameters
        ----------
        route : Route
            Route of the search.
        received_at : float
            Time at which the request was read, in seconds.
        caller_timeout : float or None
            Seconds that the caller waits; None if it did not say.
        caller_rtt : float
            Round trip to the caller in seconds. It is part of the latency that the
            caller measures, so the search has that much less time.

        Returns
        -------
        AnswerDeadlines
            Times of the search.
        """
        deadline = find_deadline(route, received_at, caller_timeout)
        margin = TIMER_MARGIN_S + MARGIN_PER_SHARD_S * len(route.shards)
        in_time_until = received_at + route.latency_objective - caller_rtt
        late_limit = received_at + LATE_FACTOR * route.latency_objective
        return cls(
            min(in_time_until - margin, deadline),
            min(in_time_until, deadline),
            min(late_limit, deadline),
            deadline,
        )

    def next_after(self, now: float) -> float:
        """Return the next time at which the search may stop waiting."""
        for time in (self.objective_at, self.late_limit):
            if now < time:
                return time
        return self.deadline

    def find_send_deadline(self, now: float, in_time: bool) -> float:
        """Return the time at which a target should abandon a send.

        An overloaded target serves its queue in order. With the deadline of the
        search, all its answers would be late, including those to searches that have
        ended. With the objective as the deadline it drops requests that cannot be
        answered in time and serves the others within the objective.

        Parameters
        ----------
        now : float
            Time in seconds.
        in_time : bool
            Whether most searches of the route reach the lowest coverage within the
            objective. If they do not, a late part is better than none.

        Returns
        -------
        float
            Time in seconds.
        """
        if in_time and now < self.objective_at:
            return self.in_time_until
        return self.deadline

    def should_answer(self, now: float, enough: bool) -> bool:
        """Return True if a search with outstanding parts should answer now.

        Parameters
        ----------
        now : float
            Time in seconds.
        enough : bool
            Whether the search has reached the lowest coverage.
        """
        if now >= self.deadline:
            return True
        if not enough:
            return False
        if now >= self.late_limit:
            return True
        return self.objective_at <= now < self.in_time_until


def find_deadline(
    route: Route, received_at: float, caller_timeout: float | None
) -> float:
    """Return the time by which a request must be answered, in seconds.

    It lies before the timeout of the route and of the caller, so that the answer
    still reaches the caller.
    """
    limit = (
        route.timeout if caller_timeout is None else min(route.timeout, caller_timeout)
    )
    margin = min(FINAL_ANSWER_MARGIN_S, 0.2 * limit)
    return received_at + limit - margin
