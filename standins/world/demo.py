"""Demo: requests to a small test cluster, before and during faults."""

import tempfile
from pathlib import Path

import eventlet

eventlet.monkey_patch()

import signal  # noqa: E402

from .back_end import BackEndSpec  # noqa: E402
from .caller import Caller, Outcome  # noqa: E402
from .cluster import HOST, Cluster, make_desk_route, make_search_route  # noqa: E402

SHARDS = tuple(f"shard{number}" for number in range(6))
DISSEMINATION_S = 1.0  # upper bound for a change to reach all VMs


def run_demo() -> None:
    """Start a small cluster, inject faults and print what callers get."""
    with tempfile.TemporaryDirectory() as folder, Cluster(Path(folder)) as cluster:
        for service in SHARDS:
            for replica, zone in enumerate(("north", "south")):
                cluster.add_back_end(BackEndSpec(f"{service}-{replica}", service, zone))
        for number in range(2):
            cluster.add_back_end(BackEndSpec(f"desk-{number}", "desk", "north"))
        routes = [make_search_route(SHARDS), make_desk_route()]
        cluster.configure(routes, [*SHARDS, "desk"])
        cluster.add_vms(3)
        cluster.start_all()
        print(
            "three VMs are ready; six shards and the desk service have two targets each"
        )
        caller = Caller("demo", HOST, cluster.clock)
        vms = [vm.caller_address for vm in cluster.vms.values()]
        print_outcome("a search", caller.call(vms[0], "/search/maple"))
        note = caller.call(vms[0], "/desk/note", method="POST", body=b"water the pine")
        print_outcome("a note, executed at most once", note)
        cluster.back_ends["shard2-0"].stop()
        cluster.back_ends["shard2-1"].spec.faults.never_answer = True
        print_outcome(
            "both targets of shard2 are down", caller.call(vms[0], "/search/maple")
        )
        cluster.store.faults[""] = "reset"
        print_outcome("the store is down", caller.call(vms[1], "/search/maple"))
        cluster.store.faults.clear()
        cluster.send_signal("vm0", signal.SIGTERM)
        eventlet.sleep(DISSEMINATION_S)
        print_outcome("vm0 is stopping", caller.call(vms[0], "/search/maple"))
        print(f"vm0 has ended with status {cluster.wait_exit('vm0', 10.0)}")


def print_outcome(label: str, outcome: Outcome) -> None:
    """Print the status and latency of a request, and the number of missing parts."""
    latency_ms = (outcome.ended_at - outcome.sent_at) * 1000
    headers = outcome.answer.headers if outcome.answer else {}
    missing = headers.get("x-missing-parts")
    missing_text = f", {missing} parts missing" if missing is not None else ""
    print(f"{label}: status {outcome.status} in {latency_ms:.0f} ms{missing_text}")


if __name__ == "__main__":
    run_demo()
