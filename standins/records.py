"""The records of the target stand-ins.

They are computed from the service's name and the version, so that a test can compute
the right answer to any query.
"""

from dataclasses import dataclass

import xxhash
from cassiastair.data import KEY_SPACE

RECORDS_PER_SERVICE = 40
CHANGE_PERIOD = 7  # versions from one change of a record to the next
TAG_COUNT = 5


@dataclass(frozen=True, slots=True)
class Record:
    """Position in the service, key in the key space, and tag of one record."""

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
    """Return the latest version, not after a given one, in which a record changed."""
    offset = record.position % CHANGE_PERIOD
    return max(0, version - (version - offset) % CHANGE_PERIOD)


def encode_record(service: str, record: Record, version: int) -> dict:
    """Return the JSON form of a record at a version."""
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
    """Return the JSON form of the records that match a query.

    Parameters
    ----------
    service : str
        Name of the service.
    records : list of Record
        Records of the service.
    query : dict
        One of ``{"search": {"tag": n}}``, ``{"search": {}}`` and ``{"get": key}``.
    bounds : tuple of int
        Version, first key of the range, and first key after the range.
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
