"""Merge of shard answers, with the coverage counted from the merged answers."""

from collections.abc import Iterable

from ..data import (
    Coverage,
    KeyRange,
    MissingRange,
    MissingReason,
    Service,
    ShardAnswer,
    Snapshot,
)


class AnswerMerge:
    """Merges the answers of one snapshot and rejects all others.

    Parameters
    ----------
    snapshot : Snapshot
        Snapshot that every answer must come from.
    services : iterable of Service
        Services that are searched, with the shards that are needed.
    """

    def __init__(self, snapshot: Snapshot, services: Iterable[Service]):
        self.snapshot = snapshot
        self._services = {service.name: service for service in services}
        self._records_by_range: dict[str, dict[KeyRange, tuple]] = {
            name: {} for name in self._services
        }

    def add(self, answer: ShardAnswer) -> bool:
        """Add an answer; return False if it is rejected.

        An answer is rejected if it comes from another snapshot or service, or if it
        covers keys that another answer covers.
        """
        received = self._records_by_range.get(answer.service)
        if received is None:
            return False
        if answer.snapshot is not self.snapshot and answer.snapshot != self.snapshot:
            return False
        for part in received:
            if part.overlaps(answer.key_range):
                return False
        received[answer.key_range] = answer.records
        return True

    @property
    def records(self) -> list:
        """Records in the order of services and keys, not of arrival."""
        return [
            record
            for received in self._records_by_range.values()
            for key_range in sorted(received)
            for record in received[key_range]
        ]

    def count_coverage(
        self, reasons: dict[tuple[str, KeyRange], MissingReason]
    ) -> Coverage:
        """Count the covered keys and list the missing shards.

        Parameters
        ----------
        reasons : dict
            Why a shard did not answer, by service and key range. Shards without an
            entry get the reason ``deadline``.
        """
        covered_keys = 0
        missing = []
        for name, service in self._services.items():
            received = self._records_by_range[name]
            covered_keys += sum(part.length for part in received)
            for shard in service.shards:
                if shard not in received:
                    reason = reasons.get((name, shard), MissingReason.DEADLINE)
                    missing.append(MissingRange(name, shard, reason))
        all_keys = sum(s.length for v in self._services.values() for s in v.shards)
        return Coverage(covered_keys, all_keys, tuple(missing))
