"""The life of one request, read from the daemons' log lines."""

import sys
from collections.abc import Iterable

import orjson

from .exit_status import ExitStatus
from .report import Report
from .table import format_table

HEAD = ["TIME", "VM", "EVENT", "INPUTS"]
COMMON = {"time", "vm", "event", "request"}
# Events that change what a VM believes; the last of each tells the state in force.
BELIEFS = (
    "started",
    "configuration in force",
    "platform lost",
    "platform regained",
    "history gone",
    "paused",
)


def follow(file: str, request: str) -> Report:
    """Follow a request through a log file; `-` reads standard input.

    Raises
    ------
    OSError
        If the file cannot be read.
    """
    if file == "-":
        lines = sys.stdin.buffer.readlines()
    else:
        with open(file, "rb") as log:
            lines = log.readlines()
    records = sorted(read_records(lines), key=lambda record: record["time"])
    own = [record for record in records if record.get("request") == request]
    if not own:
        message = f"no line of {request}; successes are kept for sampled requests only"
        return Report({"lines": []}, message, ExitStatus.NOT_FOUND)
    vms = {record["vm"] for record in own}
    beliefs = find_beliefs(records, vms, own[0]["time"])
    rows = [describe(record) for record in [*beliefs, *own]]
    return Report({"beliefs": beliefs, "lines": own}, format_table(HEAD, rows))


def read_records(lines: Iterable[bytes]) -> list[dict]:
    """Return the records of log lines; text before the first brace is skipped."""
    records = []
    for line in lines:
        start = line.find(b"{")
        if start < 0:
            continue
        try:
            record = orjson.loads(line[start:])
        except orjson.JSONDecodeError:
            continue  # a line that was cut, or another program's
        if {"time", "vm", "event"} <= record.keys():
            records.append(record)
    return records


def find_beliefs(records: list[dict], vms: set[str], until: float) -> list[dict]:
    """Return the last change of each belief before a time, on some VMs."""
    last: dict[tuple[str, str], dict] = {}
    for record in records:
        if record["time"] > until:
            break
        if record["vm"] in vms and record["event"] in BELIEFS:
            age = round(until - record["time"], 3)
            last[record["vm"], record["event"]] = {**record, "age_s": age}
    return sorted(last.values(), key=lambda record: record["time"])


def describe(record: dict) -> list[str]:
    """Return the row of a record."""
    inputs = [f"{k}={v}" for k, v in record.items() if k not in COMMON]
    return [f"{record['time']:.3f}", record["vm"], record["event"], " ".join(inputs)]
