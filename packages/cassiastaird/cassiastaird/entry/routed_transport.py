"""Sends callers' requests to routed targets over pooled connections."""

from collections.abc import Callable

import eventlet
from cassiastair.clock import Clock
from cassiastair.forwarding import (
    CallerRequest,
    ConnectionShares,
    ProbeResult,
    RoutedTarget,
    TargetReply,
    TargetTransport,
)
from cassiastair.targets import (
    BrokenFailure,
    ConnectFailure,
    ConnectionLimitFailure,
    TargetFailure,
)
from cassiastair.targets.limit import ConcurrencyLimit

from ..targets.connection import TargetConnection
from ..targets.pool import ConnectionPool
from ..targets.reply_memory import ReplyMemory
from .full_reply_reader import FullReplyReader
from .http_codec import HttpCodec
from .http_message import HttpReply

IDLE_TIMEOUT_SHARE = 0.9  # share of a target's idle timeout allowed for reuse
AT_MOST_ONCE_MAX_IDLE_S = 1.0  # idle time limit for at-most-once requests
MIN_TIME_LEFT_S = 0.002  # a target cannot answer in less
PROBE_TIMEOUT_S = 0.3  # many round trips to any data centre of a region
IDENTITY_TIMEOUT_S = 0.3  # for a reply to a request that needs no work


class ConnectionShare(ConcurrencyLimit):
    """Limit of this VM's connections to a target: its share of the target's limit.

    Parameters
    ----------
    current : int
        Connections that may be open now.
    """

    def __init__(self, current: int):
        self.current = current

    def record_success(self, in_flight: int, latency_ratio: float) -> None:
        """Do nothing, since the share does not depend on the load."""

    def record_shed(self) -> None:
        """Do nothing."""


class RoutedTransport(TargetTransport):
    """Sends requests over one connection pool for each target.

    Parameters
    ----------
    codec : HttpCodec
        Encodes requests and decodes replies.
    clock : Clock
        Source of time.
    shares : ConnectionShares
        This VM's part of the connections that each target accepts.
    memory : ReplyMemory
        Account of the memory that replies hold while they are received.
    find_health_path : callable
        Returns the path at which the targets of a service say who they are, or None.
    """

    def __init__(
        self,
        codec: HttpCodec,
        clock: Clock,
        shares: ConnectionShares,
        memory: ReplyMemory,
        find_health_path: Callable[[str], str | None],
    ):
        self._codec = codec
        self._clock = clock
        self._shares = shares
        self._memory = memory
        self._find_health_path = find_health_path
        self._pools: dict[str, ConnectionPool] = {}
        self._limits: dict[str, ConnectionShare] = {}

    def send(
        self,
        target: RoutedTarget,
        request: CallerRequest,
        deadline: float,
        at_most_once: bool,
    ) -> TargetReply:
        """Send a request on a pooled connection and return the reply."""
        pool = self._get_pool(target)
        connection = self._acquire_connection(pool, at_most_once, request.attempt_id)
        if not pool.takes_requests:  # any more, after the connection was opened
            pool.release(connection)
            raise ConnectFailure("the target gets no requests now")
        sent_at = self._clock.now()
        time_left = deadline - sent_at
        if time_left < MIN_TIME_LEFT_S:
            pool.release(connection)
            raise ConnectFailure("the deadline passed before the send")
        head = self._codec.encode_target_head(request, target, time_left)
        reader = connection.reader
        if reader is None:
            reader = connection.reader = FullReplyReader(self._memory)
        else:
            reader.reset()
        reader.expects_body = not request.head.startswith(b"HEAD ")
        connection.last_attempt = request.attempt_id
        try:
            connection.exchange_with(head, reader, request.body)
        except OSError as error:
            pool.discard(connection)
            raise BrokenFailure(f"the connection broke: {error!r}") from error
        except BaseException:  # the task was killed, and a reply may still arrive
            pool.discard(connection)
            pool.close_idle_unanswered_since(sent_at)
            raise
        return self._decode_reply(pool, connection, request, reader)

    def _decode_reply(
        self,
        pool: ConnectionPool,
        connection: TargetConnection,
        request: CallerRequest,
        reader: FullReplyReader,
    ) -> TargetReply:
        """Decode a reply; release its connection, or close it after a bad reply.

        It is also closed after a reply that does not name its attempt: a late copy of
        such a reply would be taken for the reply to another request.
        """
        reply = reader.build_reply()
        idle_timeout = self._codec.parse_idle_timeout(reply)
        if idle_timeout is not None:
            connection.idle_timeout = idle_timeout * IDLE_TIMEOUT_SHARE
        try:
            decoded = self._codec.decode_reply(reply, request)
        except TargetFailure as failure:
            if failure.proves_not_run and failure.names_attempt:
                pool.release(connection)
            else:
                pool.discard(connection)
            raise
        if not decoded.names_attempt or not self.keeps_connection(pool.target):
            connection.reusable = False
        pool.release(connection)
        return decoded

    def _acquire_connection(
        self, pool: ConnectionPool, at_most_once: bool, attempt: str
    ) -> TargetConnection:
        """Take a connection from the pool, or open one.

        One that carried the same attempt last is not taken, see `ConnectionPool`.

        At-most-once requests need a connection that is surely open, so those that
        were idle for too long are closed.
        """
        try:
            while True:
                connection = pool.acquire(at_most_once, attempt)
                idle_s = self._clock.now() - connection.answered_at
                if not at_most_once or idle_s < AT_MOST_ONCE_MAX_IDLE_S:
                    return connection
                pool.discard(connection)
        except ConnectionResetError as error:
            raise ConnectionLimitFailure(f"no connection: {error}") from error
        except OSError as error:
            raise ConnectFailure(f"no connection: {error}") from error

    def _get_pool(self, target: RoutedTarget) -> ConnectionPool:
        """Return a target's pool, a new one for another incarnation of the target."""
        pool = self._pools.get(target.name)
        if pool is not None and target.is_same_incarnation(pool.target):
            return pool
        if pool is not None:
            pool.retire()
        limit = self._limits.get(target.service)
        if limit is None:
            limit = ConnectionShare(self._shares.limit(target.service))
            self._limits[target.service] = limit
        pool = ConnectionPool(target, limit, self._clock)
        self._pools[target.name] = pool
        return pool

    def keeps_connection(self, target: RoutedTarget) -> bool:
        """Return True if connections to a target are kept between requests."""
        return self._shares.keeps(target.name, target.service, target.data_centre)

    def update_shares(self) -> None:
        """Compute the shares anew and remove those of services without a pool."""
        self._shares.forget_decisions()
        used = {pool.target.service for pool in self._pools.values()}
        for service in list(self._limits):
            if service in used:
                self._limits[service].current = self._shares.limit(service)
            else:
                del self._limits[service]
        for pool in self._pools.values():
            if not self.keeps_connection(pool.target):
                pool.close()

    def count_opened(self) -> int:
        """Return how many connections were opened by the current pools."""
        return sum(pool.opened_count for pool in self._pools.values())

    def has_free_connection(self, target: RoutedTarget) -> bool:
        """Return True if a request to a target need not wait for a connection."""
        pool = self._pools.get(target.name)
        return pool is None or pool.has_free_connection

    def probe(self, target: RoutedTarget, asks_identity: bool) -> ProbeResult:
        """Open a connection to a target, and ask on it who answers if that is wanted.

        It is pooled if the pool has no other one. A target that resets it has too many
        connections, so it is reachable.
        """
        pool = self._get_pool(target)
        try:
            connection = TargetConnection(
                target.host, target.port, self._clock, PROBE_TIMEOUT_S
            )
        except ConnectionResetError:
            return ProbeResult.CONNECTED
        except OSError:
            return ProbeResult.UNREACHABLE
        if not self.keeps_connection(pool.target):
            connection.close()
            return ProbeResult.CONNECTED
        path = self._find_health_path(target.service) if asks_identity else None
        reply = self._ask_identity(connection, target, path) if path else None
        is_by_target = reply and self._codec.is_by_target(reply, target)
        if is_by_target is False:
            connection.close()
            return ProbeResult.DISPLACED
        is_usable = connection.reusable and (reply is not None or not path)
        if pool.size or not is_usable:
            connection.close()
        else:
            pool.add_idle(connection)
        return ProbeResult.IDENTIFIED if is_by_target else ProbeResult.CONNECTED

    def _ask_identity(
        self, connection: TargetConnection, target: RoutedTarget, path: str
    ) -> HttpReply | None:
        """Return the reply to the question who answers; None without one in time."""
        reader = FullReplyReader(self._memory)
        request = self._codec.encode_identity_request(target, path)
        try:
            with eventlet.Timeout(IDENTITY_TIMEOUT_S, False):
                connection.exchange_with(request, reader)
                return reader.build_reply()
        except OSError:
            return None
        return None

    def pause(self, target: RoutedTarget, until: float) -> None:
        """Fail requests that wait for a connection to a target until a time passes."""
        pool = self._pools.get(target.name)
        if pool is not None and target.is_same_incarnation(pool.target):
            pool.refuse_until(until)

    def retire(self, target: RoutedTarget) -> None:
        """Remove the pool of a target that gets no more requests."""
        pool = self._pools.get(target.name)
        if pool is not None and target.is_same_incarnation(pool.target):
            del self._pools[target.name]
            pool.retire()
