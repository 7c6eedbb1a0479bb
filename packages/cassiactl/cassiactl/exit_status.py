"""Exit statuses of the command; scripts rely on them."""

from enum import IntEnum


class ExitStatus(IntEnum):
    """Exit status of a command."""

    OK = 0
    PROBLEMS = 1  # a ticket has problems, or VMs differ
    USAGE = 2  # the command line is wrong
    UNREACHABLE = 3  # a daemon could not be reached
    NOT_FOUND = 4  # no data about the given target, trace or request
