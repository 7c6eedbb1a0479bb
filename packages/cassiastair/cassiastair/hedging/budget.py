"""Budgets: extra subrequests as a share of the ordinary ones."""


class ExtraLoadBudget:
    """Allows extra work in proportion to ordinary work.

    Parameters
    ----------
    share : float
        Extra subrequests for each ordinary one.
    burst : float
        Extra subrequests saved up at most.
    """

    def __init__(self, share: float, burst: float = 20.0):
        self.share = share
        self._burst = burst
        self._saved = burst if share > 0 else 0.0

    def deposit(self, count: int) -> None:
        """Take note of ordinary subrequests."""
        self._saved = min(self._burst, self._saved + self.share * count)

    def try_spend(self) -> bool:
        """Take one extra subrequest; tell whether the budget allowed it."""
        if self._saved < 1.0:
            return False
        self._saved -= 1.0
        return True
