"""Memory that one connection of a caller reserves."""

from collections import deque
from collections.abc import Callable

from cassiastair.memory_account import MemoryHolder
from cassiastair.routing import CallerLimits

from .entry_memory import EntryMemory
from .http_message import HttpRequest
from .request_reader import RequestReader

# Objects of a connection and of a request that is served, the first bytes of a
# request, and what the kernel holds of it unread.
CONNECTION_BYTES = 40_960
HEAD_COPIES = 2  # in the parser and in the reader
REQUEST_BYTES = 1024  # objects of a request that was read ahead
SMALL_BODY_BYTES = 16_384
CHUNKED_STEP_BYTES = 65_536  # reserved at a time for a body of unknown length
GROWTH_FACTOR = 1.25  # a growing buffer has up to this many times its content
HEADER_OBJECT_BYTES = 160  # a header takes as much, however short it is
COVERED_HEADERS = 64  # headers that the reservation of the connection covers

Reservation = tuple[MemoryHolder, int]


class ConnectionMemory:
    """Reserves memory for a connection, for the request that arrives and for others.

    A body of known length is reserved as a whole before it is read, so that a request
    whose reading has begun never waits for memory that another such request has.

    Parameters
    ----------
    memory : EntryMemory
        Account to reserve from.

    Attributes
    ----------
    is_open : bool
        Whether what the connection itself takes is reserved.
    """

    __slots__ = ("_memory", "is_open", "_arriving", "_complete")

    def __init__(self, memory: EntryMemory):
        self._memory = memory
        self.is_open = False
        self._arriving: Reservation | None = None
        self._complete: deque[Reservation | None] = deque()

    @property
    def size(self) -> int:
        """Bytes that are reserved."""
        parts = [*self._complete, self._arriving]
        own = CONNECTION_BYTES if self.is_open else 0
        return own + sum(part[1] for part in parts if part is not None)

    def open(self) -> bool:
        """Reserve what the connection itself takes; return False if that fails."""
        self.is_open = self._memory.connections.try_reserve(CONNECTION_BYTES)
        return self.is_open

    def reserve_arriving(
        self, reader: RequestReader, limits: CallerLimits, check: Callable[[], None]
    ) -> None:
        """Reserve what the request that has begun to arrive will take.

        Parameters
        ----------
        reader : RequestReader
            Reader of the connection.
        limits : CallerLimits
            Limits in force; a request waits as long for memory as for its head.
        check : callable
            Called at intervals; raises OSError if the caller has left.

        Raises
        ------
        MemoryFullError
            If there is no memory in time, or is known to be none.
        """
        holder, size = self._find_need(reader, limits)
        held = 0
        if self._arriving is not None:
            if self._arriving[0] is holder:
                held = self._arriving[1]
            else:
                self._release_arriving()
        if size > held:
            self._memory.reserve(holder, size - held, limits.header_timeout, check)
            self._arriving = holder, size

    def _find_need(self, reader: RequestReader, limits: CallerLimits) -> Reservation:
        """Return the holder and the size of the request that arrives."""
        headers_size = measure_headers(reader.header_count)
        if not reader.in_body:
            size = HEAD_COPIES * limits.header_bytes + headers_size
            return self._memory.connections, size
        length = reader.announced_length
        if length is None:
            steps = reader.body_size // CHUNKED_STEP_BYTES + 2
            size = int(steps * CHUNKED_STEP_BYTES * GROWTH_FACTOR)
            return self._memory.bodies, size + headers_size
        if length <= SMALL_BODY_BYTES:
            return self._memory.requests, length + headers_size
        return self._memory.bodies, int(length * GROWTH_FACTOR) + headers_size

    def add_complete(self, request: HttpRequest) -> bool:
        """Turn the reservation over to a complete request, or make one for it.

        Returns
        -------
        bool
            False if there is no memory for the request.
        """
        arriving, self._arriving = self._arriving, None
        if arriving is not None:
            if arriving[0] is not self._memory.connections:
                self._complete.append(arriving)
                return True
            arriving[0].release(arriving[1])
        holder = self._memory.requests
        size = len(request.body)
        if self._complete:  # the connection's own part covers a single request
            size += REQUEST_BYTES
        if len(request.headers) > COVERED_HEADERS:
            size += measure_headers(len(request.headers))
        if self._complete:
            size += len(request.url) + sum(len(n) + len(v) for n, v in request.headers)
        is_reserved = not size or holder.try_reserve(size)
        self._complete.append((holder, size) if is_reserved else None)
        return is_reserved

    def has_first(self) -> bool:
        """Return True if memory is reserved for the oldest complete request."""
        return self._complete[0] is not None

    def release_first(self) -> None:
        """Release the memory of the oldest complete request, which is answered."""
        reservation = self._complete.popleft()
        if reservation is not None:
            reservation[0].release(reservation[1])

    def _release_arriving(self) -> None:
        """Release the memory of the request that arrives."""
        if self._arriving is not None:
            holder, size = self._arriving
            self._arriving = None
            holder.release(size)

    def close(self) -> None:
        """Release all memory of the connection, which has ended."""
        self._release_arriving()
        while self._complete:
            self.release_first()
        if self.is_open:
            self.is_open = False
            self._memory.connections.release(CONNECTION_BYTES)


def measure_headers(count: int) -> int:
    """Return what headers take beyond the reservation of their connection."""
    return max(0, count - COVERED_HEADERS) * HEADER_OBJECT_BYTES
