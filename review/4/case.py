"""A backend sends bytes after its answer; the client gets another status."""

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
CLIENTS = 66  # as in the site file: 26, 20 and 20
PLAY_S = 80.0
TROUBLE_S = 5.0  # length of one time of trouble
REST_S = 2.0  # time without trouble after it
THINK_S = 0.7  # pause of a client between an answer and its next request
FAULTY_SHARE = 0.4  # of the backends: two of five
EXTRA_SHARE = 0.02  # of the answers of a faulty backend are followed by more bytes
FURTHER_ANSWER = b"HTTP/1.1 200"
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


class TrailingBackend(Backend):
    """Begins a second answer behind some answers and breaks it off."""

    faulty = False
    extras = 0

    async def answer(self, request, writer, state) -> None:
        """Answer a request, sometimes with the beginning of another answer behind."""
        data = await self.handle(request)
        if self.faulty and self.rng.random() < EXTRA_SHARE:
            self.extras += 1
            data += FURTHER_ANSWER[: self.rng.randint(1, len(FURTHER_ANSWER))]
        writer.write(data)


async def play(deployment, record, has_trouble):
    """Play the case."""
    for number, zone in enumerate(BACKEND_ZONES):
        await deployment.add_backend(
            TrailingBackend, f"i-{number}", "handover-desk", zone
        )
    deployment.configure([ROUTE], {"handover-desk": 100})
    deployment.add_vms(ZONES)
    beats = asyncio.create_task(deployment.beat())
    for name in deployment.vms:
        deployment.start_vm(name)
    await deployment.wait_ready(list(deployment.vms))
    until = time.monotonic() + PLAY_S
    attempts = []

    async def bring_trouble():
        backends = list(deployment.backends.values())
        faulty = backends[: int(FAULTY_SHARE * len(backends) + 0.5)]
        while has_trouble:
            for backend in faulty:
                backend.faulty = True
            record.add(f"garble (extra) begins at {[b.name for b in faulty]}")
            await asyncio.sleep(TROUBLE_S)
            for backend in faulty:
                backend.faulty = False
            record.add("garble ends")
            await asyncio.sleep(REST_S)

    async def use(number: int):
        vms = list(deployment.vms.values())
        client = Client(f"c{number}")
        await asyncio.sleep(deployment.rng.random())
        while time.monotonic() < until:
            vm = vms[number % len(vms)]
            attempt = await client.send(vm.front, "GET", f"/desk/{number}", 10_000)
            attempts.append((vm.name, attempt))
            if attempt.status <= 0:
                client.close()
            await asyncio.sleep(THINK_S)

    trouble = asyncio.create_task(bring_trouble())
    await asyncio.gather(*(use(number) for number in range(CLIENTS)))
    trouble.cancel()
    beats.cancel()
    return judge(deployment, record, attempts)


def judge(deployment, record, attempts):
    """Return the heading and what broke MIXED."""
    runs = {run.seal: run for run in deployment.runs}
    breaks = []
    for vm, attempt in attempts:
        line = attempt.answer.start if attempt.answer else attempt.trouble or "none"
        seal = attempt.answer.headers.get("x-response-seal") if attempt.answer else None
        run = runs.get(seal)
        ran = f"ran at {run.backend}, which answered {run.status}" if run else "no seal"
        record.add(
            f"{attempt.method} {attempt.attempt} sent to {vm}; {ran}; "
            f"the client got {line!r} at {attempt.ended_at - record.started_at:.3f}",
            attempt.sent_at,
        )
        if run and attempt.status != run.status:
            breaks.append(
                f"MIXED: {attempt.attempt}: {run.backend} answered {run.status} with "
                f"seal {seal}, the client got {line!r} with that seal"
            )
        elif seal and (run is None or run.attempt != attempt.attempt):
            breaks.append(f"MIXED: {attempt.attempt} got the seal {seal}")
    lines = Counter(
        attempt.answer.start if attempt.answer else "none" for _, attempt in attempts
    )
    extras = sum(b.extras for b in deployment.backends.values())
    heading = [
        f"requests: {len(attempts)}, by status line {dict(lines)}",
        f"runs: {len(deployment.runs)}, answers with bytes behind them: {extras}",
        f"answers with a backend's seal and another status (MIXED): {len(breaks)}",
    ]
    return heading, breaks


if __name__ == "__main__":
    run_case(play, FOLDER)
