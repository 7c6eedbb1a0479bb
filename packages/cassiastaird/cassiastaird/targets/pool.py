"""Pool of connections to one target, bounded by this VM's share of its limit."""

from cassiastair.clock import Clock
from cassiastair.data import Target
from cassiastair.targets import TargetRegistry
from cassiastair.targets.concurrency_limiter import ConcurrencyLimiter
from cassiastair.targets.limit import ConcurrencyLimit

from .connection import TargetConnection
from .request_encoder import RequestEncoder


class ShareLimit(ConcurrencyLimit):
    """Current share of this VM in the connections that a target accepts.

    Parameters
    ----------
    registry : TargetRegistry
        Computes the share from the number of VMs.
    target : Target
        Target whose connection limit is shared.
    """

    def __init__(self, registry: TargetRegistry, target: Target):
        self._registry = registry
        self._target = target

    @property
    def current(self) -> int:
        """Number of connections that may be open now."""
        return self._registry.connection_share(self._target)

    def record_success(self, in_flight: int, latency_ratio: float) -> None:
        """Do nothing, because the share does not depend on the load."""

    def record_shed(self) -> None:
        """Do nothing, because the share does not depend on refusals."""


class ConnectionPool:
    """Pool of persistent connections to one target, reused last in, first out.

    Parameters
    ----------
    target : Target or RoutedTarget
        Target to connect to; only its host and port are used.
    limit : ConcurrencyLimit
        Bound on the open connections, in use and idle together.
    clock : Clock
        Source of time.

    Attributes
    ----------
    opened_count : int
        Number of connections opened so far.
    """

    def __init__(self, target, limit: ConcurrencyLimit, clock: Clock):
        self.target = target
        self.request_encoder = RequestEncoder(target)
        self.opened_count = 0
        self._clock = clock
        self._limit = limit
        self._limiter = ConcurrencyLimiter(self._limit)
        self._idle: list[TargetConnection] = []
        self._refuses_until = float("-inf")

    @property
    def size(self) -> int:
        """Number of open connections, in use and idle."""
        return self._limiter.in_progress + len(self._idle)

    @property
    def has_free_connection(self) -> bool:
        """Whether a connection can be taken without waiting for another task."""
        return self._limiter.in_progress < self._limit.current

    @property
    def takes_requests(self) -> bool:
        """Whether the target gets requests now."""
        return self._clock.now() >= self._refuses_until

    def acquire(self, check_open: bool = False, attempt: str = "") -> TargetConnection:
        """Return an idle or new connection, after waiting for a place within the limit.

        Parameters
        ----------
        check_open : bool
            Check with a system call that an idle connection is still open. Without
            the check, a request may be sent on a connection that the target has
            just closed.
        attempt : str
            ID of an attempt. A connection that carried it last is not used, because a
            late copy of its reply could not be told from the next reply.

        Raises
        ------
        OSError
            If no connection can be opened, or the target takes no requests now.
        """
        self._limiter.acquire()
        try:
            if not self.takes_requests:
                raise ConnectionAbortedError("the target gets no requests now")
            while (connection := self._pop_idle(attempt)) is not None:
                if not self._is_expired(connection) and not connection.is_dropped(
                    check_open
                ):
                    return connection
                connection.close()
            if self._idle and self.size > self._limit.current:
                self._idle.pop(0).close()
            self.opened_count += 1
            return TargetConnection(self.target.host, self.target.port, self._clock)
        except BaseException:
            self._limiter.release()
            raise

    def _pop_idle(self, attempt: str) -> TargetConnection | None:
        """Take the idle connection used last, except those of an attempt."""
        for index in range(len(self._idle) - 1, -1, -1):
            if not attempt or self._idle[index].last_attempt != attempt:
                return self._idle.pop(index)
        return None

    def _is_expired(self, connection: TargetConnection) -> bool:
        """Return True if the target may already be closing an idle connection."""
        if connection.idle_timeout == float("inf"):
            return False
        return self._clock.now() - connection.answered_at > connection.idle_timeout

    def release(self, connection: TargetConnection) -> None:
        """Return a connection to the pool after its reply was received completely."""
        connection.answered_at = self._clock.now()
        self._limiter.release()
        is_retired = self._refuses_until == float("inf")
        has_place = self.size < self._limit.current and not is_retired
        if has_place and connection.reusable:
            self._idle.append(connection)
        else:
            connection.close()

    def add_idle(self, connection: TargetConnection) -> None:
        """Add an open connection as an idle one, or close it if the pool is full."""
        if self.size < self._limit.current:
            self.opened_count += 1
            self._idle.append(connection)
        else:
            connection.close()

    def discard(self, connection: TargetConnection) -> None:
        """Close a connection whose reply was not received completely."""
        connection.close()
        self._limiter.release()

    def close_idle_unanswered_since(self, since: float) -> None:
        """Close the idle connections that have not answered since a monotonic time.

        When one connection goes silent, a device between the two ends, such as a
        firewall, may have lost its state of all connections of the same age.
        """
        kept = [c for c in self._idle if c.answered_at >= since]
        for connection in self._idle:
            if connection.answered_at < since:
                connection.close()
        self._idle = kept

    def warm(self, count: int) -> None:
        """Open connections until a number of them is idle, within the limit.

        Raises
        ------
        OSError
            If no connection can be opened.
        """
        while len(self._idle) < count and self.size < self._limit.current:
            connection = self.acquire()
            self.release(connection)

    def refuse_until(self, until: float) -> None:
        """Give no connection before a time, also not to tasks that wait for one."""
        self._refuses_until = until

    def retire(self) -> None:
        """Close the pool for good; tasks that wait for a connection get none."""
        self.refuse_until(float("inf"))
        self.close()

    def close(self) -> None:
        """Close the idle connections; those in use stay open."""
        for connection in self._idle:
            connection.close()
        self._idle.clear()
