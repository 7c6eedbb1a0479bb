"""Task that reads the platform's store while this VM is one of the readers."""

import random
from collections.abc import Callable

from ..membership import Freshness, ReaderSelection, StoreContact
from .client import HistoryGone, StoreClient, StorePage, StoreReadError
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


class StoreReader:
    """Reads all items once, then watches the store for changes.

    When the store no longer keeps the changes after the replica's revision, all items
    are read again.

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
        Era that the store's last answer named.
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
        self.era = 0
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
            self._log_event("history gone", revision=before)
            return self._reload()
        except StoreReadError as failure:
            self._back_off(failure)
            return False
        self._record_success(before, changes)
        if changes:
            self._sleep(self._batch_pause)
        return True

    def _watch(self) -> list:
        """Wait for changes and merge them; return the changed items."""
        page = self._client.watch(self._replica.revision, self._watch_wait)
        self._contact.record(0.0)
        self._compare_positions(page)
        return self._replica.merge(page.items, page.revision)

    def _read_all(self) -> list:
        """Read and merge all items; return the changed ones."""
        page = self._client.read_all()
        self._contact.record(0.0)
        self._compare_positions(page)
        return self._replica.replace(page.items, page.revision)

    def _compare_positions(self, page: StorePage) -> None:
        """Log an answer of another era, and the first that is behind the replica."""
        known = self._replica.revision
        if page.era != self.era:
            self._log_event(
                "store era",
                before=self.era,
                era=page.era,
                revision=page.revision,
                known=known,
            )
            self.era = page.era
        is_behind = page.revision < known
        if is_behind and not self._is_behind:
            self._log_event("store behind", revision=page.revision, known=known)
        self._is_behind = is_behind

    def _reload(self) -> bool:
        """Read all items, since the store dropped the changes that are missing."""
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
            self._log_event("platform regained", revision=self._replica.revision)
        self.failing = False
        self.store_available = True
        self._backoff = MIN_BACKOFF_S
        self._freshness.record(0.0)
        if changes:
            self._publish(before, changes)

    def _back_off(self, failure: StoreReadError) -> None:
        """Record a failed call and wait before the next one."""
        if not self.failing:
            self._log_event(
                "platform lost", revision=self._replica.revision, reason=str(failure)
            )
        self.failing = True
        self.store_available = False
        self._contact.record_failure()
        self._sleep(self._backoff * (0.5 + self._rng.random()))
        self._backoff = min(MAX_BACKOFF_S, self._backoff * 2)
