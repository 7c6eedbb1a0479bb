"""Memory that the entry daemon may use for bytes of callers, targets and the store.

The limit is what the platform allows the process, less what the process takes when
idle and a margin for the allocator. Readiness checks, metrics and links to peers hold
little and reserve nothing, so that they work when the memory is full.
"""

import gc
import os
from collections.abc import Callable

import eventlet
from cassiastair.clock import Clock
from cassiastair.memory_account import MemoryAccount, MemoryHolder
from eventlet.event import Event

from ..allocator import return_free_memory

USABLE_SHARE = 0.85  # of the memory; the rest is for fragments and short-lived copies
MIN_LIMIT_SHARE = 0.1  # of the memory, also for a process that is large when idle
STORE_SHARE = 0.1  # guaranteed parts of the limit
CONNECTIONS_SHARE = 0.1
REQUESTS_SHARE = 0.15
BODIES_SHARE = 0.1
ANSWERS_SHARE = 0.05
REPLIES_SHARE = 0.1
WAIT_POLL_S = 0.2  # interval of checks whether a waiting caller has left
QUIET_S = 5.0  # time without a shortage after which the pressure is over
CREST_SHARE = 0.1  # of the limit; less than this is reused without returning it
RETURNS_AFTER_CREST = 8  # one at each check
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


class EntryMemory:
    """Account of the daemon's memory with its holders.

    Parameters
    ----------
    memory_bytes : int
        Memory that the process may use.
    clock : Clock
        Source of time.
    read_resident : callable
        Returns the resident memory of the process in bytes.

    Attributes
    ----------
    account : MemoryAccount
        The account.
    connections : MemoryHolder
        Connections of callers with the head of a request.
    requests : MemoryHolder
        Small requests that wait or run.
    bodies : MemoryHolder
        Larger bodies, from their first bytes until the answer.
    answers : MemoryHolder
        Answers that callers have not taken yet.
    replies : MemoryHolder
        Replies of targets that are being received.
    store : MemoryHolder
        Part that is kept free for readings of the store, which its client bounds.
    """

    def __init__(
        self, memory_bytes: int, clock: Clock, read_resident: Callable[[], int]
    ):
        self._memory_bytes = memory_bytes
        self._clock = clock
        self._read_resident = read_resident
        self.account = MemoryAccount(self._compute_limit(read_resident()))
        add = self.account.add_holder
        self.connections = add("connections", CONNECTIONS_SHARE)
        self.requests = add("requests", REQUESTS_SHARE)
        self.bodies = add("bodies", BODIES_SHARE)
        self.answers = add("answers", ANSWERS_SHARE)
        self.replies = add("replies", REPLIES_SHARE)
        self.store = add("store", STORE_SHARE)
        self._under_pressure = False
        self._shortage_count = 0
        self._shortage_at = float("-inf")
        self._crest = 0
        self._returns_left = RETURNS_AFTER_CREST

    def _compute_limit(self, idle_bytes: int) -> int:
        """Return the limit of the account for a process that is this large idle."""
        usable = int(USABLE_SHARE * self._memory_bytes) - idle_bytes
        return max(usable, int(MIN_LIMIT_SHARE * self._memory_bytes))

    def measure_idle(self) -> None:
        """Derive the limit again, after the configuration in force has grown."""
        self._return_memory()
        idle_bytes = self._read_resident() - self.account.held
        self.account.set_limit(self._compute_limit(idle_bytes))

    def check(self) -> str | None:
        """Return memory after a crest; return a change of the pressure.

        Returns
        -------
        str or None
            ``begin`` or ``end``; None if nothing has changed.
        """
        now = self._clock.now()
        held = self.account.held
        self._return_after_crest(held)
        if self.account.has_waits or self.account.shortage_count > self._shortage_count:
            self._shortage_count = self.account.shortage_count
            self._shortage_at = now
        is_pressed = now - self._shortage_at < QUIET_S
        if is_pressed == self._under_pressure:
            return None
        self._under_pressure = is_pressed
        return "begin" if is_pressed else "end"

    def _return_after_crest(self, held: int) -> None:
        """Return memory a few times after most of what was held is released.

        The last connections end later than most, and free more blocks of the heap.
        """
        self._crest = max(self._crest, held)
        if self._crest < CREST_SHARE * self.account.limit or held > self._crest / 4:
            self._returns_left = RETURNS_AFTER_CREST
            return
        self._return_memory()
        self._returns_left -= 1
        if not self._returns_left:
            self._crest = held

    def take_shortage(self) -> int:
        """Return the bytes that wait, or were refused since the last call."""
        refused_size, self.account.refused_size = self.account.refused_size, 0
        return self.account.waiting + refused_size

    def _return_memory(self) -> None:
        """Return free memory to the system."""
        gc.collect()
        return_free_memory()

    def reserve(
        self,
        holder: MemoryHolder,
        size: int,
        max_wait: float,
        check_caller: Callable[[], None],
    ) -> None:
        """Reserve memory, after waiting for it if it is full.

        Parameters
        ----------
        holder : MemoryHolder
            Holder to reserve for.
        size : int
            Bytes to reserve.
        max_wait : float
            Seconds to wait.
        check_caller : callable
            Called at intervals; raises OSError if the caller has left.

        Raises
        ------
        MemoryFullError
            If there is no memory in time, or is known to be none.
        """
        if holder.try_reserve(size):
            return
        event = Event()
        wait = holder.wait(size, lambda: event.send(None))
        deadline = self._clock.now() + max_wait
        try:
            while not wait.granted:
                check_caller()
                left = deadline - self._clock.now()
                if left <= 0:
                    raise holder.refuse(size)
                with eventlet.Timeout(min(left, WAIT_POLL_S), False):
                    event.wait()
        except BaseException:
            wait.cancel()
            raise

    def list_held(self) -> dict[str, int]:
        """Return what each holder holds."""
        return {holder.name: holder.held for holder in self.account.holders}

    def list_refused(self) -> dict[str, int]:
        """Return how many reservations of each holder were refused."""
        return {holder.name: holder.refused_count for holder in self.account.holders}


def read_resident_memory() -> int:
    """Return the resident memory of this process in bytes."""
    with open("/proc/self/statm", "rb") as file:
        return int(file.read().split()[1]) * PAGE_BYTES
