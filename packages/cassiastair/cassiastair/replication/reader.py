"""The task that reads the platform's store when it is this VM's turn."""

import random
from collections.abc import Callable

from ..membership import Freshness, ReaderSelection
from .replica import StoreReplica
from .source import HistoryGone, StoreClient, StoreReadError

WATCH_SHARE = 0.8  # wait of a watch over the bound on changes: a silent one is noticed
GATHER_SHARE = 0.1  # pause after a change over that bound, so one call brings several
FIRST_WAIT_S = 1.0  # time in which a peer may bring what a new VM would have to read
IDLE_S = 0.2  # pause between looks whether it is this VM's turn
FIRST_BACKOFF_S = 0.1
LONGEST_BACKOFF_S = 0.8  # a store that returns is found within a second


class StoreReader:
    """Reads everything once, then watches; starts over when history is gone.

    Parameters
    ----------
    source : NewsSource
        The store.
    table : NewsTable
        Takes what is read.
    turns : ReaderTurns
        Tells whether it is this VM's turn.
    freshness : Freshness
        Age of the store's word.
    publish : callable
        Called with the revision before and the changes after each reading.
    bound : float
        Seconds in which changes must be in force everywhere.
    note : callable
        Takes an event name and its inputs, for the log.
    sleep : callable
        Lets other tasks run for some seconds.
    source_of_chance : random.Random
        Source of the backoff's jitter.
    """

    def __init__(
        self,
        source: StoreClient,
        table: StoreReplica,
        turns: ReaderSelection,
        freshness: Freshness,
        publish: Callable[[int, list], None],
        bound: float,
        log_event: Callable[..., None],
        sleep: Callable[[float], None],
        source_of_chance: random.Random,
    ):
        self._source = source
        self._table = table
        self._turns = turns
        self._freshness = freshness
        self._publish = publish
        self._wait = WATCH_SHARE * bound
        self._gather = GATHER_SHARE * bound
        self._log_event = log_event
        self._sleep = sleep
        self._random = source_of_chance
        self._backoff = FIRST_BACKOFF_S
        self.failing = False
        self.store_available = False

    def run(self, may_wait: bool = False) -> None:
        """Read for as long as the process runs.

        Parameters
        ----------
        may_wait : bool
            Whether to give peers a moment to bring what is known before reading.
        """
        if may_wait:
            self._sleep(FIRST_WAIT_S)
        while True:
            if self._turns.should_read():
                self.read_once()
            else:
                self._sleep(IDLE_S)

    def read_once(self) -> bool:
        """Read one page, or pause after a failure; tell whether it was read."""
        before = self._table.revision
        try:
            news = self._watch() if before >= 0 else self._read_all()
        except HistoryGone:
            self._log_event("history gone", revision=before)
            return self._read_again()
        except StoreReadError as failure:
            self._take_failure(failure)
            return False
        self._take_success(before, news)
        if news:
            self._sleep(self._gather)
        return True

    def _watch(self) -> list:
        """Wait for changes."""
        page = self._source.watch(self._table.revision, self._wait)
        return self._table.merge(page.items, page.revision)

    def _read_all(self) -> list:
        """Read everything."""
        page = self._source.read_all()
        return self._table.replace(page.items, page.revision)

    def _read_again(self) -> bool:
        """Read everything, since the changes in between are not kept."""
        before = self._table.revision
        try:
            news = self._read_all()
        except StoreReadError as failure:
            self._take_failure(failure)
            return False
        self._take_success(before, news)
        return True

    def _take_success(self, before: int, news: list) -> None:
        """Take note that the store has answered, and pass on what it said."""
        if self.failing:
            self._log_event("platform regained", revision=self._table.revision)
        self.failing = False
        self.store_available = True
        self._backoff = FIRST_BACKOFF_S
        self._freshness.record(0.0)
        if news:
            self._publish(before, news)

    def _take_failure(self, failure: StoreReadError) -> None:
        """Take note of a failure and wait before the next call."""
        if not self.failing:
            self._log_event(
                "platform lost", revision=self._table.revision, reason=str(failure)
            )
        self.failing = True
        self.store_available = False
        self._sleep(self._backoff * (0.5 + self._random.random()))
        self._backoff = min(LONGEST_BACKOFF_S, self._backoff * 2)
