"""Account of the memory that incomplete replies of targets hold."""


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

    Attributes
    ----------
    held : int
        Bytes that are held now.
    exceeded_count : int
        Number of replies that were given up.
    """

    def __init__(self, limit: int):
        self.limit = limit
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
        self.held += size - self._sizes.get(reader, 0)
        self._sizes[reader] = size
        if self.held <= self.limit or size * len(self._sizes) < self.limit:
            return True
        self.exceeded_count += 1
        return False

    def release(self, reader: object) -> None:
        """Remove a reader whose bytes are dropped or passed on."""
        self.held -= self._sizes.pop(reader, 0)
