"""A small deployment: entry daemons as the deploy file starts them."""

import asyncio
import json
import os
import random
import shlex
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

from .backend import Backend, Run
from .client import HOST
from .http import BadMessageError, encode, read_message
from .store import Store

ROOT = Path(__file__).resolve().parents[2]
READY_S = 25.0
FRONT, READY, CONTROL = 8104, 8108, 8106
# The fields of DEPLOY.md, with the figures of the small sites.
SETTINGS = """\
nodeName = "{name}"
role = "entry"
machineClass = "front"
serves = ["front","control_plane"]
ip = "{ip}"
zone = "{zone}"
region = "eesti"
internalPortRange = [7380,7395]
seeds = {seeds}
bootstrap = true
inTolerance = false
discovery = "platform"
entry = "virtual_ip"
heartbeatIntervalMs = 1200
contracts = ["base","drain","config","cost","retry","recover","scatter","platform"]
[zones]
tallinn = "eesti"
tartu = "eesti"
parnu = "eesti"
[listenAddresses]
front = "{ip}:8104"
ready = "{ip}:8108"
control = "{ip}:8106"
[limits]
cpuShare = 0.537
cores = 2
memoryMb = 300
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 1
zones = 1
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
stableWindowMs = 4000
ackMs = 5000
catchUpS = 4
drainMs = 3000
graceS = 6
lossSlackMs = 200
configApplyMs = 3000
rollbackSlackMs = 250
maxSkewMs = 12000
retryBudgetRatio = 0.2
retryWindowS = 10
retryBudgetSlack = 54
recoveryS = 12
[platform]
address = "{store}"
form = "read"
writesPerS = 400
readsPerS = 2000
historyS = 20
maxValueBytes = 1048576
minTtlMs = 1000
"""


class Vm:
    """One entry VM: a loopback address and the latest process on it."""

    def __init__(self, name: str, zone: str, ip: str):
        self.name = name
        self.zone = zone
        self.ip = ip
        self.process: subprocess.Popen | None = None

    @property
    def front(self) -> str:
        """Address for clients."""
        return f"{self.ip}:{FRONT}"


class Deployment:
    """The store, the backends and the VMs of one case."""

    def __init__(self, seed: int = 1):
        self.rng = random.Random(seed)
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        pid = os.getpid()
        # An address block of its own, so that the ports are free.
        self._block = f"127.{20 + pid % 200}.{pid // 200 % 250}"
        self.store = Store(f"{self._block}.250")
        self.runs: list[Run] = []
        self.backends: dict[str, Backend] = {}
        self.vms: dict[str, Vm] = {}
        self._version = 1
        with (ROOT / "deploy" / "system.toml").open("rb") as file:
            self._command = shlex.split(tomllib.load(file)["roles"]["entry"]["run"])

    async def add_backend(self, kind, name: str, service: str, zone: str, **figures):
        """Start a backend of a class and register it."""
        backend = kind(
            name, service, zone, f"{self._block}.251", self.runs, self.rng, **figures
        )
        await backend.start()
        self.backends[name] = backend
        self.store.put(f"servers/{name}", backend.make_entry())
        return backend

    async def beat(self) -> None:
        """Write all entries that are in the store again, as backends do."""
        while True:
            await asyncio.sleep(1.2)
            for name, backend in self.backends.items():
                if not getattr(backend, "leaving", False):
                    self.store.put(f"servers/{name}", backend.make_entry())

    def configure(self, routes: list[dict], connections: dict[str, int]) -> int:
        """Write a configuration; return its version."""
        self._version += self.rng.randint(1, 5)
        services = [
            {
                "name": name,
                "healthCheckPath": "/health",
                "maxConnections": count,
                "protocol": "h1",
                "tls": False,
            }
            for name, count in connections.items()
        ]
        limits = {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 262144,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        }
        document = {
            "version": self._version,
            "routes": routes,
            "services": services,
            "limits": limits,
        }
        self.store.put("op/config", document)
        return self._version

    def add_vms(self, zones: list[str]) -> None:
        """Write the settings of one VM for each entry of a list of zones."""
        for zone in zones:
            number = sum(1 for vm in self.vms.values() if vm.zone == zone) + 1
            name = f"front-{zone}-{number}"
            self.vms[name] = Vm(name, zone, f"{self._block}.{len(self.vms) + 1}")
        first = {vm.zone: vm for vm in reversed(self.vms.values())}
        seeds = json.dumps([f"{vm.ip}:{CONTROL}" for vm in first.values()][:3])
        for vm in self.vms.values():
            text = SETTINGS.format(
                name=vm.name,
                zone=vm.zone,
                ip=vm.ip,
                seeds=seeds,
                store=self.store.address,
            )
            (self.folder / f"{vm.name}.toml").write_text(text)

    def start_vm(self, name: str) -> None:
        """Start a VM's process with the command of the deploy file."""
        vm = self.vms[name]
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["CASSIASTAIR_BOOT"] = str(self.folder / f"{name}.toml")
        with (self.folder / f"{name}.log").open("ab") as log:
            vm.process = subprocess.Popen(
                self._command, cwd=ROOT, env=env, stdout=log, stderr=log
            )

    def kill_vm(self, name: str) -> None:
        """Kill a VM's process."""
        self.vms[name].process.send_signal(signal.SIGKILL)

    def read_memory_mb(self, name: str) -> float:
        """Return the resident memory of a VM's process; 0 if it has ended."""
        process = self.vms[name].process
        if process is None or process.poll() is not None:
            return 0.0
        try:
            pages = Path(f"/proc/{process.pid}/statm").read_text().split()[1]
        except OSError:
            return 0.0
        return int(pages) * os.sysconf("SC_PAGE_SIZE") / 2**20

    async def is_ready(self, name: str) -> bool:
        """Ask a VM's readiness as the platform does."""
        try:
            async with asyncio.timeout(1.0):
                streams = await asyncio.open_connection(self.vms[name].ip, READY)
                streams[1].write(encode("GET /-/readiness HTTP/1.1", {"Host": HOST}))
                answer = await read_message(streams[0])
                streams[1].close()
                return answer is not None and answer.status == 200
        except (OSError, TimeoutError, BadMessageError):
            return False

    async def wait_ready(self, names: list[str]) -> None:
        """Wait until VMs are ready; raise TimeoutError if one isn't in time."""
        until = time.monotonic() + READY_S
        for name in names:
            while not await self.is_ready(name):
                if time.monotonic() > until:
                    raise TimeoutError(f"{name} is not ready")
                await asyncio.sleep(0.1)

    def stop(self) -> None:
        """End all processes that were started, and remove the temporary folder."""
        for vm in self.vms.values():
            if vm.process is not None and vm.process.poll() is None:
                vm.process.kill()
        for vm in self.vms.values():
            if vm.process is not None:
                vm.process.wait()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)


class Record:
    """Lines of record.txt, with seconds since the start."""

    def __init__(self):
        self._lines: list[str] = []
        self.started_at = time.monotonic()

    def add(self, text: str, at: float | None = None) -> None:
        """Add a line with its time."""
        at = time.monotonic() if at is None else at
        self._lines.append(f"{at - self.started_at:8.3f}  {text}")

    def write(self, folder: Path, heading: list[str]) -> None:
        """Write the heading and the lines in the order of their times."""
        lines = [*heading, "", *sorted(self._lines)]
        (folder / "record.txt").write_text("\n".join(lines) + "\n")


def run_case(play, folder: Path) -> None:
    """Play a case and exit with its status: 0 held, 1 broken, 2 could not run.

    Parameters
    ----------
    play : callable
        Coroutine function of (Deployment, Record, bool); returns a heading and the
        list of what broke the rule.
    folder : Path
        Folder of the case, for record.txt.
    """
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record()

    async def main():
        deployment = Deployment(int(os.environ.get("SEED", time.time_ns() % 1000)))
        try:
            async with asyncio.timeout(110):
                await deployment.store.start()
                return await play(deployment, record, has_trouble)
        finally:
            deployment.stop()

    try:
        heading, breaks = asyncio.run(main())
    except Exception as error:  # the case could not run
        record.add(f"could not run: {error!r}")
        record.write(folder, ["could not run"])
        print(f"could not run: {error!r}", file=sys.stderr)
        sys.exit(2)
    verdict = "broken" if breaks else "held"
    heading = [f"trouble: {int(has_trouble)}", f"rule: {verdict}", *heading]
    record.write(folder, [*heading, *(f"broken: {text}" for text in breaks[:40])])
    print("\n".join([*heading, *breaks[:5]]))
    sys.exit(1 if breaks else 0)
