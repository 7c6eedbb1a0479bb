"""Results of a probe of a target."""

from enum import Enum


class ProbeResult(Enum):
    """What a probe of a target's address has shown."""

    UNREACHABLE = "unreachable"  # no connection could be opened
    CONNECTED = "connected"  # some process accepts connections
    IDENTIFIED = "identified"  # the target itself has answered
    DISPLACED = "displaced"  # another process has answered
