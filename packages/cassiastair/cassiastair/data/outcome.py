"""Outcomes of a non-idempotent request."""

from enum import StrEnum


class Outcome(StrEnum):
    """Outcome in the reply to the caller."""

    DONE = "done"  # the request ran once and its result is known
    NOT_RUN = "not_run"  # it provably did not run and never will under this id
    UNKNOWN = "unknown"  # it ran once or not at all
