"""The records behind the targets, made by rule so that any answer can be checked."""

from dataclasses import dataclass

import xxhash
from cassiastair.data import KEY_SPACE

RECORDS_PER_SERVICE = 40
CHANGE_PERIOD = 7  # a record changes with every seventh version
TAG_COUNT = 5


@dataclass(frozen=True, slots=True)
class Record:
    """One record of a service."""

    position: int
    key: int
    tag: int


def make_records(service: str, count: int = RECORDS_PER_SERVICE) -> list[Record]:
    """Return the records of a service in key order."""
    records = []
    for position in range(count):
        key = xxhash.xxh3_64_intdigest(f"{service} {position}".encode()) % KEY_SPACE
        records.append(Record(position, key, position % TAG_COUNT))
    return sorted(records, key=lambda record: record.key)


def find_last_change(record: Record, version: int) -> int:
    """Return the last version, up to a version, at which a record changed."""
    offset = record.position % CHANGE_PERIOD
    return max(0, version - (version - offset) % CHANGE_PERIOD)


def encode_record(service: str, record: Record, version: int) -> dict:
    """Return a record as a target answers it at a version."""
    changed_version = find_last_change(record, version)
    return {
        "service": service,
        "key": record.key,
        "tag": record.tag,
        "value": f"{service}/{record.position}@{changed_version}",
    }


def find_matching_records(
    service: str, records: list[Record], query: dict, bounds: tuple[int, int, int]
) -> list[dict]:
    """Return the records that match a query, at a version and in a key range.

    Parameters
    ----------
    service : str
        Name of the service.
    records : list of Record
        Its records.
    query : dict
        ``{"search": {"tag": n}}``, ``{"search": {}}`` or ``{"get": key}``.
    bounds : tuple of int
        Version, first key, and first key behind the range.
    """
    version, start, end = bounds
    tag = (query.get("search") or {}).get("tag")
    wanted_key = query.get("get")
    return [
        encode_record(service, record, version)
        for record in records
        if start <= record.key < end
        and (tag is None or record.tag == tag)
        and (wanted_key is None or record.key == wanted_key)
    ]
