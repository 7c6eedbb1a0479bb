"""Validation of a ticket file before it is published."""

from pathlib import Path

from cassiastair.tickets import (
    StateMap,
    TicketProblem,
    check_against_state,
    parse_entry,
    parse_ticket,
)

from .daemon_client import read_page
from .exit_status import ExitStatus
from .report import Report


def check_ticket(path: str, daemon: str | None) -> Report:
    """Validate a ticket file, with a daemon also against the state in force there.

    Parameters
    ----------
    path : str
        JSON file of the ticket.
    daemon : str or None
        HOST:PORT of the daemon.

    Raises
    ------
    UnreachableError
        If the daemon cannot be reached.
    OSError
        If the file cannot be read.
    """
    ticket, problems = parse_ticket(Path(path).read_bytes())
    if ticket is not None and daemon is not None:
        problems = check_against_state(ticket, read_state(daemon))
    return report_problems(path, problems)


def read_state(daemon: str) -> StateMap:
    """Return the objects in force at a daemon; malformed ones are left out."""
    state = StateMap()
    for item in read_page(daemon, "/v1/state").body["objects"]:
        kind, _, name = item["object"].partition("/")
        entry = parse_entry([kind, name, item["ticket"], item["state"]])
        if entry is not None:
            state.merge([entry])
    return state


def report_problems(path: str, problems: list[TicketProblem]) -> Report:
    """Return a report that lists the problems of a file, if there are any."""
    document = {
        "file": path,
        "problems": [{"place": p.path, "message": p.message} for p in problems],
    }
    if not problems:
        return Report(document, f"{path}: no problems")
    lines = [f"{path}: {len(problems)} problem(s)"]
    lines += [f"  {problem}" for problem in problems]
    return Report(document, "\n".join(lines), ExitStatus.PROBLEMS)
