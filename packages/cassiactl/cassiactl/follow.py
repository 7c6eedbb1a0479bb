"""History of one request, read from the daemons' log lines."""

import sys
from collections.abc import Iterable

import orjson

from .exit_status import ExitStatus
from .report import Report
from .table import format_table

COLUMNS = ["TIME", "VM", "EVENT", "INPUTS"]
COMMON_FIELDS = {"time", "vm", "event", "request"}
# Events that change the state of a VM; the latest of each kind shows the current state.
STATE_EVENTS = (
    "started",
    "configuration in force",
    "platform lost",
    "platform regained",
    "history gone",
    "paused",
)


def follow(file: str, request: str) -> Report:
    """Report the log records of a request and the state of the VMs that served it.

    Parameters
    ----------
    file : str
        File with log lines of one or more VMs; `-` reads standard input.
    request : str
        Caller's ID of the attempt.

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
    request_records = [record for record in records if record.get("request") == request]
    if not request_records:
        message = (
            f"no line of {request}; successes are logged for sampled requests only"
        )
        return Report({"lines": []}, message, ExitStatus.NOT_FOUND)
    vms = {record["vm"] for record in request_records}
    state_records = find_state_records(records, vms, request_records[0]["time"])
    rows = [format_row(record) for record in [*state_records, *request_records]]
    return Report(
        {"beliefs": state_records, "lines": request_records},
        format_table(COLUMNS, rows),
    )


def read_records(lines: Iterable[bytes]) -> list[dict]:
    """Return the records in log lines.

    Text before the first brace of a line is skipped, such as the prefix that a log
    collector adds. Lines without a record are ignored.
    """
    records = []
    for line in lines:
        start = line.find(b"{")
        if start < 0:
            continue
        try:
            record = orjson.loads(line[start:])
        except orjson.JSONDecodeError:
            continue  # truncated, or of another program
        if {"time", "vm", "event"} <= record.keys():
            records.append(record)
    return records


def find_state_records(
    records: list[dict], vms: set[str], end_time: float
) -> list[dict]:
    """Return the latest record of each state event on some VMs, up to a time.

    Each record gets a field ``age_s``: its age in seconds at that time.

    Parameters
    ----------
    records : list of dict
        Log records in order of time.
    vms : set of str
        Names of the VMs.
    end_time : float
        Last time of interest, in Unix seconds.
    """
    latest: dict[tuple[str, str], dict] = {}
    for record in records:
        if record["time"] > end_time:
            break
        if record["vm"] in vms and record["event"] in STATE_EVENTS:
            age = round(end_time - record["time"], 3)
            latest[record["vm"], record["event"]] = {**record, "age_s": age}
    return sorted(latest.values(), key=lambda record: record["time"])


def format_row(record: dict) -> list[str]:
    """Return the table row of a log record."""
    inputs = [f"{k}={v}" for k, v in record.items() if k not in COMMON_FIELDS]
    return [f"{record['time']:.3f}", record["vm"], record["event"], " ".join(inputs)]
