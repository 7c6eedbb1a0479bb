"""What became of a non-idempotent request."""

from enum import StrEnum


class Outcome(StrEnum):
    """The three outcomes that a caller is told."""

    DONE = "done"  # it ran once and its result is known
    NOT_RUN = "not_run"  # proved: it did not run and never will under this id
    UNKNOWN = "unknown"  # it ran once or not at all
