"""Readers of the store are killed; the VM beside them uses leaving backends."""

import asyncio
import sys
import time
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parents[1]))

from review.harness.backend import Backend  # noqa: E402
from review.harness.client import HOST, Client  # noqa: E402
from review.harness.deployment import run_case  # noqa: E402

# The site's machines with its spares: four, three and three.
ZONES = ["tallinn"] * 4 + ["tartu"] * 3 + ["parnu"] * 3
ADDED = "front-tallinn-4"  # started after the others, as a machine that is added
KILLED = ["front-tallinn-1", "front-tallinn-2", "front-tallinn-3"]  # 3 of 10
RESTART_S = 2.0  # from a kill to the next start: the machines are without power
BACKEND_ZONES = ["tallinn", "tartu", "parnu", "tallinn", "tartu"]
CLIENTS = 40
THINK_S = 0.5
SETTLE_S = 8.0  # the machines have run undisturbed for longer than stableWindowMs
LEAVE_AFTER_S = 0.3  # from the kills to the backends' notice
DRAIN_S = 3.0  # drainMs
EXIT_AFTER_S = 4.5  # from the notice to the end of a backend: drainMs and a little
PLAY_AFTER_S = 7.0
ROUTE = {
    "name": "r-desk",
    "host": HOST,
    "prefix": "/desk/",
    "type": "idempotent",
    "timeoutMs": 10000,
    "targetLatencyMs": 600,
    "priority": 2,
    "service": "handover-desk",
    "maxAttempts": 2,
}


async def play(deployment, record, has_trouble):
    """Play the case."""
    for number, zone in enumerate(BACKEND_ZONES):
        await deployment.add_backend(Backend, f"i-{number}", "handover-desk", zone)
    deployment.configure([ROUTE], {"handover-desk": 100})
    deployment.add_vms(ZONES)
    beats = asyncio.create_task(deployment.beat())
    first = [name for name in deployment.vms if name != ADDED]
    for name in first:
        deployment.start_vm(name)
    await deployment.wait_ready(first)
    await asyncio.sleep(3.0)
    deployment.start_vm(ADDED)
    record.add(f"{ADDED} is added")
    await deployment.wait_ready([ADDED])
    attempts = []
    down: set[str] = set()
    stopped = asyncio.Event()

    async def use(number: int):
        names = list(deployment.vms)
        client = Client(f"c{number}")
        await asyncio.sleep(THINK_S * deployment.rng.random())
        while not stopped.is_set():
            # The platform sends the clients of a zone to the machines that are left.
            name = names[number % len(names)]
            name = ADDED if name in down else name
            vm = deployment.vms[name]
            attempt = await client.send(vm.front, "GET", f"/desk/{number}", 10_000)
            attempts.append((name, attempt))
            await asyncio.sleep(THINK_S)

    users = [asyncio.create_task(use(number)) for number in range(CLIENTS)]
    await asyncio.sleep(SETTLE_S)
    if has_trouble:
        down.update(KILLED)
        for name in KILLED:
            deployment.kill_vm(name)
            record.add(f"{name} is killed")
    await asyncio.sleep(LEAVE_AFTER_S)
    acknowledged = {}
    for name, backend in deployment.backends.items():
        backend.leaving = True
        deployment.store.put(f"servers/{name}", backend.make_entry("draining"))
        acknowledged[name] = time.monotonic()
        record.add(f"{name} is draining, acknowledged by the store")
    if has_trouble:
        await asyncio.sleep(max(0.0, RESTART_S - LEAVE_AFTER_S))
        for name in KILLED:
            deployment.vms[name].process.wait()
            deployment.start_vm(name)
            record.add(f"{name} starts again")
    await asyncio.sleep(EXIT_AFTER_S)
    for name in deployment.backends:
        deployment.store.remove(f"servers/{name}")
        record.add(f"{name} has left the store")
    await asyncio.sleep(PLAY_AFTER_S - EXIT_AFTER_S)
    stopped.set()
    await asyncio.gather(*users)
    beats.cancel()
    return judge(deployment, record, attempts, acknowledged)


def judge(deployment, record, attempts, acknowledged):
    """Return the heading and what broke DRAIN."""
    vm_of = {attempt.attempt: vm for vm, attempt in attempts}
    breaks = []
    for vm, attempt in attempts:
        record.add(
            f"{attempt.attempt} sent to {vm}, answered {attempt.status} at "
            f"{attempt.ended_at - record.started_at:.3f}",
            attempt.sent_at,
        )
    latest = 0.0
    for name, backend in deployment.backends.items():
        for at, attempt in backend.arrivals:
            after_s = at - acknowledged[name]
            vm = vm_of.get(attempt, "?")
            record.add(f"{attempt} reaches {name} from {vm}", at)
            if vm not in KILLED:
                latest = max(latest, after_s)
            if after_s > DRAIN_S and vm not in KILLED:
                breaks.append(
                    f"DRAIN: {attempt} reached {name} from {vm} "
                    f"{after_s * 1000:.0f} ms after its draining was acknowledged"
                )
    statuses = Counter(attempt.status for _, attempt in attempts)
    heading = [
        f"requests: {len(attempts)}, by status {dict(statuses)}",
        f"the latest arrival at a leaving backend: {latest * 1000:.0f} ms after the "
        f"acknowledgement (bound {DRAIN_S * 1000:.0f} ms)",
        f"arrivals past the bound, from machines that were not killed: {len(breaks)}",
    ]
    return heading, breaks


if __name__ == "__main__":
    run_case(play, FOLDER)
