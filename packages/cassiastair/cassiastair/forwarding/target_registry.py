"""Registry of the targets of each service, fed by the platform's records."""

from collections.abc import Callable

from ..clock import Clock
from .routed_target import RoutedTarget
from .target_stats import RoutedTargetStats

# Part of the drain limit for which a draining target stays the fallback of its service,
# from the earliest time at which the store may have taken the change. The rest covers
# the way of a request to the target. Records that expired because targets could not
# reach the platform return within about two seconds.
FALLBACK_SHARE = 0.75
LEFT_MEMORY_S = 60.0  # for which a target that left is remembered without a record
DISPLACED_MEMORY_S = 60.0  # after which a displaced target gets a request again


class RoutedTargetRegistry:
    """Targets that may get requests, with the statistics of each.

    A target that is draining, by its record or its own word, or whose record was
    removed, gets no requests while its service has a live target. If there is none, the
    draining targets serve as a fallback for a part of the drain limit, because records
    also expire when targets cannot reach the platform for a short time.

    Parameters
    ----------
    clock : Clock
        Source of time.
    drain_limit : float
        Seconds after which a draining target must not get requests.
    on_removed : callable
        Called with the record of each target that gets no more requests.
    find_change_age : callable
        Returns how many seconds ago the platform may have taken a change that is
        being applied.
    """

    def __init__(
        self,
        clock: Clock,
        drain_limit: float,
        on_removed: Callable[[RoutedTarget], None],
        find_change_age: Callable[[], float],
    ):
        self._clock = clock
        self._fallback_time = drain_limit * FALLBACK_SHARE
        self._on_removed = on_removed
        self._find_change_age = find_change_age
        self._live: dict[str, RoutedTargetStats] = {}
        self._by_service: dict[str, list[RoutedTargetStats]] = {}
        self._draining: dict[str, dict[str, tuple[RoutedTargetStats, float]]] = {}
        self._leaving: dict[str, RoutedTarget] = {}  # that have said so themselves
        self._removed_at: dict[str, float] = {}  # of those whose record is missing
        # Displaced targets, each with the end of the time for which that is believed.
        self._displaced: dict[str, tuple[RoutedTarget, float]] = {}
        # Targets that want no requests, each with the end of that time.
        self._paused: dict[str, tuple[RoutedTarget, float]] = {}

    def __len__(self) -> int:
        """Return the number of live targets."""
        return len(self._live)

    def update(self, target: RoutedTarget) -> None:
        """Add or replace the record of a target.

        Statistics are kept unless the record describes another process. A target that
        has said itself that it leaves stays so, whatever its record says.
        """
        left = self._leaving.get(target.name)
        if left is not None:
            if target.is_same_incarnation(left):
                self._removed_at.pop(target.name, None)
                return
            self._forget_leaving(target.name)
        displaced, until = self._displaced.get(target.name, (None, 0.0))
        if target.is_same_incarnation(displaced):
            self._displaced[target.name] = (target, until)
            return
        self._displaced.pop(target.name, None)
        known = self._live.get(target.name)
        if known is not None and not target.is_same_incarnation(known.target):
            self._remove_live(known)
            self._on_removed(known.target)
            known = None
        if target.draining:
            self._update_draining(target, known)
        elif known is not None:
            known.target = target
        else:
            self._add_live(target)

    def _add_live(self, target: RoutedTarget) -> None:
        """Add a live target; a draining one becomes live with its statistics."""
        draining = self._draining.get(target.service, {})
        stats, _ = draining.pop(target.name, (None, 0.0))
        if stats is None or not target.is_same_incarnation(stats.target):
            stats = RoutedTargetStats(target)
            paused, until = self._paused.get(target.name, (None, 0.0))
            if target.is_same_incarnation(paused):
                stats.paused_until = until
        stats.target = target
        self._live[target.name] = stats
        self._by_service.setdefault(target.service, []).append(stats)

    def _update_draining(
        self, target: RoutedTarget, known: RoutedTargetStats | None
    ) -> None:
        """Turn a live target into a draining one."""
        if known is None:
            return
        known.target = target
        self._remove_live(known)
        self._add_draining(known, self._find_change_age())

    def record_leaving(self, target: RoutedTarget) -> bool:
        """Record that a target has said itself that it leaves; it becomes draining.

        Returns
        -------
        bool
            Whether that is news of a target that may get requests.
        """
        if target.name in self._leaving:
            return False
        known = self._live.get(target.name)
        if known is not None and target.is_same_incarnation(known.target):
            self._remove_live(known)
            self._add_draining(known, 0.0)
        elif target.name not in self._draining.get(target.service, {}):
            return False
        self._leaving[target.name] = target
        return True

    def record_displaced(self, target: RoutedTarget) -> bool:
        """Record that another process has answered at the address of a target.

        Returns
        -------
        bool
            Whether that is news of a target that may get requests.
        """
        known = self._live.get(target.name)
        if known is not None and target.is_same_incarnation(known.target):
            self._remove_live(known)
        else:
            draining = self._draining.get(target.service, {})
            known, _ = draining.get(target.name, (None, 0.0))
            if known is None or not target.is_same_incarnation(known.target):
                return False
            del draining[target.name]
        until = self._clock.now() + DISPLACED_MEMORY_S
        known.displaced = True
        self._displaced[target.name] = (known.target, until)
        self._on_removed(known.target)
        return True

    def count_displaced(self) -> int:
        """Return the number of targets whose address another process has."""
        return len(self._displaced)

    def _forget_leaving(self, name: str) -> None:
        """Forget that a target has said that it leaves."""
        del self._leaving[name]
        self._removed_at.pop(name, None)

    def count_leaving(self) -> int:
        """Return the number of targets that have said themselves that they leave."""
        return len(self._leaving)

    def record_pause(self, stats: RoutedTargetStats, until: float) -> None:
        """Record that a target wants no requests before a time, in seconds.

        This is remembered while its record is missing, which may lapse and return.
        """
        stats.paused_until = until
        self._paused[stats.target.name] = (stats.target, until)

    def list_paused(self) -> list[str]:
        """Return the names of the targets that want no requests for a time."""
        now = self._clock.now()
        return [name for name, (_, until) in self._paused.items() if until > now]

    def remove(self, name: str) -> None:
        """Handle the removal of a target's record: a live target becomes draining."""
        self._displaced.pop(name, None)
        left = self._leaving.get(name)
        if left is not None:
            self._removed_at[name] = self._clock.now()
            if not left.started_ms:  # a later record may be that of another process
                self._forget_leaving(name)
        known = self._live.get(name)
        if known is None:
            return
        self._remove_live(known)
        self._add_draining(known, self._find_change_age())

    def _remove_live(self, stats: RoutedTargetStats) -> None:
        """Remove a target from the live targets."""
        target = stats.target
        del self._live[target.name]
        siblings = self._by_service[target.service]
        siblings.remove(stats)
        if not siblings:
            del self._by_service[target.service]

    def _add_draining(self, stats: RoutedTargetStats, age: float) -> None:
        """Keep a target that has been draining for `age` seconds as a fallback."""
        until = self._clock.now() - age + self._fallback_time
        service = self._draining.setdefault(stats.target.service, {})
        service[stats.target.name] = (stats, until)

    def candidates(self, service: str) -> list[RoutedTargetStats]:
        """Return the targets of a service that may get a request.

        These are the live targets or, if there are none, the draining ones in their
        fallback time. The list may be the registry's own, so callers must not
        modify it.
        """
        live = self._by_service.get(service)
        if live:
            return live
        draining = self._draining.get(service)
        if not draining:
            return []
        now = self._clock.now()
        return [stats for stats, until in draining.values() if now < until]

    def has_reachable_target(self, service: str) -> bool:
        """Return True if a candidate of a service is not known to be unreachable."""
        for stats in self.candidates(service):
            if not stats.unreachable:
                return True
        return False

    def count_unreachable(self) -> int:
        """Return the number of live targets that are unreachable."""
        return sum(1 for e in self._live.values() if e.unreachable)

    def find_suspects(self, now: float, stall_time: float) -> list[RoutedTargetStats]:
        """Return the live targets that may be unreachable.

        Parameters
        ----------
        now : float
            Time in seconds.
        stall_time : float
            Seconds without an answer after which a target counts as stalled.
        """
        return [e for e in self._live.values() if e.is_suspect(now, stall_time)]

    def find(self, name: str) -> RoutedTargetStats | None:
        """Return the statistics of a live target; None if there is none so named."""
        return self._live.get(name)

    def names(self) -> list[str]:
        """Return the names of the live targets."""
        return list(self._live)

    def remove_expired(self) -> None:
        """Remove draining targets whose fallback time is over, and what is outdated.

        The daemon calls this periodically.
        """
        now = self._clock.now()
        for name in [n for n, (_, until) in self._paused.items() if until <= now]:
            del self._paused[name]
        for name, (target, until) in list(self._displaced.items()):
            if until <= now:
                del self._displaced[name]
                self.update(target)
        since = now - LEFT_MEMORY_S
        for name in [n for n, at in self._removed_at.items() if at < since]:
            self._forget_leaving(name)
        for service, draining in list(self._draining.items()):
            for name, (stats, until) in list(draining.items()):
                if now >= until:
                    del draining[name]
                    self._on_removed(stats.target)
            if not draining:
                del self._draining[service]
