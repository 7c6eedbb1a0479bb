"""Reasons for which a hedge or a retry is not sent."""

from enum import StrEnum


class UnsentReason(StrEnum):
    """Why a request was not sent once more; used in log lines and metrics."""

    BUDGET = "budget"  # the retry budget has no room
    MAX_ATTEMPTS = "max_attempts"  # as many targets as the route allows may have run it
    NO_UNTRIED_TARGET = "no_untried_target"
    TARGET_LIMIT = "target_limit"  # the rates that the untried targets named
    TARGET_PAUSED = "target_paused"  # all untried targets named a later time
    TARGET_IN_DOUBT = "target_in_doubt"  # the untried targets have to reply once first
    CONNECTION_BOUND = "connection_bound"  # the targets have too many connections
    DEADLINE = "deadline"  # too little time is left
    FINISHED = "finished"  # the request or the part of its shard is finished
    NOT_IDEMPOTENT = "not_idempotent"  # the request may have run and must not run twice
    BACKOFFS = "backoffs"  # the most backoffs were made
    PENDING = "pending"  # another send of the request has not ended
