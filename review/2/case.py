"""A backend sends a body without end; the VM outgrows its memory and is killed."""

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

ZONES = ["tallinn"] * 3 + ["tartu"] * 2 + ["parnu"] * 2
BACKEND_ZONES = ["tallinn", "tartu", "parnu", "tallinn", "tartu"]
FAULTY = "i-0"  # one of five backends
ENDLESS_SHARE = 0.02  # of the answers of the faulty backend
CLIENTS = 66  # as in the site file: 26, 20 and 20
THINK_S = 0.3  # pause of a client between an answer and its next request
PLAY_S = 70.0
TROUBLE_S = 5.0  # length of one time of trouble
REST_S = 2.0  # time without trouble after it
MEMORY_MB = 300  # memoryMb of the settings: a process above it is killed
MEMORY_CHECK_S = 0.02
RESTART_S = 0.5  # from the end of a process to the start of the next
MOST_LOST = 3  # "more than three times" breaks LOST
CHUNKS = b"2\r\nno\r\n" * 9_000
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


class EndlessBackend(Backend):
    """Answers some requests with a body that goes on until the caller closes."""

    faulty = False
    endless_count = 0

    async def answer(self, request, writer, state) -> None:
        """Answer a request, or send a body without end in its place."""
        data = await self.handle(request)
        if not self.faulty or self.rng.random() >= ENDLESS_SHARE:
            writer.write(data)
            return
        self.endless_count += 1
        head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
        attempt = request.headers["x-attempt-id"]
        writer.write(f"{head}X-Attempt-Id: {attempt}\r\n\r\n".encode())
        while True:
            writer.write(CHUNKS)
            await writer.drain()  # raises an error once the caller has closed


async def play(deployment, record, has_trouble):
    """Play the case."""
    for number, zone in enumerate(BACKEND_ZONES):
        await deployment.add_backend(
            EndlessBackend, f"i-{number}", "handover-desk", zone
        )
    deployment.configure([ROUTE], {"handover-desk": 100})
    deployment.add_vms(ZONES)
    beats = asyncio.create_task(deployment.beat())
    for name in deployment.vms:
        deployment.start_vm(name)
    await deployment.wait_ready(list(deployment.vms))
    until = time.monotonic() + PLAY_S
    attempts, kills = [], []
    peak_mb = dict.fromkeys(deployment.vms, 0.0)
    out: set[str] = set()

    async def watch_memory(name: str):
        """Do what the platform does to a process above its memory."""
        while True:
            memory_mb = deployment.read_memory_mb(name)
            peak_mb[name] = max(peak_mb[name], memory_mb)
            if memory_mb > MEMORY_MB:
                deployment.kill_vm(name)
                kills.append((time.monotonic(), name))
                record.add(f"{name} has {memory_mb:.0f} MB and is killed")
                deployment.vms[name].process.wait()
                out.add(name)
                await asyncio.sleep(RESTART_S)
                deployment.start_vm(name)
                await deployment.wait_ready([name])
                out.discard(name)
                record.add(f"{name} is ready again")
            await asyncio.sleep(MEMORY_CHECK_S)

    async def bring_trouble():
        faulty = deployment.backends[FAULTY]
        while has_trouble:
            faulty.faulty = True
            record.add(f"garble (a body without end) begins at {FAULTY}")
            await asyncio.sleep(TROUBLE_S)
            faulty.faulty = False
            record.add("garble ends")
            await asyncio.sleep(REST_S)

    async def use(number: int):
        names = list(deployment.vms)
        client = Client(f"c{number}")
        await asyncio.sleep(deployment.rng.random())
        while time.monotonic() < until:
            name = names[number % len(names)]
            if name in out:  # the platform sends new connections to ready machines
                name = next(n for n in names if n not in out)
            vm = deployment.vms[name]
            attempt = await client.send(vm.front, "GET", f"/desk/{number}", 10_000)
            attempts.append((name, attempt))
            await asyncio.sleep(THINK_S)

    tasks = [asyncio.create_task(watch_memory(name)) for name in deployment.vms]
    tasks += [asyncio.create_task(bring_trouble()), beats]
    await asyncio.gather(*(use(number) for number in range(CLIENTS)))
    for task in tasks:
        task.cancel()
    return judge(deployment, record, attempts, kills, peak_mb)


def judge(deployment, record, attempts, kills, peak_mb):
    """Return the heading and what broke LOST."""
    ran_at = {}
    for run in deployment.runs:
        ran_at.setdefault(run.attempt, []).append(run.backend)
    lost = []
    for vm, attempt in attempts:
        backends = ran_at.get(attempt.attempt, [])
        kept = "kept" if attempt.on_kept_connection else "new"
        record.add(
            f"{attempt.attempt} sent to {vm} on a {kept} connection; "
            f"ran at {', '.join(backends) or 'none'}; answered {attempt.status} at "
            f"{attempt.ended_at - record.started_at:.3f} {attempt.trouble}",
            attempt.sent_at,
        )
        if (
            attempt.status == 0
            and attempt.on_kept_connection
            and any(name != FAULTY for name in backends)
        ):
            lost.append(
                f"LOST: {attempt.attempt} was passed on by {vm} to {backends} and its "
                "kept connection ended without an answer"
            )
    statuses = Counter(attempt.status for _, attempt in attempts)
    endless = sum(b.endless_count for b in deployment.backends.values())
    heading = [
        f"requests: {len(attempts)}, by status {dict(statuses)}",
        f"bodies without end: {endless}",
        f"processes above {MEMORY_MB} MB: {len(kills)}",
        f"most memory by machine, MB: { {n: round(m) for n, m in peak_mb.items()} }",
        "requests from kept connections that were passed on to a sound backend and got "
        f"no answer: {len(lost)} (more than {MOST_LOST} break LOST)",
    ]
    return heading, lost if len(lost) > MOST_LOST else []


if __name__ == "__main__":
    run_case(play, FOLDER)
