"""Slopes of the state that each VM holds.

Its memory, and the time of merges, digests, full transfers, link choice and reader
ranking, by number of targets or VMs.
"""

import gc
import json
import subprocess
import sys
import time
from collections.abc import Callable

from cassiastair.clock import ManualClock
from cassiastair.data import Vm
from cassiastair.membership import DrainingTargets, MemberList, choose_links
from cassiastair.membership.rendezvous import rank_by_rendezvous
from cassiastair.peers import Entries
from cassiastair.peers.node import describe_entry
from cassiastair.targets import TargetRegistry
from cassiastair.tickets import StateMap, parse_entry
from cassiastaird.peers.codec import decode, encode

from .fit import Slope, fit_line

TARGET_COUNTS = (10_000, 25_000, 50_000)
VM_COUNTS = (500, 1500, 5200)
ENTRIES_PER_FRAME = 500
REPEAT_COUNT = 20


def make_target_fields(number: int) -> list:
    """Return the entry of a target in the form that peers send."""
    state = {
        "service": f"service-{number // 14:05d}",
        "data_centre": f"dc{number % 17}",
        "host": f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}",
        "port": 8080,
        "ranges": [[0, 2**32]],
        "slots": 2,
        "connection_limit": 25,
        "leaving": False,
    }
    return ["target", f"target-{number:06d}", 1, state]


def make_vm(number: int) -> Vm:
    """Return one of many VMs in 17 data centres."""
    name = f"vm-{number:05d}"
    return Vm(name, f"{number:024x}", f"dc{number % 17}", "10.0.0.1", 80, 81)


def load_targets(count: int) -> StateMap:
    """Return a state map with `count` targets."""
    state = StateMap()
    state.merge(parse_entry(make_target_fields(n)) for n in range(count))
    return state


def load_target_stats(count: int) -> object:
    """Return a state map of targets and a registry with statistics of each."""
    state = load_targets(count)
    registry = TargetRegistry(state.catalogue, DrainingTargets(), ManualClock(), 7)
    for target in state.catalogue.targets.values():
        registry.get(target)
    return state, registry


def load_members(count: int) -> object:
    """Return a member list with `count` VMs."""
    members = MemberList(make_vm(10**6), ManualClock())
    members.add_reported(make_vm(n) for n in range(count))
    return members


LOADERS: dict[str, Callable[[int], object]] = {
    "targets": load_targets,
    "target_stats": load_target_stats,
    "members": load_members,
}


def measure_memory(loader_name: str, count: int) -> float:
    """Return the resident memory in bytes of a new process that holds a state."""
    command = [sys.executable, "-m", "standins.slopes.memory", loader_name, str(count)]
    process = subprocess.run(command, capture_output=True, text=True, check=True)
    return json.loads(process.stdout)["bytes"]


def measure_time(work: Callable[[], object], repeats: int = REPEAT_COUNT) -> float:
    """Return the processor time of one call in us: the lowest mean of five rounds."""
    lowest = float("inf")
    for _ in range(5):
        started_at = time.process_time()
        for _ in range(repeats):
            work()
        lowest = min(lowest, (time.process_time() - started_at) / repeats)
    return lowest * 1e6


def measure_ticket(count: int) -> float:
    """Return the time to parse and merge one target into `count` targets, in us."""
    state = load_targets(count)
    gc.collect()
    numbers = iter(range(2, 10**9))

    def apply() -> None:
        """Parse and merge the next state of one target."""
        fields = make_target_fields(count // 2)
        fields[2] = next(numbers)
        state.merge([parse_entry(fields)])

    return measure_time(apply, 200)


def measure_digest_root(count: int) -> float:
    """Return the time to compute the digest's root hash after one change, in us."""
    state = load_targets(count)
    entry = next(iter(state.entries.values()))

    def compute() -> bytes:
        """Change the hash of one entry and compute the root hash."""
        state.digest.toggle(entry.key, 1)
        return state.digest.root

    return measure_time(compute, 200)


def measure_full_transfer(count: int) -> tuple[float, float]:
    """Load the whole state from the frames of a peer.

    Returns
    -------
    tuple of float
        Processor time in seconds, and bytes of all frames.
    """
    state = load_targets(count)
    entries = list(state.entries.values())
    frames = []
    for start in range(0, count, ENTRIES_PER_FRAME):
        plain = [describe_entry(e) for e in entries[start : start + ENTRIES_PER_FRAME]]
        frames.append(encode(Entries(plain, start + ENTRIES_PER_FRAME < count, False)))
    new = StateMap()
    started_at = time.process_time()
    parsed = [parse_entry(p) for frame in frames for p in decode(frame).entries]
    new.merge(parsed)
    seconds = time.process_time() - started_at
    assert new.digest.root == state.digest.root
    return seconds, float(sum(map(len, frames)))


def measure_link_choice(count: int) -> float:
    """Return the time to choose the links of a VM among `count` VMs, in us."""
    vms = [make_vm(n) for n in range(count)]
    return measure_time(lambda: choose_links(vms[0], vms, 6, 2), 3)


def measure_reader_ranking(count: int) -> float:
    """Return the time to rank the readers of one of 17 data centres, in us."""
    names = [make_vm(n).name for n in range(0, count, 17)]
    return measure_time(lambda: rank_by_rendezvous("reader", names), 20)


def measure_all() -> list[Slope]:
    """Measure every slope of the state."""
    loads = [(n, measure_full_transfer(n)) for n in TARGET_COUNTS]
    return [
        fit_line(
            "memory, bytes per target in force",
            [(n, measure_memory("targets", n)) for n in TARGET_COUNTS],
        ),
        fit_line(
            "memory, bytes per target in force with evidence",
            [(n, measure_memory("target_stats", n)) for n in TARGET_COUNTS],
        ),
        fit_line(
            "memory, bytes per known VM",
            [(n, measure_memory("members", n)) for n in VM_COUNTS],
        ),
        fit_line(
            "time of a ticket of one target, us by targets in force",
            [(n, measure_ticket(n)) for n in TARGET_COUNTS],
        ),
        fit_line(
            "time of a digest root after a change, us by targets in force",
            [(n, measure_digest_root(n)) for n in TARGET_COUNTS],
        ),
        fit_line(
            "time to load the state from a peer, s per target",
            [(n, seconds) for n, (seconds, _) in loads],
        ),
        fit_line(
            "bytes to load the state from a peer, per target",
            [(n, size) for n, (_, size) in loads],
        ),
        fit_line(
            "time to choose links, us per known VM",
            [(n, measure_link_choice(n)) for n in VM_COUNTS],
        ),
        fit_line(
            "time to rank readers, us per VM of the fleet",
            [(n, measure_reader_ranking(n)) for n in VM_COUNTS],
        ),
    ]
