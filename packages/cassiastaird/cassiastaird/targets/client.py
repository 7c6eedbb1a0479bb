"""The client of the target protocol over HTTP."""

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
    decode_object,
    decode_read,
    decode_refusal,
    decode_report,
    encode_read,
    encode_write,
)
from .connection import TargetConnection
from .pool import ShareLimit, TargetPool

BROKEN = OSError


class HttpTargetClient(TargetClient):
    """Pools connections to each target and speaks the target protocol.

    Parameters
    ----------
    fleet : TargetRegistry
        Knows this VM's share of each target's connections.
    clock : Clock
        Source of time.
    """

    def __init__(self, fleet: TargetRegistry, clock: Clock):
        self._fleet = fleet
        self._clock = clock
        self._pools: dict[str, TargetPool] = {}
        self.silences = 0

    def pools(self) -> list[TargetPool]:
        """Return the pools of all targets."""
        return list(self._pools.values())

    def retain_only(self, names: set[str]) -> None:
        """Close the pools of all other targets."""
        for name in set(self._pools) - names:
            self._pools.pop(name).close()

    def warm(self, target: Target, count: int) -> None:
        """Open idle connections in advance.

        Raises
        ------
        ConnectFailure
            If no connection can be made.
        """
        try:
            self._pool(target).warm(count)
        except BROKEN as error:
            raise ConnectFailure(f"no connection: {error}") from error

    def _pool(self, target: Target) -> TargetPool:
        """Return the pool of a target, new if its address changed."""
        pool = self._pools.get(target.name)
        if pool is not None and has_same_address(pool.target, target):
            return pool
        if pool is not None:
            pool.close()
        pool = TargetPool(target, ShareLimit(self._fleet, target), self._clock)
        self._pools[target.name] = pool
        return pool

    def read(self, target: Target, attempt: Attempt) -> ShardAnswer:
        """Send a read and return the answer that echoes its attempt."""
        body = encode_read(attempt, attempt.deadline - self._clock.now())
        pool = self._pool(target)
        request = pool.requests.write_post(b"/v1/read", body, attempt.traceparent)

        def decode(status: int, data: bytes) -> ShardAnswer:
            """Decode an answer or refusal."""
            if status == 200:
                return decode_read(data, attempt)
            raise decode_refusal(data, status, attempt)

        return self._exchange(pool, request, decode)

    def cancel(self, target: Target, attempt: str) -> None:
        """Cancel an attempt, if a connection is free for it."""
        pool = self._pool(target)
        if not pool.has_free_connection:
            return
        body = b'{"attempt":"%s"}' % attempt.encode()
        request = pool.requests.write_post(b"/v1/cancel", body, "")
        try:
            self._exchange(pool, request, lambda *_: None)
        except TargetFailure:
            return  # the attempt's connection is closed soon anyway

    def fetch_report(self, target: Target, timeout: float) -> TargetReport:
        """Ask a target for its report."""
        pool = self._pool(target)
        if not pool.has_free_connection:
            raise TargetFailure("all connections are in use")

        def decode(status: int, data: bytes) -> TargetReport:
            """Decode a report."""
            return decode_report(data)

        with eventlet.Timeout(timeout, False):
            return self._exchange(pool, pool.requests.write_get(b"/v1/report"), decode)
        raise ConnectFailure("no report in time")

    def _exchange(
        self,
        pool: TargetPool,
        request: bytes,
        decode: Callable[[int, bytes], object],
    ):
        """Do one exchange on a pooled connection.

        A connection goes back to the pool only after a whole answer that decoded.
        """
        connection = self._take(pool)
        started = self._clock.now()
        try:
            status, data = connection.exchange(request)
        except BROKEN as error:
            pool.discard(connection)
            raise BrokenFailure(f"the connection broke: {error!r}") from error
        except BaseException:  # the task was killed: nobody knows what is to come
            pool.discard(connection)
            pool.distrust(started)
            self.silences += 1
            raise
        return self._finish(pool, connection, status, data, decode)

    def _take(self, pool: TargetPool, look: bool = False) -> TargetConnection:
        """Take a connection from a pool."""
        try:
            return pool.take(look)
        except BROKEN as error:
            raise ConnectFailure(f"no connection: {error}") from error

    @staticmethod
    def _finish(pool, connection, status: int, data: bytes, decode):
        """Decode an answer; refusals leave the connection usable."""
        try:
            decoded = decode(status, data)
        except TargetFailure as failure:
            if failure.proves_not_run:
                pool.put(connection)
            else:
                pool.discard(connection)
            raise
        pool.put(connection)
        return decoded

    def write(self, target: Target, attempt: Attempt, request_id: str) -> dict:
        """Send a non-idempotent request once."""
        pool = self._pool(target)
        left = attempt.deadline - self._clock.now()
        connection = None
        with eventlet.Timeout(left, False):
            connection = self._take(pool, look=True)
        if connection is None:
            raise ConnectFailure("no connection in time")
        left = attempt.deadline - self._clock.now()
        body = encode_write(attempt, request_id, left)
        request = pool.requests.write_post(b"/v1/write", body, attempt.traceparent)

        def decode(status: int, data: bytes) -> dict:
            """Decode a result or refusal."""
            if status == 200:
                return decode_object(data, attempt.attempt_id).get("result") or {}
            raise decode_refusal(data, status, attempt)

        return self._hand_over(pool, connection, left, request, decode)

    def _hand_over(self, pool, connection, left: float, request, decode) -> dict:
        """Send a write on a connection; from here on silence means unknown."""
        answer = None
        try:
            with eventlet.Timeout(left, False):
                answer = connection.exchange(request)
        except BROKEN as error:
            pool.discard(connection)
            raise BrokenFailure(f"the connection broke: {error!r}") from error
        except BaseException:
            pool.discard(connection)
            raise
        if answer is None:
            pool.discard(connection)
            raise BrokenFailure("no answer in time")
        return self._finish(pool, connection, *answer, decode)
