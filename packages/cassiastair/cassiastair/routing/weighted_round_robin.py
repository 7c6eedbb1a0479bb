"""Division of a route's requests among weighted services."""

from .route import WeightedService


class SmoothWeightedRoundRobin:
    """Smooth weighted round robin.

    After any number of requests each service's count is within one of its exact
    share, so the shares hold over short spans and at low rates, where random
    choices would stray.

    Parameters
    ----------
    services : tuple of WeightedService
        Services and weights; those of weight zero get nothing.
    phase : float
        Between 0 and 1: where in its cycle the split starts. VMs that start at
        different phases do not all send their first request to the same service.
    """

    def __init__(self, services: tuple[WeightedService, ...], phase: float):
        self._services = [s for s in services if s.weight > 0] or list(services)
        self._total = sum(s.weight for s in self._services) or 1.0
        self._credit = [0.0] * len(self._services)
        if len(self._services) > 1:
            for _ in range(int(phase * 16)):
                self.choose()

    def choose(self) -> str:
        """Return the service of the next request."""
        if len(self._services) == 1:
            return self._services[0].service
        best = 0
        for position, service in enumerate(self._services):
            self._credit[position] += service.weight
            if self._credit[position] > self._credit[best]:
                best = position
        self._credit[best] -= self._total
        return self._services[best].service
