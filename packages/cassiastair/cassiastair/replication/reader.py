"""Task that reads the platform's store while this VM is one of the readers."""

import random
from collections.abc import Callable

from ..data import StorePosition
from ..membership import Freshness, ReaderSelection, StoreContact
from .client import HistoryGone, StoreClient, StorePage, StoreReadError
from .item import place_items
from .replica import StoreReplica

# Longest wait of a watch, as a share of the delay allowed for changes. Below 1, so
# that a watch that never returns is noticed.
WATCH_WAIT_RATIO = 0.8
# Pause after a change, as a share of the same delay, so that the next call returns
# several changes at once.
BATCH_PAUSE_RATIO = 0.1
PEER_SYNC_WAIT_S = 1.0  # time for peers to send a new VM what it would have to read
IDLE_POLL_S = 0.2  # interval at which a VM that does not read checks if it should
MIN_BACKOFF_S = 0.1
MAX_BACKOFF_S = 0.8  # up to 1.2 s with jitter; a recovered store is read soon


class EraEnded(StoreReadError):
    """Raised when the store is in a later era than the replica."""


class StoreReader:
    """Reads all items once, then watches the store for changes.

    When the store no longer keeps the changes after the replica's revision, or is in a
    later era, all items are read again. Answers of an earlier era change nothing.

    Parameters
    ----------
    client : StoreClient
        Client of the store.
    replica : StoreReplica
        Copy of the store that the reader keeps up to date.
    selection : ReaderSelection
        Decides whether this VM reads.
    freshness : Freshness
        Age of the store's last confirmation; each successful call resets it.
    contact : StoreContact
        Outages of the store.
    publish : callable
        Called after each read that changed the replica, with the replica's previous
        revision and the changes.
    max_delay : float
        Seconds within which a change must be in force on all VMs.
    log_event : callable
        Logs an event; takes its name, and its fields as keywords.
    sleep : callable
        Suspends the task for a number of seconds.
    rng : random.Random
        Randomness of the backoff's jitter.

    Attributes
    ----------
    failing : bool
        Whether the last call failed.
    store_available : bool
        Whether the last call succeeded; False before the first one.
    era : int
        Era that the store's last answer named; -1 before the first.
    history_gone_count : int
        Number of watches that the store refused because it lacks the history.
    """

    def __init__(
        self,
        client: StoreClient,
        replica: StoreReplica,
        selection: ReaderSelection,
        freshness: Freshness,
        contact: StoreContact,
        publish: Callable[[int, list], None],
        max_delay: float,
        log_event: Callable[..., None],
        sleep: Callable[[float], None],
        rng: random.Random,
    ):
        self._client = client
        self._replica = replica
        self._selection = selection
        self._freshness = freshness
        self._contact = contact
        self._publish = publish
        self._watch_wait = WATCH_WAIT_RATIO * max_delay
        self._batch_pause = BATCH_PAUSE_RATIO * max_delay
        self._log_event = log_event
        self._sleep = sleep
        self._rng = rng
        self._backoff = MIN_BACKOFF_S
        self.failing = False
        self.store_available = False
        self.era = -1
        self.history_gone_count = 0
        self._is_behind = False

    def run(self, wait_for_peers: bool = False) -> None:
        """Read for as long as the process runs.

        Parameters
        ----------
        wait_for_peers : bool
            Whether to give peers a moment to send their copy before the first read.
        """
        if wait_for_peers:
            self._sleep(PEER_SYNC_WAIT_S)
        while True:
            if self._selection.should_read():
                self.read_once()
            else:
                self._sleep(IDLE_POLL_S)

    def read_once(self) -> bool:
        """Read the store once, or back off after a failed call.

        Returns
        -------
        bool
            Whether the call succeeded.
        """
        before = self._replica.revision
        try:
            changes = self._watch() if before >= 0 else self._read_all()
        except HistoryGone:
            self.history_gone_count += 1
            self._log_event("history gone", **self._replica.position.describe())
            return self._reload()
        except EraEnded:
            return self._reload()
        except StoreReadError as failure:
            self._back_off(failure)
            return False
        self._record_success(before, changes)
        self._backoff = MIN_BACKOFF_S
        if changes:
            self._sleep(self._batch_pause)
        return True

    def _watch(self) -> list:
        """Wait for changes and merge them; return the changed items.

        Raises
        ------
        EraEnded
            If the changes are of a later era, so that earlier ones may be missing.
        """
        before = self._replica.position
        page = self._client.watch(before.revision, self._watch_wait)
        position = self._record_answer(page)
        # A peer may have brought a later era while the store was waiting.
        if self._replica.position.era > before.era:
            return []
        if position.era > before.era:
            raise EraEnded("the store has come back from an older copy")
        return self._replica.merge(
            place_items(page.items, page.era), position.to_number()
        )

    def _read_all(self) -> list:
        """Read and merge all items; return the changed ones."""
        page = self._client.read_all()
        position = self._record_answer(page)
        return self._replica.replace(
            place_items(page.items, page.era), position.to_number()
        )

    def _record_answer(self, page: StorePage) -> StorePosition:
        """Record that the store answered, and return the position of the answer.

        Raises
        ------
        StoreReadError
            If the answer is of an earlier era than the replica.
        """
        self._contact.record(0.0)
        position = StorePosition(page.era, page.revision)
        if self.era not in (-1, page.era):
            self._log_event(
                "store era",
                answer_era=page.era,
                answer_revision=page.revision,
                **self._replica.position.describe(),
            )
        self.era = page.era
        is_behind = position.to_number() < self._replica.revision
        if is_behind and not self._is_behind:
            self._log_event(
                "store behind",
                answer_era=page.era,
                answer_revision=page.revision,
                **self._replica.position.describe(),
            )
        self._is_behind = is_behind
        if position.era < self._replica.position.era:
            raise StoreReadError(f"the answer is of the earlier era {position.era}")
        return position

    def _reload(self) -> bool:
        """Read all items after a pause, since changes are missing."""
        self._wait_before_retry()
        before = self._replica.revision
        try:
            changes = self._read_all()
        except StoreReadError as failure:
            self._back_off(failure)
            return False
        self._record_success(before, changes)
        return True

    def _record_success(self, before: int, changes: list) -> None:
        """Record that the store answered and publish the changes."""
        if self.failing:
            self._log_event("platform regained", **self._replica.position.describe())
        self.failing = False
        self.store_available = True
        self._freshness.record(0.0)
        if changes:
            self._publish(before, changes)

    def _back_off(self, failure: StoreReadError) -> None:
        """Record a failed call and wait before the next one."""
        if not self.failing:
            self._log_event(
                "platform lost",
                **self._replica.position.describe(),
                reason=str(failure),
            )
        self.failing = True
        self.store_available = False
        self._contact.record_failure()
        self._wait_before_retry()

    def _wait_before_retry(self) -> None:
        """Wait before a call that follows one that brought nothing.

        A full read in place of a refused watch does not shorten the next wait: a store
        that refuses all watches is not read in a loop.
        """
        self._sleep(self._backoff * (0.5 + self._rng.random()))
        self._backoff = min(MAX_BACKOFF_S, self._backoff * 2)
