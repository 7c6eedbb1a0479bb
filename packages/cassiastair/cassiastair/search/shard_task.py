"""State of one shard during a scatter."""

from dataclasses import dataclass, field

from eventlet.event import Event
from greenlet import greenlet

from ..data import KeyRange, MissingReason
from ..targets.target_stats import TargetStats
from ..traces import TraceContext
from .tail_tolerance import TailTolerance


@dataclass(slots=True)
class PendingAttempt:
    """State of an attempt that has not ended.

    Parameters
    ----------
    stats : TargetStats
        Statistics of the target that the subrequest goes to.
    started_at : float
        Monotonic time of the start in seconds.
    trace : TraceContext
        Trace context of the attempt.
    kind : str
        ``first``, ``hedge``, ``probe`` or ``retry``.
    thread : greenlet or None
        Greenlet of the attempt.
    sent_at : float or None
        Monotonic time in seconds at which the concurrency limiter admitted the
        attempt; None while it is queued.
    ended_event : Event or None
        Sent when the attempt ends; created only when a cancellation waits for it.
    """

    stats: TargetStats
    started_at: float
    trace: TraceContext
    kind: str
    thread: greenlet | None = None
    sent_at: float | None = None
    ended_event: Event | None = None


@dataclass(slots=True)
class ShardTask:
    """Work on one shard of a search.

    Parameters
    ----------
    service : str
        Service of the shard.
    shard : KeyRange
        Keys of the shard.
    tail_tolerance : TailTolerance
        Hedge policy and retry budget of the service.
    started_at : float
        Monotonic time of the first attempt in seconds.
    tried : set of str
        Names of the targets that were tried in this round.
    pending : dict of str to PendingAttempt
        Attempts that have not ended, by ID.
    ended : bool
        Whether the shard was answered or given up.
    reason : MissingReason or None
        Why the shard is missing, as far as is known.
    rounds : int
        Number of rounds in which all targets failed.
    """

    service: str
    shard: KeyRange
    tail_tolerance: TailTolerance
    started_at: float = 0.0
    tried: set[str] = field(default_factory=set)
    pending: dict[str, PendingAttempt] = field(default_factory=dict)
    ended: bool = False
    reason: MissingReason | None = None
    rounds: int = 0
