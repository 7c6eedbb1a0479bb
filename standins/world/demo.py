"""The daemon on stand-ins of the users' platform, step by step."""

import tempfile
from pathlib import Path

import eventlet

eventlet.monkey_patch()

import signal  # noqa: E402

from .back_end import BackEndSpec  # noqa: E402
from .caller import Caller, Outcome  # noqa: E402
from .fleet import HOST, World, make_desk_route, make_search_route  # noqa: E402

SHARDS = tuple(f"shard{number}" for number in range(6))
NEWS_S = 1.0  # time in which a change reaches the VMs


def run_demo() -> None:
    """Start a small world and show what callers get."""
    with tempfile.TemporaryDirectory() as folder, World(Path(folder)) as world:
        for service in SHARDS:
            for replica, zone in enumerate(("north", "south")):
                world.add_back_end(BackEndSpec(f"{service}-{replica}", service, zone))
        for number in range(2):
            world.add_back_end(BackEndSpec(f"desk-{number}", "desk", "north"))
        routes = [make_search_route(SHARDS), make_desk_route()]
        world.configure(routes, [*SHARDS, "desk"])
        world.add_vms(3)
        world.start_all()
        print("three VMs are ready, with six shards of two targets and a desk")
        caller = Caller("demo", HOST, world.clock)
        vms = [vm.callers for vm in world.vms.values()]
        show("a search", caller.call(vms[0], "/search/maple"))
        note = caller.call(vms[0], "/desk/note", method="POST", body=b"water the pine")
        show("a note, run at most once", note)
        world.back_ends["shard2-0"].stop()
        world.back_ends["shard2-1"].spec.faults.dark = True
        show("both targets of shard2 are lost", caller.call(vms[0], "/search/maple"))
        world.store.faults[""] = "reset"
        show("the store is down", caller.call(vms[1], "/search/maple"))
        world.store.faults.clear()
        world.signal("vm0", signal.SIGTERM)
        eventlet.sleep(NEWS_S)
        show("vm0 is stopping", caller.call(vms[0], "/search/maple"))
        print(f"vm0 has ended with status {world.wait_end('vm0', 10.0)}")


def show(what: str, outcome: Outcome) -> None:
    """Print what a caller got."""
    took = (outcome.ended - outcome.sent) * 1000
    headers = outcome.answer.headers if outcome.answer else {}
    missing = headers.get("x-missing-parts")
    parts = f", {missing} parts missing" if missing is not None else ""
    print(f"{what}: status {outcome.status} in {took:.0f} ms{parts}")


if __name__ == "__main__":
    run_demo()
