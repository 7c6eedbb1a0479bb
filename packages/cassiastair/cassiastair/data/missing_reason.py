"""Why a part of the key space is missing from an answer."""

from enum import StrEnum


class MissingReason(StrEnum):
    """Typed reasons for missing coverage."""

    NO_TARGET = "no_target"  # no configured target serves the shard
    UNREACHABLE = "unreachable"  # no connection to any target of the shard
    NOT_HELD = "not_held"  # reachable targets do not hold the snapshot
    OVERLOADED = "overloaded"  # targets refused for lack of capacity
    DEADLINE = "deadline"  # no answer within the deadline
    BAD_ANSWER = "bad_answer"  # answers were malformed, foreign or overlapping
