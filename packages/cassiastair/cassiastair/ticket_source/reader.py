"""The task that reads the platform when it is this VM's turn."""

import random
from collections.abc import Callable

from ..membership import Freshness, MemberList, ReaderSchedule
from .entry import PlatformEntry
from .source import PlatformError, PlatformSource

WATCH_WAIT_S = 3.0  # a watch that goes silent is noticed within this time
IDLE_S = 0.25  # pause between looks at the schedule
FIRST_BACKOFF_S = 0.25
LONGEST_BACKOFF_S = 4.0


class PlatformReader:
    """Reads pages while the schedule says so.

    Parameters
    ----------
    source : PlatformSource
        The platform.
    schedule : ReaderSchedule
        Tells whether it is this VM's turn.
    roster : Roster
        Live VMs of the data centre.
    freshness : Freshness
        Age of the platform's word.
    on_entries : callable
        Takes the entries of a page.
    sleep : callable
        Lets other tasks run for some seconds.
    rng : random.Random
        Source of the backoff's jitter.
    """

    def __init__(
        self,
        source: PlatformSource,
        schedule: ReaderSchedule,
        roster: MemberList,
        freshness: Freshness,
        on_entries: Callable[[tuple[PlatformEntry, ...]], None],
        sleep: Callable[[float], None],
        rng: random.Random,
    ):
        self._source = source
        self._schedule = schedule
        self._roster = roster
        self._freshness = freshness
        self._on_entries = on_entries
        self._sleep = sleep
        self._rng = rng
        self._backoff = FIRST_BACKOFF_S
        self.revision = 0
        self.calls = 0
        self.failures = 0

    def run(self) -> None:
        """Read for as long as the process runs."""
        while True:
            if self._schedule.should_read(
                self._roster.live_local_names(), self._freshness.age
            ):
                self.read_page(WATCH_WAIT_S)
            else:
                self._sleep(IDLE_S)

    def read_page(self, wait: float) -> bool:
        """Read one page, or pause after a failure; tell whether it was read."""
        self.calls += 1
        try:
            page = self._source.watch(self.revision, wait)
        except PlatformError:
            self.failures += 1
            self._sleep(self._backoff * (0.5 + self._rng.random()))
            self._backoff = min(LONGEST_BACKOFF_S, self._backoff * 2)
            return False
        self._backoff = FIRST_BACKOFF_S
        if page.revision < self.revision:
            self._start_over()
            return False
        self._on_entries(page.entries)
        self.revision = page.revision
        if not page.more:
            self._freshness.record(0.0)
        return True

    def _start_over(self) -> None:
        """Read everything again from a platform that shows an older state.

        It may be a stale replica or a restored one. Merging is idempotent, so
        reading twice is safe, and freshness is not confirmed meanwhile.
        """
        self.revision = 0
        self._sleep(self._backoff * (0.5 + self._rng.random()))

    def advance_to(self, revision: int) -> None:
        """Take a peer's position; the peer's state is known to be merged here."""
        self.revision = max(self.revision, revision)
