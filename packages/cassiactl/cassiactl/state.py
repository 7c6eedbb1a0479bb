"""Table of the objects in force at a daemon."""

from .daemon_client import read_page
from .report import Report
from .table import format_table

COLUMNS = ["OBJECT", "TICKET", "STATE"]


def show_state(daemon: str, kind: str | None) -> Report:
    """Report the objects in force at a daemon.

    Parameters
    ----------
    daemon : str
        HOST:PORT of the daemon.
    kind : str or None
        Kind of the objects to report: index, service or target; None for all.

    Raises
    ------
    UnreachableError
        If the daemon cannot be reached.
    """
    objects = read_page(daemon, "/v1/state").body["objects"]
    if kind is not None:
        objects = [o for o in objects if o["object"].startswith(f"{kind}/")]
    rows = [[o["object"], o["ticket"], summarise_state(o["state"])] for o in objects]
    return Report(
        {"objects": objects}, format_table(["OBJECT", "TICKET", "STATE"], rows)
    )


def summarise_state(state: dict | None) -> str:
    """Return a one-line summary of an object's state; None is a removed object."""
    if state is None:
        return "removed"
    if "epoch" in state:
        return f"epoch {state['epoch']}, {len(state['services'])} services"
    if "shards" in state:
        return f"index {state['index']}, {len(state['shards'])} shards"
    suffix = ", leaving" if state["leaving"] else ""
    address = f"{state['host']}:{state['port']}"
    return f"{state['service']} at {address} in {state['data_centre']}{suffix}"
