"""Sends callers' requests to routed targets over pooled connections."""

from collections.abc import Callable

from cassiastair.clock import Clock
from cassiastair.forwarding import (
    CallerRequest,
    RoutedTarget,
    TargetReply,
    TargetTransport,
)
from cassiastair.targets import BrokenFailure, ConnectFailure, TargetFailure
from cassiastair.targets.limit import ConcurrencyLimit

from ..targets.connection import TargetConnection
from ..targets.pool import TargetPool
from .full_reply_reader import FullReplyReader
from .http_codec import HttpCodec

IDLE_SHARE = 0.9  # part of a target's idle time-out for which a connection is used
ONCE_IDLE_S = 1.0  # the same for requests that must not run twice, at most
LEAST_LEFT_S = 0.002  # time below which a send cannot be answered any more
PROBE_TIMEOUT_S = 0.3  # many times the way to any data centre of a region and back
FEWEST_CONNECTIONS = 2  # one to send on while another is held by a slow answer


class VmShare(ConcurrencyLimit):
    """Part of this VM in the connections that a target accepts from all.

    Parameters
    ----------
    current : int
        Connections that may be open now.
    """

    def __init__(self, current: int):
        self.current = current

    def record_success(self, in_flight: int, latency_ratio: float) -> None:
        """Take no note: the share does not follow the load."""

    def record_shed(self) -> None:
        """Take no note."""


class RoutedTransport(TargetTransport):
    """Pools of connections, one for each target.

    Parameters
    ----------
    dialect : Dialect
        Words requests and replies.
    clock : Clock
        Source of time.
    get_connections : callable
        Returns the connections that each target of a service accepts.
    get_vm_count : callable
        Returns the number of VMs that share them.
    """

    def __init__(
        self,
        dialect: HttpCodec,
        clock: Clock,
        get_connections: Callable[[str], int],
        get_vm_count: Callable[[], int],
    ):
        self._dialect = dialect
        self._clock = clock
        self._get_connections = get_connections
        self._get_vm_count = get_vm_count
        self._pools: dict[str, TargetPool] = {}
        self._shares: dict[str, VmShare] = {}

    def send(
        self,
        target: RoutedTarget,
        request: CallerRequest,
        deadline: float,
        at_most_once: bool,
    ) -> TargetReply:
        """Send a request on a pooled connection and return the reply."""
        pool = self._find_pool(target)
        connection = self._take(pool, at_most_once)
        started = self._clock.now()
        left = deadline - started
        if left < LEAST_LEFT_S:
            pool.put(connection)
            raise ConnectFailure("the deadline passed before the send")
        payload = self._dialect.encode_target_request(request, target, left)
        reader = FullReplyReader()
        try:
            connection.exchange_with(payload, reader)
        except OSError as error:
            pool.discard(connection)
            raise BrokenFailure(f"the connection broke: {error!r}") from error
        except BaseException:  # the task was ended: nobody knows what is to come
            pool.discard(connection)
            pool.distrust(started)
            raise
        return self._finish(pool, connection, request, reader)

    def _finish(
        self,
        pool: TargetPool,
        connection: TargetConnection,
        request: CallerRequest,
        reader: FullReplyReader,
    ) -> TargetReply:
        """Decode a reply; a connection whose reply is in doubt is closed."""
        reply = reader.make_reply()
        idle = self._dialect.parse_idle_timeout(reply)
        if idle is not None:
            connection.idle_limit = idle * IDLE_SHARE
        try:
            decoded = self._dialect.decode_reply(reply, request)
        except TargetFailure as failure:
            if failure.proves_not_run:
                pool.put(connection)
            else:
                pool.discard(connection)
            raise
        pool.put(connection)
        return decoded

    def _take(self, pool: TargetPool, once: bool) -> TargetConnection:
        """Take a connection; one that was idle for long is not used for a write."""
        try:
            while True:
                connection = pool.take(look=once)
                idle = self._clock.now() - connection.answered_at
                if not once or idle < ONCE_IDLE_S:
                    return connection
                pool.discard(connection)
        except OSError as error:
            raise ConnectFailure(f"no connection: {error}") from error

    def _find_pool(self, target: RoutedTarget) -> TargetPool:
        """Return the pool of a target, new if another run bears its name."""
        pool = self._pools.get(target.name)
        if pool is not None and target.is_same_incarnation(pool.target):
            return pool
        if pool is not None:
            pool.close()
        share = self._shares.get(target.service)
        if share is None:
            share = VmShare(self._compute_share(target.service))
            self._shares[target.service] = share
        pool = TargetPool(target, share, self._clock)
        self._pools[target.name] = pool
        return pool

    def _compute_share(self, service: str) -> int:
        """Return the connections that this VM may have to one target."""
        share = self._get_connections(service) // max(1, self._get_vm_count())
        return max(FEWEST_CONNECTIONS, share)

    def tend(self) -> None:
        """Follow the number of VMs and the configuration; forget idle services."""
        used = {pool.target.service for pool in self._pools.values()}
        for service in list(self._shares):
            if service in used:
                self._shares[service].current = self._compute_share(service)
            else:
                del self._shares[service]

    def count_opened(self) -> int:
        """Return the connections opened to the targets of today."""
        return sum(pool.opened for pool in self._pools.values())

    def has_free_connection(self, target: RoutedTarget) -> bool:
        """Tell whether a request to a target need not wait for a connection."""
        pool = self._pools.get(target.name)
        return pool is None or pool.has_free_connection

    def probe(self, target: RoutedTarget) -> bool:
        """Open a connection, and keep it if there is room."""
        pool = self._find_pool(target)
        try:
            connection = TargetConnection(
                target.host, target.port, self._clock, PROBE_TIMEOUT_S
            )
        except OSError:
            return False
        pool.adopt(connection)
        return True

    def close_idle(self, target: RoutedTarget) -> None:
        """Close the idle connections of a target that is gone."""
        pool = self._pools.get(target.name)
        if pool is not None and target.is_same_incarnation(pool.target):
            del self._pools[target.name]
            pool.close()
