"""Settings of a target stand-in: its size, its speed and its faults."""

from dataclasses import dataclass, field


@dataclass
class TargetSettings:
    """Settings of a target, which its control port can change at run time.

    Parameters
    ----------
    name, service : str
        Name of the target and of its service.
    slots : int
        Requests that are worked on at the same time.
    queue_limit : int
        Requests that may wait for a slot; further ones are shed.
    connection_limit : int
        Connections that may be open; further ones are closed at once.
    connect_ms : float
        Delay before the first request of a new connection is read.
    work_ms : float
        Mean time of a request in its slot.
    held : list
        Ranges of versions that the target holds, each [epoch, lowest, highest].
    seed : int
        Seed of the random work times and of the random shedding.
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

    # Faults, all off by default.
    slow_factor: float = 1.0  # factor of the work time
    cold_s: float = 0.0  # seconds after the start in which work is slower
    frozen: bool = False  # accepts requests and does not answer until unfrozen
    draining: bool = False  # refuses new work
    lies_serving: bool = False  # reports that it serves although it drains
    report_load: float | None = None  # false load in all reports
    report_lag_s: float = 0.0  # age of the load in reports
    bad_answer: str = ""  # malformed or wrong answers, one of BAD_ANSWERS
    shed_share: float = 0.0  # fraction of the requests that are shed at random
    pause_ms: float | None = None  # refuses all requests and names this time


BAD_ANSWERS = (
    "truncated",
    "garbage",
    "crossed",
    "foreign_version",
    "wide_range",
    "duplicated",
    "huge_numbers",
)
