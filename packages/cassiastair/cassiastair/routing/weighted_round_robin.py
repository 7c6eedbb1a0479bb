"""Distribution of a route's requests over weighted services."""

from .route import WeightedService


class SmoothWeightedRoundRobin:
    """Smooth weighted round robin.

    At any time the number of requests of each service differs from its exact share
    by little more than one request. The shares thus hold over short periods and at
    low rates, where a random choice would deviate more.

    Parameters
    ----------
    services : tuple of WeightedService
        Services with their weights; a service of weight zero gets no requests.
    phase : float
        Position between 0 and 1 at which the cycle starts. VMs with different
        phases do not all send their first request to the same service.
    """

    def __init__(self, services: tuple[WeightedService, ...], phase: float):
        self._services = [s for s in services if s.weight > 0] or list(services)
        self._total_weight = sum(s.weight for s in self._services) or 1.0
        self._current_weights = [0.0] * len(self._services)
        if len(self._services) > 1:
            for _ in range(int(phase * 16)):
                self.choose()

    def choose(self) -> str:
        """Return the name of the service for the next request."""
        if len(self._services) == 1:
            return self._services[0].service
        best = 0
        for position, service in enumerate(self._services):
            self._current_weights[position] += service.weight
            if self._current_weights[position] > self._current_weights[best]:
                best = position
        self._current_weights[best] -= self._total_weight
        return self._services[best].service
