"""Merge of shard answers; coverage is counted from what arrived."""

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
    """Collects the answers of one snapshot and refuses all that do not fit.

    Parameters
    ----------
    snapshot : Snapshot
        Snapshot that every answer must come from.
    services : iterable of Service
        The services that are searched.
    """

    def __init__(self, snapshot: Snapshot, services: Iterable[Service]):
        self.snapshot = snapshot
        self._services = {service.name: service for service in services}
        self._parts: dict[str, dict[KeyRange, tuple]] = {
            name: {} for name in self._services
        }

    def add(self, answer: ShardAnswer) -> bool:
        """Add an answer; tell whether it fitted.

        An answer is refused if it comes from another snapshot or service, or if
        it covers keys that are covered already.
        """
        parts = self._parts.get(answer.service)
        if parts is None:
            return False
        if answer.snapshot is not self.snapshot and answer.snapshot != self.snapshot:
            return False
        for part in parts:
            if part.overlaps(answer.key_range):
                return False
        parts[answer.key_range] = answer.records
        return True

    @property
    def records(self) -> list:
        """Records in the order of services and keys, whatever came first."""
        return [
            record
            for parts in self._parts.values()
            for key_range in sorted(parts)
            for record in parts[key_range]
        ]

    def count_coverage(
        self, reasons: dict[tuple[str, KeyRange], MissingReason]
    ) -> Coverage:
        """Count the covered keys and list the missing shards.

        Parameters
        ----------
        reasons : dict
            Why a shard, by service and range, did not answer; ``deadline`` where
            nothing is noted.
        """
        covered = 0
        missing = []
        for name, service in self._services.items():
            parts = self._parts[name]
            covered += sum(part.length for part in parts)
            for shard in service.shards:
                if shard not in parts:
                    reason = reasons.get((name, shard), MissingReason.DEADLINE)
                    missing.append(MissingRange(name, shard, reason))
        whole = sum(s.length for v in self._services.values() for s in v.shards)
        return Coverage(covered, whole, tuple(missing))
