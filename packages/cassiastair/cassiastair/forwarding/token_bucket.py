"""Token bucket that admits requests at a limited rate."""


class TokenBucket:
    """Tokens that accrue at a rate up to a capacity; each request takes one.

    It starts with a single token.

    Parameters
    ----------
    rate : float
        Tokens a second.
    capacity : float
        Most tokens that accrue, at least 1.
    now : float
        Time in seconds.

    Attributes
    ----------
    rate : float
        Tokens a second.
    """

    __slots__ = ("rate", "_capacity", "_level", "_updated_at")

    def __init__(self, rate: float, capacity: float, now: float):
        self.rate = rate
        self._capacity = capacity
        self._level = 1.0
        self._updated_at = now

    def configure(self, rate: float, capacity: float, now: float) -> None:
        """Change the rate and the capacity from now on."""
        self._level = min(self._get_level(now), capacity)
        self._updated_at = now
        self.rate = rate
        self._capacity = capacity

    def _get_level(self, now: float) -> float:
        """Return the number of tokens."""
        accrued = self.rate * max(0.0, now - self._updated_at)
        return min(self._capacity, self._level + accrued)

    def find_wait(self, reserve_share: float, now: float) -> float:
        """Return the seconds until a request may take a token.

        Parameters
        ----------
        reserve_share : float
            Share of the capacity beyond one token that the request must leave.
        now : float
            Time in seconds.
        """
        needed = 1.0 + reserve_share * (self._capacity - 1.0)
        return max(0.0, needed - self._get_level(now)) / self.rate

    def take(self, now: float) -> None:
        """Take a token, also if there is less than one."""
        self._level = self._get_level(now) - 1.0
        self._updated_at = now

    def put_back(self, now: float) -> None:
        """Return the token of a request that was not sent."""
        self._level = min(self._capacity, self._get_level(now) + 1.0)
        self._updated_at = now
