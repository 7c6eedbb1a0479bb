"""Connections to one target, within this VM's share of its limit."""

from cassiastair.clock import Clock
from cassiastair.data import Target
from cassiastair.targets import TargetRegistry
from cassiastair.targets.concurrency_limiter import ConcurrencyLimiter
from cassiastair.targets.limit import ConcurrencyLimit

from .connection import TargetConnection
from .requests import RequestWriter


class ShareLimit(ConcurrencyLimit):
    """Share of a target's connections that is this VM's, as the fleet counts it now.

    Parameters
    ----------
    fleet : TargetRegistry
        Knows how many VMs share the target.
    target : Target
        The target.
    """

    def __init__(self, fleet: TargetRegistry, target: Target):
        self._fleet = fleet
        self._target = target

    @property
    def current(self) -> int:
        """Connections that may be open now."""
        return self._fleet.connection_share(self._target)

    def record_success(self, in_flight: int, latency_ratio: float) -> None:
        """Take no note: the share does not follow the load."""

    def record_shed(self) -> None:
        """Take no note."""


class TargetPool:
    """Idle connections, the most recently used first.

    Parameters
    ----------
    target : Target or RoutedTarget
        The target: its host and port are used.
    limit : ConcurrencyLimit
        Connections that may be open.
    clock : Clock
        Source of time.
    """

    def __init__(self, target, limit: ConcurrencyLimit, clock: Clock):
        self.target = target
        self.requests = RequestWriter(target)
        self.opened = 0
        self._clock = clock
        self._limit = limit
        self._gate = ConcurrencyLimiter(self._limit)
        self._idle: list[TargetConnection] = []

    @property
    def size(self) -> int:
        """Open connections, in use or idle."""
        return self._gate.in_progress + len(self._idle)

    @property
    def has_free_connection(self) -> bool:
        """Whether a connection can be taken without waiting."""
        return self._gate.in_progress < self._limit.current

    def take(self, look: bool = False) -> TargetConnection:
        """Return a connection, waiting for one within the share.

        Parameters
        ----------
        look : bool
            Ask the system whether an idle connection is still open. It costs a
            system call; without it a reused connection fails now and then.

        Raises
        ------
        OSError
            If no connection can be made.
        """
        self._gate.acquire()
        try:
            while self._idle:
                connection = self._idle.pop()
                if not self._is_worn(connection) and not connection.is_dropped(look):
                    return connection
                connection.close()
            self.opened += 1
            return TargetConnection(self.target.host, self.target.port, self._clock)
        except BaseException:
            self._gate.release()
            raise

    def _is_worn(self, connection: TargetConnection) -> bool:
        """Tell whether the target may close an idle connection at any moment."""
        if connection.idle_limit == float("inf"):
            return False
        return self._clock.now() - connection.answered_at > connection.idle_limit

    def put(self, connection: TargetConnection) -> None:
        """Take a connection back whose answer was read to its end."""
        connection.answered_at = self._clock.now()
        self._gate.release()
        if self.size < self._limit.current and connection.reusable:
            self._idle.append(connection)
        else:
            connection.close()

    def adopt(self, connection: TargetConnection) -> None:
        """Keep a connection that was opened elsewhere, if there is room for it."""
        if self.size < self._limit.current:
            self.opened += 1
            self._idle.append(connection)
        else:
            connection.close()

    def discard(self, connection: TargetConnection) -> None:
        """Close a connection whose answer did not come whole."""
        connection.close()
        self._gate.release()

    def distrust(self, since: float) -> None:
        """Close idle connections that have not answered since some time.

        Something between the two ends may have lost track of all connections of
        one age when one of them goes silent.
        """
        kept = [c for c in self._idle if c.answered_at >= since]
        for connection in self._idle:
            if connection.answered_at < since:
                connection.close()
        self._idle = kept

    def warm(self, count: int) -> None:
        """Open idle connections up to a number, within the share.

        Raises
        ------
        OSError
            If no connection can be made.
        """
        while len(self._idle) < count and self.size < self._limit.current:
            connection = self.take()
            self.put(connection)

    def close(self) -> None:
        """Close the idle connections."""
        for connection in self._idle:
            connection.close()
        self._idle.clear()
