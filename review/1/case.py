"""A backend repeats a refusal, late, to the same request; the request runs twice."""

import asyncio
import os
import sys
import time
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parents[1]))

from review.harness.backend import Backend  # noqa: E402
from review.harness.client import HOST, Client  # noqa: E402
from review.harness.deployment import run_case  # noqa: E402

ZONES = ["tallinn"] * 4 + ["tartu"] * 3 + ["parnu"] * 3  # with the spare machines
BACKEND_ZONES = [
    "tallinn",
    "tartu",
]  # two backends a service, as the site's counter-desk has
SERVICES = [f"desk-{number}" for number in range(1, 21)]
SLOTS = 2
QUEUE = 2  # "processes `concurrency` requests concurrently and queues a few more"
WORK_S = 0.025
CONNECTIONS = 26
CLIENTS_PER_VM = 1  # of each service
WAVE_S = 0.5  # clients of one service press at the same time, at this interval
PLAY_S = 76.0
TROUBLE_S = 5.0  # length of one time of trouble
REST_S = 2.0  # time without trouble after it
FAULTY_SHARE = 0.5  # of the backends: one of the two of each service
# ECHO=0 plays refusals without an ID, as `fleetbench wire` prints them.
ECHOES_IN_REFUSALS = os.environ.get("ECHO", "1") != "0"
COPY_SHARE = 0.04  # of the answers of a faulty backend are sent a second time, late


def make_route(service: str) -> dict:
    """Return the route to a service."""
    return {
        "name": f"r-{service}",
        "host": HOST,
        "prefix": f"/{service}/",
        "type": "non_idempotent",
        "timeoutMs": 10000,
        "targetLatencyMs": 600,
        "priority": 2,
        "service": service,
        "maxAttempts": 2,
    }


class RepeatingBackend(Backend):
    """Sends some answers a second time, when the next request has come."""

    faulty = False
    copies = 0

    async def answer(self, request, writer, state) -> None:
        """Answer a request, after the late copy of the answer before, if any."""
        copy = state.pop("copy", None)
        if copy is not None:
            self.copies += 1
            writer.write(copy)
        data = await self.handle(request)
        writer.write(data)
        if self.faulty and self.rng.random() < COPY_SHARE:
            state["copy"] = data


async def play(deployment, record, has_trouble):
    """Play the case."""
    for service in SERVICES:
        for zone in BACKEND_ZONES:
            await deployment.add_backend(
                RepeatingBackend,
                f"i-{service}-{zone}",
                service,
                zone,
                slots=SLOTS,
                queue=QUEUE,
                work_s=WORK_S,
                echoes_in_refusals=ECHOES_IN_REFUSALS,
            )
    deployment.configure(
        [make_route(service) for service in SERVICES],
        dict.fromkeys(SERVICES, CONNECTIONS),
    )
    deployment.add_vms(ZONES)
    beats = asyncio.create_task(deployment.beat())
    for name in deployment.vms:
        deployment.start_vm(name)
    await deployment.wait_ready(list(deployment.vms))
    started_at = time.monotonic()
    attempts = []

    async def bring_trouble():
        faulty = [b for b in deployment.backends.values() if b.zone == "tallinn"]
        while has_trouble:
            for backend in faulty:
                backend.faulty = True
            record.add(f"garble (extra late) begins at {len(faulty)} backends")
            await asyncio.sleep(TROUBLE_S)
            for backend in faulty:
                backend.faulty = False
            record.add("garble ends")
            await asyncio.sleep(REST_S)

    async def use(service: str, offset_s: float, vm, number: int):
        client = Client(f"{service}-{vm.name}-{number}")
        wave = 0
        while True:
            wave += 1
            wait_s = started_at + offset_s + wave * WAVE_S - time.monotonic()
            if wave * WAVE_S > PLAY_S:
                return
            if wait_s < 0:
                continue  # the answer to the wave before came late
            await asyncio.sleep(wait_s)
            attempt = await client.send(
                vm.front, "POST", f"/{service}/{wave}", 10_000, b"a note"
            )
            attempts.append((vm.name, attempt))

    users = []
    for index, service in enumerate(SERVICES):
        offset_s = index * WAVE_S / len(SERVICES)
        for vm in deployment.vms.values():
            for number in range(CLIENTS_PER_VM):
                users.append(use(service, offset_s, vm, number))
    trouble = asyncio.create_task(bring_trouble())
    await asyncio.gather(*users)
    trouble.cancel()
    beats.cancel()
    return judge(deployment, record, attempts)


def judge(deployment, record, attempts):
    """Return the heading and what broke TWICE."""
    runs = {}
    for run in deployment.runs:
        runs.setdefault(run.attempt, []).append(run)
    breaks, refused = [], 0
    for vm, attempt in attempts:
        ran = runs.get(attempt.attempt, [])
        places = ", ".join(
            f"{r.backend} at {r.at - record.started_at:.3f} (answered {r.status})"
            for r in ran
        )
        record.add(
            f"{attempt.method} {attempt.attempt} sent to {vm}; "
            f"ran {len(ran)} times: {places or 'nowhere'}; answered {attempt.status} "
            f"at {attempt.ended_at - record.started_at:.3f}",
            attempt.sent_at,
        )
        if len(ran) > 1:
            breaks.append(f"TWICE: {attempt.attempt} ran {len(ran)} times: {places}")
        if ran and attempt.status in (408, 421, 429, 503):
            refused += 1
    statuses = Counter(attempt.status for _, attempt in attempts)
    copies = sum(b.copies for b in deployment.backends.values())
    heading = [
        f"requests: {len(attempts)}, by status {dict(statuses)}",
        f"runs: {len(deployment.runs)}, late second copies sent: {copies}",
        f"ran more than once (TWICE): {len(breaks)}",
        f"ran and answered 503, 429, 421 or 408 (REFUSED, for information): {refused}",
    ]
    return heading, breaks


if __name__ == "__main__":
    run_case(play, FOLDER)
