"""What callers lost, by route, time and cause, read from the daemons' log lines.

A request in time with all parts loses nothing. One that was not served loses 1, one
with a share c of its parts 1 - c^2, and one after its latency objective nine tenths of
what is left. The loss of a request is divided among its causes, so the rows of each
table add up to the same sum. Callers that reached no VM are not in the logs.
"""

from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass

from .exit_status import ExitStatus
from .follow import read_records
from .report import Report
from .table import format_table

LATE_SHARE = 0.1  # what a late answer is worth, relative to one in time
NO_ANSWER = "no answer in time"
LATE = "answered after the objective"
EVENTS = ("send failed", "answered in part", "answered late", "not served")


@dataclass(frozen=True, slots=True)
class Loss:
    """Part of the loss of one request.

    Parameters
    ----------
    request : str
        Caller's ID of the attempt.
    route : str
        Route of the request.
    time : float
        Time at which it ended, in Unix seconds.
    cause : str
        Why it was lost.
    amount : float
        Lost share of a request, from 0 to 1.
    """

    request: str
    route: str
    time: float
    cause: str
    amount: float


def show_losses(file: str, interval_s: float) -> Report:
    """Report the losses in a file with log lines, by route and by time.

    Parameters
    ----------
    file : str
        File with log lines of one or more VMs.
    interval_s : float
        Length of the intervals of the table by time, in seconds.

    Raises
    ------
    OSError
        If the file cannot be read.
    """
    with open(file, "rb") as log:
        records = read_records(log)
    losses = find_losses(records)
    if not losses:
        return Report({"losses": []}, "no losses in the file", ExitStatus.NOT_FOUND)
    started = min(record["time"] for record in records)
    by_route = tabulate(losses, lambda loss: loss.route or "(no route)")
    by_time = tabulate(
        losses, lambda loss: int((loss.time - started) / interval_s) * interval_s
    )
    text = "\n\n".join(
        format_table([title, "CAUSE", "REQUESTS", "LOST"], format_rows(rows))
        for title, rows in (("ROUTE", by_route), ("SECOND", by_time))
    )
    total = sum(loss.amount for loss in losses)
    document = {"by_route": by_route, "by_second": by_time, "total": total}
    return Report(document, f"{text}\n\ntotal lost: {total:.1f} requests")


def find_losses(records: Iterable[dict]) -> list[Loss]:
    """Return the losses of all requests in log records."""
    by_request: dict[str, dict[str, list[dict]]] = defaultdict(
        lambda: defaultdict(list)
    )
    for record in records:
        if record["event"] in EVENTS and record.get("request"):
            by_request[record["request"]][record["event"]].append(record)
    losses = []
    for events in by_request.values():
        losses += find_request_losses(events)
    return losses


def find_request_losses(events: dict[str, list[dict]]) -> list[Loss]:
    """Return the losses of one request from its records by event."""
    failures = Counter(
        (record["service"], describe_failure(record))
        for record in events.get("send failed", ())
    )
    for record in events.get("not served", ()):
        return make_losses(record, divide_failure(record, failures), 1.0)
    losses = []
    left = 1.0
    for record in events.get("answered in part", ()):
        left = (1 - record["missing_count"] / record["shards"]) ** 2
        losses += make_losses(record, divide_missing(record, failures), 1 - left)
    for record in events.get("answered late", ()):
        losses += make_losses(record, {LATE: 1.0}, left * (1 - LATE_SHARE))
    return losses


def make_losses(record: dict, shares: dict[str, float], amount: float) -> list[Loss]:
    """Return the losses of one record, divided by the shares of its causes."""
    route = record.get("route", "")
    return [
        Loss(record["request"], route, record["time"], cause, share * amount)
        for cause, share in shares.items()
    ]


def divide_failure(record: dict, failures: Counter) -> dict[str, float]:
    """Return the shares of the causes of a request that was not served."""
    code = record["code"]
    if record.get("outcome") == "not_run" and not failures:
        kind = "no room under limits" if "room" in record["reason"] else code
        return {f"refused at once: {kind}": 1.0}
    causes: Counter = Counter()
    for (_, cause), count in failures.items():
        causes[f"{code}: {cause}"] += count
    return normalize(causes) or {f"{code}: {NO_ANSWER}": 1.0}


def divide_missing(record: dict, failures: Counter) -> dict[str, float]:
    """Return the shares of the causes of parts that an answer leaves out.

    Shards that the record counts but does not name are divided like the named ones.
    """
    causes: Counter = Counter()
    for service in record["missing"]:
        of_shard = Counter({c: n for (s, c), n in failures.items() if s == service})
        if of_shard:
            cause = of_shard.most_common(1)[0][0]
        else:
            cause = describe_silence(record, service)
        causes[f"part left out: {cause}"] += 1
    return normalize(causes)


def describe_failure(record: dict) -> str:
    """Return the kind of a failed send and why it was not repeated, if so."""
    kind, _, rest = record["reason"].partition(":")
    if kind == "RefusedFailure":
        kind = f"refused with{rest}"
    if "no_retry" in record:
        return f"{kind}, no retry: {record['no_retry']}"
    return kind


def describe_silence(record: dict, service: str) -> str:
    """Return that a shard did not answer, and why it got no hedge, if so."""
    no_hedge = record.get("no_hedge", {}).get(service)
    return f"{NO_ANSWER}, no hedge: {no_hedge}" if no_hedge else NO_ANSWER


def normalize(counts: Counter) -> dict[str, float]:
    """Return counts as shares of their sum."""
    total = sum(counts.values())
    return {cause: count / total for cause, count in counts.items()}


def tabulate(losses: list[Loss], get_group) -> list[dict]:
    """Return the losses by group and cause, the largest of each group first."""
    amounts: Counter = Counter()
    requests = defaultdict(set)
    for loss in losses:
        key = get_group(loss), loss.cause
        amounts[key] += loss.amount
        requests[key].add(loss.request)
    order = sorted(amounts, key=lambda key: (key[0], -amounts[key]))
    return [
        {
            "group": group,
            "cause": cause,
            "requests": len(requests[group, cause]),
            "lost": amounts[group, cause],
        }
        for group, cause in order
    ]


def format_rows(rows: list[dict]) -> list[list[str]]:
    """Return table rows as text."""
    return [
        [str(r["group"]), r["cause"], str(r["requests"]), f"{r['lost']:.2f}"]
        for r in rows
    ]
