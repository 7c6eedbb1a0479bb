"""Demonstration of the tier with one data centre and two entry daemons.

It searches, looks up a record, repeats a write through the other daemon, and shows
how the coverage of a search falls when targets are killed.
"""

import signal
import sys
import tempfile
from pathlib import Path

import orjson

from .caller import CallerReply
from .layouts import COUNTER_DESK, WATERING
from .records import make_records
from .session import Session

INDEX = COUNTER_DESK.index
LOST_SERVICE = "counter-desk-07"


def main() -> None:
    """Run the demonstration, print its summary as JSON and stop all its processes."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(143))
    with tempfile.TemporaryDirectory() as folder:
        try:
            with Session(Path(folder)) as session:
                summary = demonstrate(session)
        except KeyboardInterrupt:
            print("interrupted; everything that was started is stopped")
            sys.exit(130)
    print(orjson.dumps(summary).decode())


def demonstrate(session: Session) -> dict:
    """Run all steps and return the summary of coverages and outcomes."""
    start(session)
    full = search(session, "all targets up")
    look_up(session)
    outcome = write_note(session)
    show_trace(session, full.body["trace_id"])
    kill(session, f"{LOST_SERVICE}.1")
    replica = search(session, "one target killed: its replica answers")
    kill(session, f"{LOST_SERVICE}.2")
    partial = search(session, "both targets of one service killed")
    show_status(session)
    return {
        "full_coverage": full.body["coverage"]["share"],
        "replica_coverage": replica.body["coverage"]["share"],
        "partial_coverage": partial.body["coverage"]["share"],
        "missing": [part["service"] for part in partial.body["coverage"]["missing"]],
        "note_outcome": outcome,
    }


def start(session: Session) -> None:
    """Start the targets and two daemons, and publish the first ticket."""
    layouts = [COUNTER_DESK, WATERING]
    print("Starting the targets of one data centre and two entry daemons ...")
    session.start_targets(layouts)
    for vm in ("tallinn-1", "tallinn-2"):
        session.start_daemon(vm, "tallinn")
    number = session.publish_layouts(layouts, "tallinn")
    session.wait_ready()
    print(f"{len(session.targets)} targets run; ticket {number} is in force.")


def search(session: Session, title: str) -> CallerReply:
    """Search the index of the counter desk, print the answer and return it."""
    body = {"index": INDEX, "query": {"tag": 3}}
    reply = session.callers["tallinn-1"].post("/v1/search", body)
    print(f"\nSearch over {INDEX}, {title}:")
    print_answer(reply)
    return reply


def print_answer(reply: CallerReply) -> None:
    """Print the snapshot and the coverage of an answer, or its error."""
    if reply.status != 200:
        print(f"  status {reply.status}: {reply.body}")
        return
    snapshot, coverage = reply.body["snapshot"], reply.body["coverage"]
    print(f"  records   {len(reply.body['records'])}")
    print(f"  version   {snapshot['version']}, partition epoch {snapshot['epoch']}")
    print(f"  coverage  {coverage['share']:.6f}")
    for part in coverage["missing"]:
        print(f"  missing   {part['service']}: {part['reason']}")


def look_up(session: Session) -> None:
    """Fetch one record by its key through the second daemon and print it."""
    record = make_records("counter-desk-03")[0]
    body = {"service": "counter-desk-03", "key": record.key}
    reply = session.callers["tallinn-2"].post("/v1/lookup", body)
    print("\nLookup of one record through the other daemon:")
    print_answer(reply)
    print(f"  record    {reply.body['records']}")


def write_note(session: Session) -> str:
    """Write a watering note through both daemons and return the outcome.

    Both requests have the same request id, so the targets must run it only once.
    """
    request_id = session.callers["tallinn-1"].post("/v1/ids", {}).body["ids"][0]
    note = {
        "service": WATERING.index,
        "key": 7,
        "body": {"tree": "juniper 7", "watered": True},
        "request_id": request_id,
    }
    print("\nWatering note, then the same note again through the other daemon:")
    for vm in ("tallinn-1", "tallinn-2"):
        reply = session.callers[vm].post("/v1/write", note)
        print(f"  {vm}: {reply.status} {reply.body['outcome']}")
    runs = 0
    for name in (f"{WATERING.index}.{n}" for n in range(1, WATERING.targets + 1)):
        runs += session.control(name)["executions"].get(request_id, 0)
    print(f"  the targets ran it {runs} time(s)")
    return reply.body["outcome"]


def show_trace(session: Session, trace_id: str) -> None:
    """Print one line for each span of a search's trace."""
    reply = session.callers["tallinn-1"].get(f"/v1/traces/{trace_id}")
    print(f"\nTrace {trace_id} of the first search:")
    for span in reply.body["spans"]:
        location = span.get("target") or span.get("path") or f"v{span.get('version')}"
        result = span.get("result") or span.get("status") or ""
        times = f"{span['start_ms']:8.2f} ms {span['duration_ms']:8.2f} ms"
        print(f"  {times}  {span['name']:<10} {location:<18} {result}")


def kill(session: Session, target: str) -> None:
    """Kill the process of a target."""
    print(f"\nKilling target {target} ...")
    session.targets[target].kill()


def show_status(session: Session) -> None:
    """Print the peak memory of each daemon."""
    print("\nDaemons:")
    for vm, caller in session.callers.items():
        process = caller.get("/status").body["process"]
        print(f"  {vm}: peak memory {process['peak_rss_mb']} MB (bound 128 MB)")


if __name__ == "__main__":
    main()
