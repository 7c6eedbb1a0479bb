"""Budget for hedges and retries in proportion to ordinary subrequests."""


class ExtraLoadBudget:
    """Token bucket that ordinary subrequests fill and extra ones empty.

    Parameters
    ----------
    share : float
        Extra subrequests allowed for each ordinary one.
    burst : float
        Maximum number of extra subrequests that can accumulate.
    """

    def __init__(self, share: float, burst: float = 20.0):
        self.share = share
        self._burst = burst
        self._balance = burst if share > 0 else 0.0

    def deposit(self, count: int) -> None:
        """Add the allowance for a number of ordinary subrequests."""
        self._balance = min(self._burst, self._balance + self.share * count)

    def try_spend(self) -> bool:
        """Spend one extra subrequest; return False if the budget does not allow it."""
        if self._balance < 1.0:
            return False
        self._balance -= 1.0
        return True
