"""Codec of the JSON bodies of the target protocol, see docs/TARGETS.md."""

import math
from functools import lru_cache

import orjson
from cassiastair.data import Attempt, HeldVersions, KeyRange, ShardAnswer, Snapshot
from cassiastair.data.key_range import is_valid_range
from cassiastair.targets import (
    BadAnswerFailure,
    NotHeldFailure,
    RefusedFailure,
    TargetFailure,
    TargetReport,
)
from cassiastair.targets.notice import TargetNotice

NOT_RUN_CODES = ("shed", "draining", "expired")  # the target did not run the request
MAX_HELD_SPANS = 64  # spans of held versions in one answer


def encode_read(attempt: Attempt, time_left: float) -> bytes:
    """Return the body of a read request; the time left is in seconds."""
    return orjson.dumps(
        {
            "attempt": attempt.attempt_id,
            "service": attempt.service,
            "version": attempt.snapshot.version,
            "epoch": attempt.snapshot.epoch,
            "start": attempt.key_range.start,
            "end": attempt.key_range.end,
            "query": attempt.query,
            "deadline_ms": int(time_left * 1000),
        }
    )


def encode_write(attempt: Attempt, request_id: str, time_left: float) -> bytes:
    """Return the body of a write request; the time left is in seconds."""
    return orjson.dumps(
        {
            "attempt": attempt.attempt_id,
            "request_id": request_id,
            "service": attempt.service,
            "key": attempt.query["key"],
            "body": attempt.query["body"],
            "deadline_ms": int(time_left * 1000),
        }
    )


def decode_object(raw: bytes, attempt: str) -> dict:
    """Return the JSON object of an answer to an attempt.

    Raises
    ------
    BadAnswerFailure
        If the body is not a JSON object or does not echo the id of the attempt.
    """
    try:
        document = orjson.loads(raw)
    except orjson.JSONDecodeError as error:
        raise BadAnswerFailure(f"the answer is not JSON: {error}") from error
    if not isinstance(document, dict):
        raise BadAnswerFailure("the answer is not a JSON object")
    if document.get("attempt") != attempt:
        raise BadAnswerFailure("the answer is to another attempt")
    return document


def decode_read(raw: bytes, attempt: Attempt) -> ShardAnswer:
    """Return the decoded answer to a read.

    Raises
    ------
    BadAnswerFailure
        If any field of the answer is malformed.
    """
    document = decode_object(raw, attempt.attempt_id)
    records = document.get("records")
    if not isinstance(records, list):
        raise BadAnswerFailure("the answer has no list of records")
    return ShardAnswer(
        attempt_id=attempt.attempt_id,
        service=document.get("service"),
        snapshot=read_snapshot(document, attempt.snapshot),
        key_range=read_range(document, attempt.key_range),
        records=tuple(records),
        held_versions=decode_held_versions(document.get("held")),
        incarnation=str(document.get("incarnation", "")),
        load=read_load(document),
    )


def read_snapshot(document: dict, requested: Snapshot) -> Snapshot:
    """Return the snapshot of an answer; the requested object itself if it is equal."""
    version = read_integer(document, "version")
    epoch = read_integer(document, "epoch")
    if version == requested.version and epoch == requested.epoch:
        return requested
    return Snapshot(version, epoch)


def read_range(document: dict, requested: KeyRange) -> KeyRange:
    """Return the key range of an answer; the requested object itself if it is equal."""
    start, end = document.get("start"), document.get("end")
    if (
        start == requested.start
        and end == requested.end
        and type(start) is type(end) is int
    ):
        return requested
    if not is_valid_range(start, end):
        raise BadAnswerFailure("the answer's key range is not valid")
    return KeyRange(start, end)


def read_integer(document: dict, field: str) -> int:
    """Return an integer field of an answer."""
    value = document.get(field)
    if type(value) is not int:
        raise BadAnswerFailure(f"the answer's {field} is not an integer")
    return value


def read_load(document: dict) -> float:
    """Return the load that an answer reports; zero if it reports none."""
    value = document.get("load", 0.0)
    if type(value) not in (int, float) or not 0 <= value < 1e6:
        raise BadAnswerFailure("the answer's load is not a number")
    return float(value)


def decode_held_versions(raw: object) -> tuple[HeldVersions, ...]:
    """Return the spans of versions that a target reports to hold.

    Raises
    ------
    BadAnswerFailure
        If the list or one of its spans is malformed.
    """
    if not isinstance(raw, list) or len(raw) > MAX_HELD_SPANS:
        raise BadAnswerFailure("the held versions are not a list")
    try:
        return intern_held_versions(tuple(map(tuple, raw)))
    except TypeError as error:
        raise BadAnswerFailure("a span of held versions is malformed") from error


@lru_cache(maxsize=4096)
def intern_held_versions(raw: tuple[tuple, ...]) -> tuple[HeldVersions, ...]:
    """Return spans of versions; equal input returns the same cached object.

    Raises
    ------
    BadAnswerFailure
        If a span is not three integers.
    """
    for item in raw:
        if len(item) != 3 or not all(type(value) is int for value in item):
            raise BadAnswerFailure("a span of held versions is malformed")
    return tuple(HeldVersions(*item) for item in raw)


def decode_failure(raw: bytes, status: int, attempt: Attempt) -> TargetFailure:
    """Return the failure that an answer with an error status represents.

    Raises
    ------
    BadAnswerFailure
        If the answer is malformed.
    """
    document = decode_object(raw, attempt.attempt_id)
    code = document.get("code")
    incarnation = str(document.get("incarnation", ""))
    if code == "not_held":
        return NotHeldFailure(
            "does not hold the snapshot", decode_held_versions(document.get("held"))
        )
    if code in NOT_RUN_CODES:
        notice = TargetNotice(leaving=code == "draining", pause=read_pause(document))
        return RefusedFailure(f"refused: {code}", code, incarnation, notice)
    return BadAnswerFailure(f"answered with status {status} and code {code!r}")


def read_pause(document: dict) -> float | None:
    """Return the seconds for which a refusal wants no requests; None without a time.

    Not a number if the time is unreadable; that does not cost the refusal.
    """
    value = document.get("pause_ms")
    if value is None:
        return None
    if type(value) not in (int, float) or not 0 <= value < math.inf:
        return math.nan
    return value / 1000


def decode_report(raw: bytes) -> TargetReport:
    """Return the decoded report of a target.

    Raises
    ------
    BadAnswerFailure
        If the report is malformed.
    """
    try:
        document = orjson.loads(raw)
        return TargetReport(
            incarnation=str(document["incarnation"]),
            serving=document["serving"] is True,
            load=read_load(document),
            held_versions=decode_held_versions(document["held"]),
        )
    except (orjson.JSONDecodeError, KeyError, TypeError, AttributeError) as error:
        raise BadAnswerFailure(f"the report is malformed: {error!r}") from error
