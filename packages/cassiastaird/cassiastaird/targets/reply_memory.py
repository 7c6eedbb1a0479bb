"""Account of the memory that incomplete replies of targets hold."""

from cassiastair.memory_account import MemoryHolder


class ReplyMemory:
    """Bounds the bytes that all replies hold together while they are received.

    Above the bound, replies that hold an equal share of it or more are given up as
    they grow, so that a target that sends bytes without end costs its own requests and
    not those of other targets. Smaller replies still grow up to their share, so at
    most twice the bound is held.

    Parameters
    ----------
    limit : int
        Bytes that all replies may hold together.
    holder : MemoryHolder, optional
        Holder of the process's memory account. When the account is full, the bound is
        half of what this holder has and can still get.

    Attributes
    ----------
    held : int
        Bytes that are held now.
    exceeded_count : int
        Number of replies that were given up.
    """

    def __init__(self, limit: int, holder: MemoryHolder | None = None):
        self.limit = limit
        self._holder = holder
        self.held = 0
        self.exceeded_count = 0
        self._sizes: dict[object, int] = {}

    def hold(self, reader: object, size: int) -> bool:
        """Record how many bytes a reader holds.

        Returns
        -------
        bool
            False if the bound is exceeded and this reader holds its share or more.
        """
        added = size - self._sizes.get(reader, 0)
        limit = self._find_limit()
        is_reserved = self._holder is None or self._holder.try_reserve(added)
        if is_reserved:
            self.held += added
            self._sizes[reader] = size
            if self.held <= limit or size * len(self._sizes) < limit:
                return True
        self.exceeded_count += 1
        return False

    def _find_limit(self) -> int:
        """Return the bound on all replies for now."""
        if self._holder is None:
            return self.limit
        return min(self.limit, (self._holder.held + self._holder.available) // 2)

    def release(self, reader: object) -> None:
        """Remove a reader whose bytes are dropped or passed on."""
        size = self._sizes.pop(reader, 0)
        self.held -= size
        if self._holder is not None:
            self._holder.release(size)
