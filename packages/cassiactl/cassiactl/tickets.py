"""Comparison of the tickets in force on several VMs."""

from .daemon_client import UnreachableError, read_page
from .exit_status import ExitStatus
from .report import Report
from .table import format_table

COLUMNS = [
    "VM",
    "DATA CENTRE",
    "HIGHEST",
    "DIGEST",
    "OBJECTS",
    "PLATFORM AGE",
    "REFUSED",
]


def show_tickets(daemons: list[str]) -> Report:
    """Report the tickets in force at each daemon, and whether the VMs agree.

    VMs agree if the digests of their objects in force are equal. Daemons that cannot
    be reached are listed in the report.

    Parameters
    ----------
    daemons : list of str
        HOST:PORT of each daemon.
    """
    rows, documents, unreachable = [], [], []
    for daemon in daemons:
        try:
            status = read_page(daemon, "/status").body
        except UnreachableError as error:
            unreachable.append(str(error))
            continue
        documents.append(summarise_status(status))
        rows.append(list(documents[-1].values()))
    agree = len({document["digest"] for document in documents}) <= 1
    text = format_table(COLUMNS, rows)
    for error in unreachable:
        text += f"\nunreachable: {error}"
    if not agree:
        text += "\nthe VMs differ; the difference is repaired within seconds"
    document = {"vms": documents, "unreachable": unreachable, "agree": agree}
    return Report(document, text, choose_exit_status(agree, unreachable))


def summarise_status(status: dict) -> dict:
    """Return the fields of a status page that the table shows."""
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


def choose_exit_status(agree: bool, unreachable: list[str]) -> ExitStatus:
    """Return the exit status; an unreachable daemon outweighs a difference."""
    if unreachable:
        return ExitStatus.UNREACHABLE
    return ExitStatus.OK if agree else ExitStatus.PROBLEMS
