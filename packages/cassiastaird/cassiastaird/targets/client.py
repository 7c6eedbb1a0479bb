"""Client of the target protocol over pooled HTTP connections."""

from collections.abc import Callable

import eventlet
from cassiastair.clock import Clock
from cassiastair.data import Attempt, ShardAnswer, Target
from cassiastair.targets import (
    BrokenFailure,
    ConnectFailure,
    TargetClient,
    TargetFailure,
    TargetRegistry,
    TargetReport,
)
from cassiastair.targets.registry import has_same_address

from .codec import (
    decode_failure,
    decode_object,
    decode_read,
    decode_report,
    encode_read,
    encode_write,
)
from .connection import TargetConnection
from .pool import ConnectionPool, ShareLimit
from .reply_memory import ReplyMemory

REPLY_MEMORY_BYTES = 64_000_000  # of all replies that are being received
CONNECTION_ERROR = OSError  # base class of socket errors, timeouts and BadReplyError


class HttpTargetClient(TargetClient):
    """Sends requests to targets over one pool of connections for each target.

    Parameters
    ----------
    registry : TargetRegistry
        Computes this VM's share of each target's connections.
    clock : Clock
        Source of time.
    memory : ReplyMemory, optional
        Account of the memory that replies hold; by default one of this client alone.

    Attributes
    ----------
    silence_count : int
        Number of requests whose task was stopped before a reply came.
    """

    def __init__(
        self,
        registry: TargetRegistry,
        clock: Clock,
        memory: ReplyMemory | None = None,
    ):
        self._registry = registry
        self._clock = clock
        self._pools: dict[str, ConnectionPool] = {}
        self._memory = memory or ReplyMemory(REPLY_MEMORY_BYTES)
        self.silence_count = 0

    def list_pools(self) -> list[ConnectionPool]:
        """Return the pools of all targets."""
        return list(self._pools.values())

    def retain_only(self, names: set[str]) -> None:
        """Close the pools of all targets that are not named."""
        for name in set(self._pools) - names:
            self._pools.pop(name).close()

    def warm(self, target: Target, count: int) -> None:
        """Open connections until a number of them is idle.

        Raises
        ------
        ConnectFailure
            If no connection can be opened.
        """
        try:
            self._get_pool(target).warm(count)
        except CONNECTION_ERROR as error:
            raise ConnectFailure(f"no connection: {error}") from error

    def _get_pool(self, target: Target) -> ConnectionPool:
        """Return the pool of a target; a new one if its address has changed."""
        pool = self._pools.get(target.name)
        if pool is not None and has_same_address(pool.target, target):
            return pool
        if pool is not None:
            pool.close()
        pool = ConnectionPool(target, ShareLimit(self._registry, target), self._clock)
        self._pools[target.name] = pool
        return pool

    def read(self, target: Target, attempt: Attempt) -> ShardAnswer:
        """Send a read and return the decoded answer."""
        body = encode_read(attempt, attempt.deadline - self._clock.now())
        pool = self._get_pool(target)
        request = pool.request_encoder.encode_post(
            b"/v1/read", body, attempt.traceparent
        )

        def decode(status: int, data: bytes) -> ShardAnswer:
            """Return the decoded answer; raise the failure of an error status."""
            if status == 200:
                return decode_read(data, attempt)
            raise decode_failure(data, status, attempt)

        return self._exchange(pool, request, decode)

    def cancel(self, target: Target, attempt_id: str) -> None:
        """Send a cancellation of an attempt, unless all connections are in use."""
        pool = self._get_pool(target)
        if not pool.has_free_connection:
            return
        body = b'{"attempt":"%s"}' % attempt_id.encode()
        request = pool.request_encoder.encode_post(b"/v1/cancel", body, "")
        try:
            self._exchange(pool, request, lambda *_: None)
        except TargetFailure:
            return  # the connection of the attempt is closed soon in any case

    def fetch_report(self, target: Target, timeout: float) -> TargetReport:
        """Fetch the report of a target within a timeout in seconds."""
        pool = self._get_pool(target)
        if not pool.has_free_connection:
            raise TargetFailure("all connections are in use")

        def decode(status: int, data: bytes) -> TargetReport:
            """Return the decoded report; the status is in the body."""
            return decode_report(data)

        with eventlet.Timeout(timeout, False):
            return self._exchange(
                pool, pool.request_encoder.encode_get(b"/v1/report"), decode
            )
        raise ConnectFailure("no report in time")

    def _exchange(
        self,
        pool: ConnectionPool,
        request: bytes,
        decode: Callable[[int, bytes], object],
    ):
        """Send a request on a pooled connection and return the decoded answer.

        The connection goes back to the pool only after a complete and valid reply.
        """
        connection = self._acquire_connection(pool)
        sent_at = self._clock.now()
        try:
            status, data = connection.exchange(request, self._memory)
        except CONNECTION_ERROR as error:
            pool.discard(connection)
            raise BrokenFailure(f"the connection broke: {error!r}") from error
        except BaseException:  # the task was killed; its reply may still arrive
            pool.discard(connection)
            pool.close_idle_unanswered_since(sent_at)
            self.silence_count += 1
            raise
        return self._decode_and_release(pool, connection, status, data, decode)

    def _acquire_connection(
        self, pool: ConnectionPool, check_open: bool = False
    ) -> TargetConnection:
        """Return a connection from a pool, or raise `ConnectFailure`."""
        try:
            return pool.acquire(check_open)
        except CONNECTION_ERROR as error:
            raise ConnectFailure(f"no connection: {error}") from error

    @staticmethod
    def _decode_and_release(pool, connection, status: int, data: bytes, decode):
        """Decode an answer; close the connection after any failure but a refusal."""
        try:
            decoded = decode(status, data)
        except TargetFailure as failure:
            if failure.proves_not_run:
                pool.release(connection)
            else:
                pool.discard(connection)
            raise
        pool.release(connection)
        return decoded

    def write(self, target: Target, attempt: Attempt, request_id: str) -> dict:
        """Send a non-idempotent request once and return its result."""
        pool = self._get_pool(target)
        time_left = attempt.deadline - self._clock.now()
        connection = None
        with eventlet.Timeout(time_left, False):
            connection = self._acquire_connection(pool, check_open=True)
        if connection is None:
            raise ConnectFailure("no connection in time")
        time_left = attempt.deadline - self._clock.now()
        body = encode_write(attempt, request_id, time_left)
        request = pool.request_encoder.encode_post(
            b"/v1/write", body, attempt.traceparent
        )

        def decode(status: int, data: bytes) -> dict:
            """Return the result of the write; raise the failure of an error status."""
            if status == 200:
                return decode_object(data, attempt.attempt_id).get("result") or {}
            raise decode_failure(data, status, attempt)

        return self._exchange_write(pool, connection, time_left, request, decode)

    def _exchange_write(
        self, pool, connection, time_left: float, request, decode
    ) -> dict:
        """Send a write on a connection; without a reply its outcome is unknown."""
        answer = None
        try:
            with eventlet.Timeout(time_left, False):
                answer = connection.exchange(request, self._memory)
        except CONNECTION_ERROR as error:
            pool.discard(connection)
            raise BrokenFailure(f"the connection broke: {error!r}") from error
        except BaseException:
            pool.discard(connection)
            raise
        if answer is None:
            pool.discard(connection)
            raise BrokenFailure("no answer in time")
        return self._decode_and_release(pool, connection, *answer, decode)
