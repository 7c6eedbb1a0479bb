"""Reasons why an answer does not cover a key range."""

from enum import StrEnum


class MissingReason(StrEnum):
    """Reason why a key range is not covered; its value is part of the answer."""

    NO_TARGET = "no_target"  # no configured target serves the shard
    UNREACHABLE = "unreachable"  # no target of the shard could be connected to
    NOT_HELD = "not_held"  # reachable targets do not hold the snapshot
    OVERLOADED = "overloaded"  # targets refused for lack of capacity
    DEADLINE = "deadline"  # no answer within the deadline
    BAD_ANSWER = "bad_answer"  # answers were malformed, foreign or overlapping
