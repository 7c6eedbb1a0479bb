"""Background care for targets: warm connections, reports where nothing is known."""

import random

import eventlet
from cassiastair.clock import Clock
from cassiastair.membership import DrainingTargets
from cassiastair.search.dependencies import SearchDependencies
from cassiastair.search.engine import refresh_from_report
from cassiastair.targets import TargetFailure
from cassiastair.targets.target_stats import TargetStats

from .targets import HttpTargetClient

TICK_S = 0.5
FORGET_INTERVAL_S = 60.0  # longer than a ticket may lag behind word of its targets
WARM_CONNECTIONS = 1  # idle connections kept to each target
IDLE_REPORT_S = 5.0  # age of the last answer at which a report is asked for
DOWN_REPORT_S = 1.0  # the same for a target that is down
REPORT_TIMEOUT_S = 1.0
CHECKS_AT_ONCE = 50  # per tick, so that a large fleet is looked at in turn


class TargetKeeper:
    """Asks targets for reports when their own answers tell too little.

    Parameters
    ----------
    parts : SearchDependencies
        Evidence, client and observer.
    client : HttpTargetClient
        Opens connections in advance.
    leaving : LeavingTargets
        Targets that get no new work; they are asked too, since a new incarnation
        of them serves again.
    clock : Clock
        Source of time.
    source : random.Random
        Spreads the reports over time.
    """

    def __init__(
        self,
        parts: SearchDependencies,
        client: HttpTargetClient,
        leaving: DrainingTargets,
        clock: Clock,
        source: random.Random,
    ):
        self._parts = parts
        self._client = client
        self._leaving = leaving
        self._clock = clock
        self._source = source
        self._due: dict[str, float] = {}
        self._checked: set[str] = set()
        self._warm = False
        self._forget_at = clock.now() + FORGET_INTERVAL_S

    def is_warm(self) -> bool:
        """Tell whether every target in force was asked once; stays true then."""
        targets = self._parts.catalogue.targets
        if not self._warm and targets and self._checked.issuperset(targets):
            self._warm = True
            self._checked.clear()
        return self._warm

    def run(self) -> None:
        """Look after the targets for as long as the process runs."""
        while True:
            self.tick()
            self._forget_removed()
            eventlet.sleep(TICK_S)

    def _forget_removed(self) -> None:
        """Drop what is known of targets that are not in force any more."""
        now = self._clock.now()
        if now < self._forget_at:
            return
        self._forget_at = now + FORGET_INTERVAL_S
        targets = self._parts.catalogue.targets
        self._client.retain_only(set(targets))
        self._parts.held.retain_only(targets)
        self._leaving.retain_only(targets)
        self._due = {name: at for name, at in self._due.items() if name in targets}
        self._parts.registry.list_tracked()

    def tick(self) -> None:
        """Check the targets that are due."""
        targets = self._parts.catalogue.targets
        now = self._clock.now()
        due = [t for t in targets.values() if self._due.get(t.name, 0.0) <= now]
        for target in due[:CHECKS_AT_ONCE]:
            evidence = self._parts.registry.get(target)
            pause = DOWN_REPORT_S if evidence.down else IDLE_REPORT_S
            self._due[target.name] = now + pause * (0.75 + self._source.random() / 2)
            eventlet.spawn_n(self._check, evidence)

    def _check(self, evidence: TargetStats) -> None:
        """Look after a target and take note that it was done."""
        self._ask(evidence)
        if not self._warm:
            self._checked.add(evidence.name)

    def _ask(self, evidence: TargetStats) -> None:
        """Ask a target for its report if its own answers are old, and keep it warm."""
        quiet = self._clock.now() - evidence.answered_at >= IDLE_REPORT_S
        leaving = self._leaving.is_draining(evidence.target.name)
        unknown = self._parts.held.get(evidence.target.name) is None
        if quiet or leaving or unknown or evidence.down:
            refresh_from_report(self._parts, evidence, REPORT_TIMEOUT_S)
        if evidence.down or leaving:
            return
        try:
            with eventlet.Timeout(REPORT_TIMEOUT_S, False):
                self._client.warm(evidence.target, WARM_CONNECTIONS)
        except TargetFailure as failure:
            self._parts.observer.record_failure(evidence, failure)
