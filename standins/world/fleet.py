"""Entry daemons as processes, each on an address of its own, over one world."""

import os
import random
import signal
import subprocess
import sys
import time
from dataclasses import dataclass
from pathlib import Path

import eventlet
from eventlet.green import socket

from .back_end import BackEnd, BackEndSpec
from .http import Wire, write_message
from .store import Store

ROOT = Path(__file__).resolve().parent.parent.parent
HOST = "search.example"
ZONES = ("north", "south", "west")
START_LIMIT_S = 20.0  # time for a process to listen on a busy machine
POLL_S = 0.05
SETTINGS = """\
nodeName = "{name}"
zone = "{zone}"
ip = "{host}"
seeds = [{seeds}]
[listenAddresses]
front = "{host}:{front}"
ready = "{host}:{ready}"
control = "{host}:{control}"
[limits]
maxFds = 4096
[bounds]
drainMs = 3000
graceS = 6
configApplyMs = 3000
retryBudgetRatio = 0.2
retryWindowS = 10
retryBudgetSlack = 54
[platform]
address = "{store}"
"""


@dataclass(slots=True)
class EntryVm:
    """One entry VM."""

    name: str
    zone: str
    host: str
    ports: tuple[int, int, int, int]
    settings: Path
    log: Path
    process: subprocess.Popen | None = None

    @property
    def callers(self) -> tuple[str, int]:
        """Address for callers."""
        return self.host, self.ports[0]


class World:
    """A store, back ends, and entry VMs in processes.

    Parameters
    ----------
    folder : Path
        For settings and logs.
    seed : int
        Seed of the back ends.
    """

    def __init__(self, folder: Path, seed: int = 1):
        folder.mkdir(parents=True, exist_ok=True)
        self.folder = folder
        self.clock = time.monotonic
        self.source = random.Random(seed)
        self.store = Store()
        self.back_ends: dict[str, BackEnd] = {}
        self.vms: dict[str, EntryVm] = {}
        self.version = 0
        self._host = make_loopback_host(os.getpid())
        self.shard_sets: list[tuple[str, ...]] = []

    def add_back_end(self, spec: BackEndSpec) -> BackEnd:
        """Start a back end and register it."""
        back_end = BackEnd(spec, self.store, self.source, self.clock)
        self.back_ends[spec.name] = back_end
        back_end.register()
        return back_end

    def configure(self, routes: list[dict], services: list[str]) -> int:
        """Write a new configuration; return its version."""
        self.version += 3
        for route in routes:
            if "fanoutServices" in route:
                self.shard_sets.append(tuple(route["fanoutServices"]))
        document = {
            "version": self.version,
            "routes": routes,
            "services": [{"name": n, "maxConnections": 40} for n in services],
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 262144,
                "headerTimeoutMs": 3000,
                "idleTimeoutMs": 15000,
            },
        }
        self.store.put("op/config", document)
        return self.version

    def add_vms(self, count: int, store: tuple[str, int] | None = None) -> None:
        """Make settings for VMs; the first three are the seeds of all."""
        host = self._host
        ports = find_ports(4 * count, host)
        first = ports[2 : 4 * min(count, 3) : 4]
        seeds = ", ".join(f'"{host}:{port}"' for port in first)
        address = store or self.store.address
        for number in range(count):
            name = f"vm{number}"
            own = tuple(ports[4 * number : 4 * number + 4])
            settings = self.folder / f"{name}.toml"
            zone = ZONES[number % len(ZONES)]
            settings.write_text(
                SETTINGS.format(
                    name=name,
                    zone=zone,
                    host=host,
                    seeds=seeds,
                    front=own[0],
                    ready=own[1],
                    control=own[2],
                    store=f"{address[0]}:{address[1]}",
                )
            )
            log = self.folder / f"{name}.log"
            self.vms[name] = EntryVm(name, zone, host, own, settings, log)

    def start(self, name: str) -> None:
        """Start a VM's process, unless it runs: faults that overlap both start it."""
        vm = self.vms[name]
        if vm.process is not None and vm.process.poll() is None:
            return
        env = {
            **os.environ,
            "CASSIASTAIR_BOOT": str(vm.settings),
            "CASSIASTAIRD_METRICS_PORT": str(vm.ports[3]),
        }
        with vm.log.open("ab") as log:
            vm.process = subprocess.Popen(
                [sys.executable, "deploy/start.py"],
                stdout=log,
                stderr=log,
                cwd=ROOT,
                env=env,
                start_new_session=True,
            )

    def start_all(self) -> None:
        """Start all VMs and wait until they are ready."""
        for name in self.vms:
            self.start(name)
        for name in self.vms:
            self.wait_ready(name)

    def is_ready(self, name: str) -> bool:
        """Ask a VM whether it takes work."""
        vm = self.vms[name]
        try:
            sock = eventlet.connect((vm.host, vm.ports[1]))
        except OSError:
            return False
        try:
            sock.settimeout(1.0)
            first = "GET /-/readiness HTTP/1.1"
            sock.sendall(write_message(first, {"Host": HOST}))
            answer = Wire(sock).read()
            return answer is not None and answer.status == 200
        except OSError:
            return False
        finally:
            sock.close()

    def read_metrics(self, name: str) -> str:
        """Return a VM's metrics page."""
        vm = self.vms[name]
        sock = eventlet.connect((vm.host, vm.ports[3]))
        try:
            sock.sendall(write_message("GET /metrics HTTP/1.1", {"Host": HOST}))
            return Wire(sock).read().body.decode()
        finally:
            sock.close()

    def wait_ready(self, name: str, limit: float = START_LIMIT_S) -> None:
        """Wait until a VM is ready.

        Raises
        ------
        TimeoutError
            If it is not in time; with the end of its log.
        """
        until = self.clock() + limit
        while not self.is_ready(name):
            if self.clock() > until:
                tail = self.vms[name].log.read_text()[-2000:]
                raise TimeoutError(f"{name} is not ready: {tail}")
            eventlet.sleep(POLL_S)

    def signal(self, name: str, number: int) -> None:
        """Send a signal to a VM's process, if it runs."""
        process = self.vms[name].process
        if process is not None and process.poll() is None:
            os.kill(process.pid, number)

    def wait_end(self, name: str, limit: float) -> int | None:
        """Wait for the end of a VM's process; return its status."""
        process = self.vms[name].process
        until = self.clock() + limit
        while process.poll() is None and self.clock() < until:
            eventlet.sleep(POLL_S)
        return process.poll()

    def stop(self) -> None:
        """End all that the world started."""
        for name, vm in self.vms.items():
            self.signal(name, signal.SIGCONT)
            self.signal(name, signal.SIGKILL)
            if vm.process is not None:
                vm.process.wait()
        for back_end in self.back_ends.values():
            back_end.stop()
        self.store.stop()
        eventlet.sleep(POLL_S)

    def __enter__(self) -> "World":
        return self

    def __exit__(self, *error: object) -> None:
        self.stop()


def make_loopback_host(number: int) -> str:
    """Return a loopback address of this process's own.

    A VM that starts again needs its old ports. On an address that nobody else uses,
    they are not taken meanwhile by connections or by another world.
    """
    return f"127.{1 + (number >> 16) % 250}.{(number >> 8) % 256}.{1 + number % 254}"


def find_ports(count: int, host: str = "127.0.0.1") -> list[int]:
    """Return free ports of a loopback address."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for sock in sockets:
            sock.bind((host, 0))
        return [sock.getsockname()[1] for sock in sockets]
    finally:
        for sock in sockets:
            sock.close()


def make_search_route(shards: tuple[str, ...], **fields) -> dict:
    """Return a route of searches as the operator writes it."""
    known = {
        "name": "search",
        "host": HOST,
        "prefix": "/search/",
        "type": "idempotent",
        "timeoutMs": 2000,
        "targetLatencyMs": 300,
        "priority": 1,
        "fanoutServices": list(shards),
        "maxAttempts": 2,
        "topK": 10,
        "minShardRatio": 0.75,
    }
    return known | fields


def make_desk_route(kind: str = "non_idempotent", **fields) -> dict:
    """Return a route to one service as the operator writes it."""
    known = {
        "name": "desk",
        "host": HOST,
        "prefix": "/desk/",
        "type": kind,
        "timeoutMs": 3000,
        "targetLatencyMs": 600,
        "priority": 2,
        "service": "desk",
        "maxAttempts": 2,
    }
    return known | fields
