"""What a target stand-in is like, and the faults that can be switched on."""

from dataclasses import dataclass, field


@dataclass
class TargetSettings:
    """Size and speed of a target; the control path changes any field at run time.

    Parameters
    ----------
    name, service : str
        Name of the target and of its service.
    slots : int
        Requests worked on at the same time.
    queue_limit : int
        Requests that wait beyond the slots; more are shed.
    connection_limit : int
        Connections accepted; more are closed at once.
    connect_ms : float
        Cost of a new connection.
    work_ms : float
        Mean time in a slot.
    held : list
        Spans of versions held: epoch, low, high.
    """

    name: str
    service: str
    slots: int = 2
    queue_limit: int = 40
    connection_limit: int = 25
    connect_ms: float = 6.0
    work_ms: float = 2.0
    held: list = field(default_factory=lambda: [[1, 1, 3]])
    seed: int = 1

    # Faults, all off at the start.
    slow_factor: float = 1.0
    cold_s: float = 0.0  # seconds of slow work after the start
    frozen: bool = False  # takes requests and never answers
    draining: bool = False
    lies_serving: bool = False  # its report says that it serves, whatever it does
    report_load: float | None = None  # a fixed, false load
    report_lag_s: float = 0.0
    bad_answer: str = ""  # one of BAD_ANSWERS
    shed_share: float = 0.0  # share of requests that are shed at random


BAD_ANSWERS = (
    "truncated",
    "garbage",
    "crossed",
    "foreign_version",
    "wide_range",
    "duplicated",
    "huge_numbers",
)
