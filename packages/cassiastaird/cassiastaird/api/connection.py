"""State of one caller's connection to the interface, and the memory that it holds."""

from cassiastair.clock import Clock
from eventlet.green import socket

from ..entry.entry_memory import EntryMemory
from .phase import Phase

# Objects of a connection, the head of a request, and what the kernel holds unread.
CONNECTION_BYTES = 65_536
SMALL_BODY_BYTES = 16_384
BODY_COPIES = 4  # parts that are joined, the body, and the objects that it encodes
SMALL_ANSWER_BYTES = 8192  # the reservation of the connection covers it
MEMORY_WAIT_S = 3.0


class ApiConnection:
    """A connection with its phase and its reservations.

    Parameters
    ----------
    sock : socket
        Accepted connection.
    memory : EntryMemory
        Memory for the bytes of callers.
    clock : Clock
        Source of time.

    Attributes
    ----------
    phase : Phase
        What the connection waits for.
    since : float
        Time in seconds at which the phase began.
    """

    def __init__(self, sock, memory: EntryMemory, clock: Clock):
        self._sock = sock
        self._memory = memory
        self._clock = clock
        self._reservations: list = []
        self.enter(Phase.IDLE)

    def enter(self, phase: Phase) -> None:
        """Begin a phase."""
        self.phase = phase
        self.since = self._clock.now()

    def open(self) -> bool:
        """Reserve what the connection itself takes; return False if that fails."""
        return self._try_reserve(self._memory.connections, CONNECTION_BYTES)

    def _try_reserve(self, holder, size: int) -> bool:
        """Reserve memory until the connection ends; return False if it is full."""
        if not holder.try_reserve(size):
            holder.refuse(size)
            return False
        self._reservations.append((holder, size))
        return True

    def reserve_body(self, length: int) -> None:
        """Reserve what a body and its parsed form take, before it is read.

        Raises
        ------
        MemoryFullError
            If there is no memory for it in time.
        """
        size = BODY_COPIES * length
        memory = self._memory
        is_small = length <= SMALL_BODY_BYTES
        holder = memory.requests if is_small else memory.bodies
        self.enter(Phase.WORKING)  # not a wait for the caller
        memory.reserve(holder, size, MEMORY_WAIT_S, check_caller=lambda: None)
        self._reservations.append((holder, size))
        self.enter(Phase.RECEIVING)

    def reserve_answer(self, length: int) -> bool:
        """Reserve what an answer takes until it is sent; return False if that fails."""
        self.enter(Phase.SENDING)
        if length <= SMALL_ANSWER_BYTES:
            return True
        return self._try_reserve(self._memory.answers, length)

    def release_request(self) -> None:
        """Release what a request and its answer have reserved."""
        while len(self._reservations) > 1:
            self._release_last()

    def _release_last(self) -> None:
        """Release the latest reservation."""
        holder, size = self._reservations.pop()
        holder.release(size)

    @property
    def size(self) -> int:
        """Bytes that are reserved."""
        return sum(size for _, size in self._reservations)

    def is_overdue(self, now: float, idle_s: float, transfer_s: float) -> bool:
        """Return True if the connection has waited too long for its caller.

        Parameters
        ----------
        now : float
            Time in seconds.
        idle_s : float
            Longest wait for the next request, in seconds.
        transfer_s : float
            Longest wait for the rest of a request, or for an answer to be read.
        """
        if self.phase is Phase.WORKING:
            return False
        limit = idle_s if self.phase is Phase.IDLE else transfer_s
        return now - self.since > limit

    def shut_down(self) -> None:
        """Shut the socket down, so that the task of the connection ends."""
        try:
            self._sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass  # the caller has closed it already

    def end(self) -> None:
        """Release all memory of the connection, which has ended."""
        while self._reservations:
            self._release_last()
