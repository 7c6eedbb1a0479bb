"""The targets of each service, as the platform lists them."""

from collections.abc import Callable

from ..clock import Clock
from .routed_target import RoutedTarget
from .target_stats import RoutedTargetStats

# Part of the drain bound in which a leaver may still be asked. With the time that
# news takes it stays within the bound; entries that lapsed while targets could not
# reach the platform are back within about two seconds.
LAST_RESORT_SHARE = 0.75


class RoutedTargetRegistry:
    """Targets that may get work, with the evidence of each.

    A target that drains or whose entry is gone gets no work while its service has
    another one. If it has none, such a target stays the last resort for a part of
    the drain bound: entries may also lapse because targets could not reach the
    platform, and return soon.

    Parameters
    ----------
    clock : Clock
        Source of time.
    drain : float
        Seconds after which a leaving target must not get requests.
    forget : callable
        Called with each target that is not asked any more.
    """

    def __init__(
        self,
        clock: Clock,
        drain: float,
        forget: Callable[[RoutedTarget], None],
    ):
        self._clock = clock
        self._last_resort = drain * LAST_RESORT_SHARE
        self._forget = forget
        self._live: dict[str, RoutedTargetStats] = {}
        self._by_service: dict[str, list[RoutedTargetStats]] = {}
        self._leaving: dict[str, dict[str, tuple[RoutedTargetStats, float]]] = {}

    def __len__(self) -> int:
        """Return the number of targets that may get work."""
        return len(self._live)

    def update(self, target: RoutedTarget) -> None:
        """Take a target's newest record."""
        known = self._live.get(target.name)
        if known is not None and not target.is_same_incarnation(known.target):
            self._drop(known)
            self._forget(known.target)
            known = None
        if target.draining:
            self._put_draining(target, known)
        elif known is not None:
            known.target = target
        else:
            self._add(target)

    def _add(self, target: RoutedTarget) -> None:
        """Let a target get work; one that had lapsed keeps its evidence."""
        leaving = self._leaving.get(target.service, {})
        evidence, _ = leaving.pop(target.name, (None, 0.0))
        if evidence is None or not target.is_same_incarnation(evidence.target):
            evidence = RoutedTargetStats(target)
        evidence.target = target
        self._live[target.name] = evidence
        self._by_service.setdefault(target.service, []).append(evidence)

    def _put_draining(
        self, target: RoutedTarget, known: RoutedTargetStats | None
    ) -> None:
        """Take a target out of service."""
        if known is None:
            return
        known.target = target
        self._drop(known)
        self._keep(known, self._clock.now() + self._last_resort)

    def remove(self, name: str) -> None:
        """Take word that a target's entry is gone."""
        known = self._live.get(name)
        if known is None:
            return
        self._drop(known)
        self._keep(known, self._clock.now() + self._last_resort)

    def _drop(self, evidence: RoutedTargetStats) -> None:
        """Take a target out of the lists."""
        target = evidence.target
        del self._live[target.name]
        siblings = self._by_service[target.service]
        siblings.remove(evidence)
        if not siblings:
            del self._by_service[target.service]

    def _keep(self, evidence: RoutedTargetStats, until: float) -> None:
        """Keep a leaving target as the last resort until some time."""
        service = self._leaving.setdefault(evidence.target.service, {})
        service[evidence.target.name] = (evidence, until)

    def candidates(self, service: str) -> list[RoutedTargetStats]:
        """Return the targets of a service that may be asked; the caller keeps it."""
        live = self._by_service.get(service)
        if live:
            return live
        leaving = self._leaving.get(service)
        if not leaving:
            return []
        now = self._clock.now()
        return [evidence for evidence, until in leaving.values() if now < until]

    def can_reach(self, service: str) -> bool:
        """Tell whether a target of a service can be asked with a chance."""
        return any(not e.unreachable for e in self.candidates(service))

    def count_unreachable(self) -> int:
        """Return the number of targets that cannot be reached now."""
        return sum(1 for e in self._live.values() if e.unreachable)

    def suspects(self, now: float, silence: float) -> list[RoutedTargetStats]:
        """Return the targets that may be out of reach.

        Parameters
        ----------
        now : float
            Time in seconds.
        silence : float
            Seconds without an answer after which a target is suspect.
        """
        return [e for e in self._live.values() if e.is_suspect(now, silence)]

    def find(self, name: str) -> RoutedTargetStats | None:
        """Return a target that may get work."""
        return self._live.get(name)

    def names(self) -> list[str]:
        """Return the names of the targets that may get work."""
        return list(self._live)

    def remove_expired(self) -> None:
        """Forget leavers whose time is over; called about once a second."""
        now = self._clock.now()
        for service, leaving in list(self._leaving.items()):
            for name, (evidence, until) in list(leaving.items()):
                if now >= until:
                    del leaving[name]
                    self._forget(evidence.target)
            if not leaving:
                del self._leaving[service]
