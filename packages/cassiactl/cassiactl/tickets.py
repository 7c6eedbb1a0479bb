"""Which VM has which ticket in force."""

from .daemon_client import UnreachableError, read_page
from .exit_status import ExitStatus
from .report import Report
from .table import format_table

HEAD = ["VM", "DATA CENTRE", "HIGHEST", "DIGEST", "OBJECTS", "PLATFORM AGE", "REFUSED"]


def show_tickets(daemons: list[str]) -> Report:
    """Ask each daemon; different digests mean that VMs differ."""
    rows, documents, unreachable = [], [], []
    for daemon in daemons:
        try:
            status = read_page(daemon, "/status").body
        except UnreachableError as error:
            unreachable.append(str(error))
            continue
        documents.append(describe(status))
        rows.append(list(documents[-1].values()))
    agree = len({document["digest"] for document in documents}) <= 1
    text = format_table(HEAD, rows)
    for error in unreachable:
        text += f"\nunreachable: {error}"
    if not agree:
        text += "\nthe VMs differ; the difference is repaired within seconds"
    document = {"vms": documents, "unreachable": unreachable, "agree": agree}
    return Report(document, text, find_status(agree, unreachable))


def describe(status: dict) -> dict:
    """Return what is shown of a daemon."""
    tickets = status["tickets"]
    age = status["platform"]["age_s"]
    return {
        "vm": status["vm"],
        "data_centre": status["data_centre"],
        "highest": tickets["highest"],
        "digest": tickets["digest"],
        "objects": tickets["objects"],
        "platform_age": "never" if age is None else f"{age} s",
        "refused": len(tickets["refused"]),
    }


def find_status(agree: bool, unreachable: list[str]) -> ExitStatus:
    """Return the exit status."""
    if unreachable:
        return ExitStatus.UNREACHABLE
    return ExitStatus.OK if agree else ExitStatus.PROBLEMS
