"""Task that reads the platform while this VM is one of its readers."""

import random
from collections.abc import Callable

from ..data import StorePosition
from ..membership import Freshness, MemberList, ReaderSchedule
from .entry import PlatformEntry
from .source import PlatformError, PlatformSource

WATCH_WAIT_S = 3.0  # a silent watch is detected within this time
IDLE_INTERVAL_S = 0.25  # between two checks of the schedule
INITIAL_BACKOFF_S = 0.25
MAX_BACKOFF_S = 4.0


class PlatformReader:
    """Reads pages from the platform while the schedule selects this VM.

    Parameters
    ----------
    source : PlatformSource
        Client of the platform.
    schedule : ReaderSchedule
        Decides whether this VM reads the platform.
    members : MemberList
        Known VMs; the live ones of the data centre share the reading.
    freshness : Freshness
        Records when the platform last confirmed the state.
    on_entries : callable
        Called with the entries of each page.
    sleep : callable
        Suspends this task for a number of seconds.
    rng : random.Random
        Random number generator for the jitter of the backoff.

    Attributes
    ----------
    revision : int
        Position up to which the platform has been read, as the number of a
        `StorePosition`.
    calls, failures : int
        Number of reads, and of those that failed.
    """

    def __init__(
        self,
        source: PlatformSource,
        schedule: ReaderSchedule,
        members: MemberList,
        freshness: Freshness,
        on_entries: Callable[[tuple[PlatformEntry, ...]], None],
        sleep: Callable[[float], None],
        rng: random.Random,
    ):
        self._source = source
        self._schedule = schedule
        self._members = members
        self._freshness = freshness
        self._on_entries = on_entries
        self._sleep = sleep
        self._rng = rng
        self._backoff = INITIAL_BACKOFF_S
        self.revision = 0
        self.calls = 0
        self.failures = 0

    def run(self) -> None:
        """Read pages until the process ends."""
        while True:
            if self._schedule.should_read(
                self._members.live_local_names(), self._freshness.age
            ):
                self.read_page(WATCH_WAIT_S)
            else:
                self._sleep(IDLE_INTERVAL_S)

    def read_page(self, wait: float) -> bool:
        """Read one page, or wait for the backoff after a failure.

        Parameters
        ----------
        wait : float
            Seconds that the platform may wait for a new value.

        Returns
        -------
        bool
            True if a page was read and its entries were passed on.
        """
        self.calls += 1
        before = StorePosition.from_number(self.revision)
        try:
            page = self._source.watch(before.revision, wait)
        except PlatformError:
            self._back_off()
            return False
        position = StorePosition(page.era, page.revision)
        if position.era < StorePosition.from_number(self.revision).era:
            self._back_off()  # a late answer, or one of a stale replica
            return False
        self._backoff = INITIAL_BACKOFF_S
        if position.era > before.era or position.to_number() < self.revision:
            self._restart(position.era)
            return False
        self._on_entries(page.entries)
        self.revision = position.to_number()
        if not page.more:
            self._freshness.record(0.0)
        return True

    def _back_off(self) -> None:
        """Count a failed read and wait before the next one."""
        self.failures += 1
        self._sleep(self._backoff * (0.5 + self._rng.random()))
        self._backoff = min(MAX_BACKOFF_S, self._backoff * 2)

    def _restart(self, era: int) -> None:
        """Start again at the beginning of an era.

        The platform came back from an older copy, or returned an older revision since
        it is a stale replica. Merging is idempotent, so reading values twice is safe.
        Until all values are read again, the state does not count as confirmed.
        """
        self.revision = StorePosition(era, 0).to_number()
        self._sleep(self._backoff * (0.5 + self._rng.random()))

    def advance_to(self, revision: int) -> None:
        """Continue after the position that a peer has read, if it is later.

        The caller must know that the state of the peer is merged here.
        """
        self.revision = max(self.revision, revision)
