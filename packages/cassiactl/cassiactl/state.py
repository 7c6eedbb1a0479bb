"""The objects in force at a daemon, and one daemon's own description."""

from .daemon_client import read_page
from .report import Report
from .table import format_table

HEAD = ["OBJECT", "TICKET", "STATE"]


def show_state(daemon: str, kind: str | None) -> Report:
    """Show the objects in force, all or of one kind.

    Raises
    ------
    UnreachableError
        If the daemon cannot be asked.
    """
    objects = read_page(daemon, "/v1/state").body["objects"]
    if kind is not None:
        objects = [o for o in objects if o["object"].startswith(f"{kind}/")]
    rows = [[o["object"], o["ticket"], summarise(o["state"])] for o in objects]
    return Report(
        {"objects": objects}, format_table(["OBJECT", "TICKET", "STATE"], rows)
    )


def summarise(state: dict | None) -> str:
    """Return a state in a few words."""
    if state is None:
        return "removed"
    if "epoch" in state:
        return f"epoch {state['epoch']}, {len(state['services'])} services"
    if "shards" in state:
        return f"index {state['index']}, {len(state['shards'])} shards"
    leaving = ", leaving" if state["leaving"] else ""
    address = f"{state['host']}:{state['port']}"
    return f"{state['service']} at {address} in {state['data_centre']}{leaving}"
