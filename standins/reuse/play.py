"""Plays the reuse of one address by another service in virtual time.

The VMs are made of the product's own classes, with a transport in memory. A target
ends, another service's target gets its address 2 s later, and the record of the first
one stays for as long as the store is away.
"""

import random
from dataclasses import dataclass

import eventlet
from cassiastair.clock import ManualClock
from cassiastair.errors import CassiastairError
from cassiastair.forwarding import ProbeResult, RoutedTarget
from cassiastair.forwarding.prober import TargetProber
from cassiastair.targets.failures import ConnectFailure, RefusedFailure
from cassiastair.testing.fake_transport import FakeTransport
from cassiastair.testing.forwarding_bench import ForwardingBench, make_search_route
from cassiastair.testing.virtual_time import run_in_virtual_time

from .policies import ReusePolicy

SEARCH_PERIOD_S = 0.5  # of each VM; a target's share of it as at the target size
END_S = 1.0  # at which the target ends
REUSE_AFTER_S = 2.0
RECORD_S = 8.0  # from the reuse of the address to the end of the play
REUSED = "s1.0"  # the target that ends
REFUSED = ConnectFailure("no connection: refused")
MISDIRECTED = RefusedFailure("status 421", "moved", "")


@dataclass(frozen=True, slots=True)
class ReuseResult:
    """What one play has shown.

    Parameters
    ----------
    policy : str
        Name of the policy.
    vm_count : int
        Number of VMs.
    stray_count : int
        Number of requests that reached the address after its reuse.
    """

    policy: str
    vm_count: int
    stray_count: int


def play_reuse(policy: ReusePolicy, vm_count: int, seed: int = 1) -> ReuseResult:
    """Play the reuse of one address.

    Parameters
    ----------
    policy : ReusePolicy
        What VMs learn from replies and probes.
    vm_count : int
        Number of VMs, each with 2 searches a second.
    seed : int
        Seed of the choices and of the times of the searches.
    """
    return run_in_virtual_time(lambda clock: play(clock, policy, vm_count, seed))


def play(
    clock: ManualClock, policy: ReusePolicy, vm_count: int, seed: int
) -> ReuseResult:
    """Play the reuse on a given clock; see `play_reuse`."""
    rng = random.Random(seed)
    transport = FakeTransport(clock)
    benches = [
        make_vm(clock, transport, policy, number, rng.randrange(2**32))
        for number in range(vm_count)
    ]
    begin = clock.now()
    end = begin + END_S + REUSE_AFTER_S + RECORD_S
    for bench in benches:
        delay = rng.uniform(0.0, SEARCH_PERIOD_S)
        eventlet.spawn_after(delay, run_searches, bench, clock, end)
    eventlet.sleep(END_S)
    target = transport.get(REUSED)
    target.reachable = False
    target.override = lambda: REFUSED
    eventlet.sleep(REUSE_AFTER_S)
    target.reachable = target.displaced = True
    target.override = lambda: MISDIRECTED
    reused_at = clock.now()
    eventlet.sleep(RECORD_S + SEARCH_PERIOD_S)
    stray_count = sum(at >= reused_at for at, _ in target.arrivals)
    return ReuseResult(policy.name, vm_count, stray_count)


def make_vm(
    clock: ManualClock,
    transport: FakeTransport,
    policy: ReusePolicy,
    number: int,
    seed: int,
) -> ForwardingBench:
    """Return a VM whose prober runs, over two shards of two targets."""
    name = f"vm{number}"
    bench = ForwardingBench(
        clock,
        seed,
        transport=transport,
        vm=name,
        vms=(name,),
        registry_class=policy.get_registry_class(),
    )
    bench.set_up([make_search_route(2, 0.5)])

    def probe(target: RoutedTarget, asks_identity: bool) -> ProbeResult:
        """Probe a target as the policy does."""
        return transport.probe(target, asks_identity and policy.asks_identity)

    prober = TargetProber(
        bench.registry,
        probe,
        bench.registry.record_displaced,
        eventlet.spawn_n,
        eventlet.sleep,
        clock,
    )
    eventlet.spawn_n(prober.run)
    return bench


def run_searches(bench: ForwardingBench, clock: ManualClock, end: float) -> None:
    """Run searches until a time, one after the other."""
    while clock.now() < end:
        try:
            bench.run()
        except CassiastairError:
            pass  # only the sends are of interest
        eventlet.sleep(SEARCH_PERIOD_S)
