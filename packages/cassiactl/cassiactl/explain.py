"""Explanation of whether a target gets work, or of the hops of a query."""

import re

from .daemon_client import read_page
from .exit_status import ExitStatus
from .report import Report
from .table import format_table

TRACE_ID = re.compile(r"[0-9a-f]{32}")
SPAN_COLUMNS = ["START", "LENGTH", "HOP", "DETAIL"]
NON_DETAIL_FIELDS = {"span", "parent", "name", "start_ms", "duration_ms"}


def explain(daemon: str, name: str) -> Report:
    """Explain a target by its name, or a query by its trace ID.

    Parameters
    ----------
    daemon : str
        HOST:PORT of the daemon.
    name : str
        Name of a target, or trace ID of 32 hexadecimal digits.

    Raises
    ------
    UnreachableError
        If the daemon cannot be reached.
    """
    if TRACE_ID.fullmatch(name):
        page = read_page(daemon, f"/v1/traces/{name}")
    else:
        page = read_page(daemon, f"/v1/targets/{name}")
    if page.status != 200:
        message = page.body["error"]["message"]
        return Report(page.body, message, ExitStatus.NOT_FOUND)
    if "spans" in page.body:
        return Report(page.body, format_spans(page.body["spans"]))
    return Report(page.body, format_target(page.body))


def format_spans(spans: list[dict]) -> str:
    """Return a table of a query's spans, with their other fields as details."""
    rows = []
    for span in spans:
        detail = [
            f"{k}={v}" for k, v in span.items() if k not in NON_DETAIL_FIELDS and v
        ]
        times = [f"{span['start_ms']:.2f} ms", f"{span['duration_ms']:.2f} ms"]
        rows.append([*times, span["name"], " ".join(detail)])
    return format_table(SPAN_COLUMNS, rows)


def format_target(target: dict) -> str:
    """Return a sentence on whether a target gets work, and a table of its fields."""
    verdict = "gets work"
    if target["leaving"]:
        verdict = "gets no new work: it is leaving"
    elif target["down"]:
        verdict = "gets work only if no other target is reachable: connections fail"
    elif not target["held"]:
        verdict = "gets work, but it has not reported which data versions it holds"
    rows = [[key, value] for key, value in target.items()]
    return f"{target['target']} {verdict}\n" + format_table(["FIELD", "VALUE"], rows)
