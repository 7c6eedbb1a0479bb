"""Background task that polls targets for reports and keeps connections open."""

import random

import eventlet
from cassiastair.clock import Clock
from cassiastair.membership import DrainingTargets
from cassiastair.search.dependencies import SearchDependencies
from cassiastair.search.engine import refresh_from_report
from cassiastair.targets import TargetFailure
from cassiastair.targets.target_stats import TargetStats

from .targets import HttpTargetClient

TICK_INTERVAL_S = 0.5
# Longer than a ticket may arrive after drain marks and versions of its targets.
CLEANUP_INTERVAL_S = 60.0
WARM_CONNECTIONS = 1  # idle connections kept open to each target
IDLE_REPORT_INTERVAL_S = 5.0  # time without an answer after which a report is fetched
DOWN_REPORT_INTERVAL_S = 1.0  # time between checks of a target that is down
REPORT_TIMEOUT_S = 1.0
MAX_CHECKS_PER_TICK = 50  # spreads the checks of many targets over time


class TargetMonitor:
    """Polls targets without recent answers and keeps an idle connection to each one.

    Parameters
    ----------
    dependencies : SearchDependencies
        Objects that the search engine uses, among them the statistics of targets.
    client : HttpTargetClient
        Client whose connections are opened in advance.
    draining_targets : DrainingTargets
        Targets that get no new requests. Their reports are fetched, too, since a new
        incarnation of a target may serve again.
    clock : Clock
        Source of time.
    rng : random.Random
        Random number generator for the jitter of the check intervals.
    """

    def __init__(
        self,
        dependencies: SearchDependencies,
        client: HttpTargetClient,
        draining_targets: DrainingTargets,
        clock: Clock,
        rng: random.Random,
    ):
        self._dependencies = dependencies
        self._client = client
        self._draining_targets = draining_targets
        self._clock = clock
        self._rng = rng
        self._due_at: dict[str, float] = {}
        self._checked: set[str] = set()
        self._all_checked = False
        self._cleanup_at = clock.now() + CLEANUP_INTERVAL_S

    def is_warm(self) -> bool:
        """Return True once every target in force was checked; it stays true."""
        targets = self._dependencies.catalogue.targets
        if not self._all_checked and targets and self._checked.issuperset(targets):
            self._all_checked = True
            self._checked.clear()
        return self._all_checked

    def run(self) -> None:
        """Check targets and clean up until the process ends."""
        while True:
            self.tick()
            self._remove_absent_targets()
            eventlet.sleep(TICK_INTERVAL_S)

    def _remove_absent_targets(self) -> None:
        """Remove the state of targets that are no longer in force."""
        now = self._clock.now()
        if now < self._cleanup_at:
            return
        self._cleanup_at = now + CLEANUP_INTERVAL_S
        targets = self._dependencies.catalogue.targets
        self._client.retain_only(set(targets))
        self._dependencies.held_versions.retain_only(targets)
        self._draining_targets.retain_only(targets)
        self._due_at = {
            name: at for name, at in self._due_at.items() if name in targets
        }
        self._dependencies.registry.list_tracked()

    def tick(self) -> None:
        """Start a check of each target that is due, up to `MAX_CHECKS_PER_TICK`."""
        targets = self._dependencies.catalogue.targets
        now = self._clock.now()
        due = [t for t in targets.values() if self._due_at.get(t.name, 0.0) <= now]
        for target in due[:MAX_CHECKS_PER_TICK]:
            stats = self._dependencies.registry.get(target)
            interval = DOWN_REPORT_INTERVAL_S if stats.down else IDLE_REPORT_INTERVAL_S
            self._due_at[target.name] = now + interval * (0.75 + self._rng.random() / 2)
            eventlet.spawn_n(self._check, stats)

    def _check(self, stats: TargetStats) -> None:
        """Check a target and record that it was checked."""
        self._refresh(stats)
        if not self._all_checked:
            self._checked.add(stats.name)

    def _refresh(self, stats: TargetStats) -> None:
        """Fetch the report of a target if needed and keep an idle connection to it."""
        answer_is_old = self._clock.now() - stats.answered_at >= IDLE_REPORT_INTERVAL_S
        is_draining = self._draining_targets.is_draining(stats.target.name)
        versions_unknown = (
            self._dependencies.held_versions.get(stats.target.name) is None
        )
        if answer_is_old or is_draining or versions_unknown or stats.down:
            refresh_from_report(self._dependencies, stats, REPORT_TIMEOUT_S)
        if stats.down or is_draining:
            return
        try:
            with eventlet.Timeout(REPORT_TIMEOUT_S, False):
                self._client.warm(stats.target, WARM_CONNECTIONS)
        except TargetFailure as failure:
            self._dependencies.observer.record_failure(stats, failure)
