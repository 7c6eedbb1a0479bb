"""Exit statuses of the command; scripts rely on them."""

from enum import IntEnum


class ExitStatus(IntEnum):
    """What the exit status says."""

    OK = 0
    PROBLEMS = 1  # a ticket has problems, or VMs differ
    USAGE = 2  # the command line is wrong
    UNREACHABLE = 3  # a daemon could not be asked
    NOT_FOUND = 4  # nothing is known of what was asked for
