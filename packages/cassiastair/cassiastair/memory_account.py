"""Account of the memory that bytes from other processes take in this one.

Bounds on a single request or reply do not bound a process: many callers, each within
its limits, can together make it hold more than the memory that it may use. Every part
of the daemon that keeps such bytes therefore reserves them here before it reads them.
"""

from collections import deque
from collections.abc import Callable

from .errors import MemoryFullError

MAX_WAITING_SHARE = 0.25  # of the limit, for which reservations of a holder wait


class MemoryWait:
    """Reservation that waits for memory.

    Attributes
    ----------
    granted : bool
        Whether the memory is reserved now.
    """

    __slots__ = ("granted", "sequence", "size", "wake", "_holder", "_cancelled")

    def __init__(self, holder: "MemoryHolder", size: int, sequence: int, wake):
        self.granted = False
        self.sequence = sequence
        self.size = size
        self.wake = wake
        self._holder = holder
        self._cancelled = False

    def cancel(self) -> None:
        """Give the reservation up, also if it has been granted meanwhile."""
        if not self._cancelled:
            self._cancelled = True
            self._holder.remove_wait(self)


class MemoryHolder:
    """Part of the daemon that keeps bytes from other processes.

    Parameters
    ----------
    account : MemoryAccount
        Account that the holder belongs to.
    name : str
        Name of the holder for metrics and logs.
    share : float
        Share of the account's limit that no other holder can take.

    Attributes
    ----------
    guaranteed : int
        Bytes that the holder can reserve whatever the others hold.
    held : int
        Bytes that are reserved now.
    waits : deque of MemoryWait
        Reservations that wait, the oldest first.
    waiting : int
        Bytes that reservations wait for.
    refused_count : int
        Number of reservations that were refused.
    """

    def __init__(self, account: "MemoryAccount", name: str, share: float):
        self.name = name
        self.share = share
        self.guaranteed = int(share * account.limit)
        self.held = 0
        self.waiting = 0
        self.refused_count = 0
        self._account = account
        self.waits: deque[MemoryWait] = deque()

    @property
    def available(self) -> int:
        """Bytes that can be reserved now without waiting."""
        if self.waits:
            return 0
        own = max(0, self.guaranteed - self.held)
        return own if self._account.has_waits else own + self._account.free

    def try_reserve(self, size: int) -> bool:
        """Reserve memory unless it is full or earlier reservations wait."""
        fits = not self.waits and self.held + size <= self.guaranteed
        if not fits and size > self.available:
            self._account.shortage_count += 1
            return False
        self.held += size
        return True

    def refuse(self, size: int = 0) -> MemoryFullError:
        """Count the refusal of a reservation and return the error for it."""
        self.refused_count += 1
        self._account.shortage_count += 1
        self._account.refused_size += size
        return MemoryFullError(f"the memory for {self.name} is full")

    def wait(self, size: int, wake: Callable[[], object]) -> MemoryWait:
        """Queue a reservation that cannot be made at once.

        Parameters
        ----------
        size : int
            Bytes to reserve.
        wake : callable
            Called when the memory has been reserved.

        Raises
        ------
        MemoryFullError
            If the reservation can never be made, or too many wait already.
        """
        limit = self._account.limit
        if size > self.guaranteed + self._account.lendable:
            raise self.refuse()  # never possible, whatever others release
        if self.waits and self.waiting + size > MAX_WAITING_SHARE * limit:
            raise self.refuse(size)
        wait = MemoryWait(self, size, self._account.next_sequence(), wake)
        self.waits.append(wait)
        self.waiting += size
        self._account.grant_waits()
        return wait

    def remove_wait(self, wait: MemoryWait) -> None:
        """Take a cancelled reservation out of the queue, or release its memory."""
        if wait.granted:
            self.release(wait.size)
            return
        self.waits.remove(wait)
        self.waiting -= wait.size
        self._account.grant_waits()

    def grant_first(self, may_borrow: bool) -> bool:
        """Grant the first waiting reservation if there is memory for it."""
        wait = self.waits[0]
        own = max(0, self.guaranteed - self.held)
        if wait.size > own + (self._account.free if may_borrow else 0):
            return False
        self.waits.popleft()
        self.waiting -= wait.size
        self.held += wait.size
        wait.granted = True
        wait.wake()
        return True

    def release(self, size: int) -> None:
        """Give memory back.

        Raises
        ------
        ValueError
            If more is given back than is held.
        """
        if size > self.held:
            raise ValueError(f"{self.name} gives back {size} of {self.held} bytes")
        self.held -= size
        if self._account.has_waits:
            self._account.grant_waits()


class MemoryAccount:
    """Bounds what all holders reserve together.

    Each holder has a guaranteed part and may borrow what no holder is guaranteed. The
    reservation that has waited longest borrows first; as long as one waits, holders
    without waiting reservations stay within their guaranteed parts.

    Parameters
    ----------
    limit : int
        Bytes that all holders may reserve together.

    Attributes
    ----------
    holders : list of MemoryHolder
        All holders.
    shortage_count : int
        Number of reservations that could not be made at once.
    refused_size : int
        Bytes of the reservations that were refused.
    """

    def __init__(self, limit: int):
        self.limit = limit
        self.holders: list[MemoryHolder] = []
        self.shortage_count = 0
        self.refused_size = 0
        self._sequence = 0

    def add_holder(self, name: str, share: float) -> MemoryHolder:
        """Return a new holder with a guaranteed share of the limit.

        Raises
        ------
        ValueError
            If the shares of all holders exceed 1.
        """
        if sum(holder.share for holder in self.holders) + share > 1:
            raise ValueError("the guaranteed shares exceed the limit")
        holder = MemoryHolder(self, name, share)
        self.holders.append(holder)
        return holder

    def set_limit(self, limit: int) -> None:
        """Change the limit; what is reserved above a lower one stays reserved."""
        self.limit = limit
        for holder in self.holders:
            holder.guaranteed = int(holder.share * limit)
        self.grant_waits()

    @property
    def held(self) -> int:
        """Bytes that all holders have reserved."""
        return sum(holder.held for holder in self.holders)

    @property
    def waiting(self) -> int:
        """Bytes that reservations of all holders wait for."""
        return sum(holder.waiting for holder in self.holders)

    @property
    def has_waits(self) -> bool:
        """Whether any reservation waits."""
        return any(holder.waits for holder in self.holders)

    @property
    def lendable(self) -> int:
        """Bytes that are guaranteed to no holder."""
        return self.limit - sum(holder.guaranteed for holder in self.holders)

    @property
    def free(self) -> int:
        """Bytes that can be borrowed now."""
        taken = sum(max(holder.held, holder.guaranteed) for holder in self.holders)
        return max(0, self.limit - taken)

    def next_sequence(self) -> int:
        """Return a number that grows with each waiting reservation."""
        self._sequence += 1
        return self._sequence

    def grant_waits(self) -> None:
        """Grant waiting reservations for which there is memory, the oldest first."""
        granted = True
        while granted:
            waiting = [holder for holder in self.holders if holder.waits]
            waiting.sort(key=lambda holder: holder.waits[0].sequence)
            granted = any(
                holder.grant_first(may_borrow=index == 0)
                for index, holder in enumerate(waiting)
            )
