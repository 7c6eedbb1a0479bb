"""The state of one shard while a search waits for it."""

from dataclasses import dataclass, field

from eventlet.event import Event
from greenlet import greenlet

from ..data import KeyRange, MissingReason
from ..targets.target_stats import TargetStats
from ..traces import TraceContext
from .tail_tolerance import TailTolerance


@dataclass(slots=True)
class Pending:
    """An attempt that has not ended.

    Parameters
    ----------
    evidence : TargetStats
        Target that is asked.
    started : float
        Monotonic time of the start in seconds.
    trace : TraceContext
        Span of the attempt.
    kind : str
        ``first``, ``hedge``, ``probe`` or ``retry``.
    thread : greenlet or None
        Task of the attempt.
    sent : float or None
        Monotonic time at which the attempt left the queue in front of the target.
    ended : Event or None
        Sent at the attempt's end; made when somebody waits for it.
    """

    evidence: TargetStats
    started: float
    trace: TraceContext
    kind: str
    thread: greenlet | None = None
    sent: float | None = None
    ended: Event | None = None


@dataclass(slots=True)
class ShardTask:
    """One shard of a search.

    Parameters
    ----------
    service : str
        Service of the shard.
    shard : KeyRange
        Its keys.
    tail : TailTolerance
        Tail mechanisms of the service.
    """

    service: str
    shard: KeyRange
    tail: TailTolerance
    started: float = 0.0
    tried: set[str] = field(default_factory=set)
    pending: dict[str, Pending] = field(default_factory=dict)
    ended: bool = False
    reason: MissingReason | None = None
    rounds: int = 0
