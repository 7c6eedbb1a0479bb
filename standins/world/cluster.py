"""Cluster of entry daemons in processes, over a simulated store and back ends."""

import os
import random
import signal
import subprocess
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path

import eventlet
from eventlet.green import socket
from eventlet.semaphore import Semaphore

from .back_end import HEALTH_PATH, BackEnd, BackEndSpec
from .http_messages import MessageReader, encode_message
from .store import Store, StoreCopy
from .vm_process import VmProcess, read_end

ROOT = Path(__file__).resolve().parent.parent.parent
HOST = "search.example"  # Host header that the routes match
ZONES = ("north", "south", "west")
READY_TIMEOUT_S = 20.0  # allows for a busy machine
POLL_INTERVAL_S = 0.05
DEFAULT_GRACE_S = 6.0  # for which a VM that stops may serve
MEMORY_MB = 300  # limit of the memory of a VM's process
MAX_FDS = 4096  # limit of its descriptors
HEARTBEAT_MS = 1200  # interval at which targets write to the store
MISSED_HEARTBEATS = 3  # after which the store removes the record of a target
SETTINGS_TEMPLATE = """\
nodeName = "{name}"
zone = "{zone}"
ip = "{host}"
seeds = [{seeds}]
heartbeatIntervalMs = {heartbeat_ms}
[listenAddresses]
front = "{host}:{front}"
ready = "{host}:{ready}"
control = "{host}:{control}"
[limits]
maxFds = {max_fds}
memoryMb = {memory_mb}
[bounds]
drainMs = 3000
graceS = {grace_s:g}
configApplyMs = 3000
retryBudgetRatio = 0.2
retryWindowS = 10
retryBudgetSlack = 54
[platform]
address = "{store}"
"""


@dataclass(slots=True)
class EntryVm:
    """An entry VM, which is a process on a loopback address.

    Parameters
    ----------
    name : str
        Name of the VM.
    zone : str
        Data centre of the VM.
    host : str
        Loopback address.
    ports : tuple of int
        Ports for callers, readiness, peers and metrics.
    settings_path, log_path : Path
        Files with the settings and the output of the latest process.
    settings_fields : dict
        Values of the settings, by their names in `SETTINGS_TEMPLATE`.
    process : subprocess.Popen or None
        Latest process; None before the first start.
    processes : list of VmProcess
        All processes, oldest first.
    start_lock : Semaphore
        Held while a process is started, since other tasks run meanwhile.
    """

    name: str
    zone: str
    host: str
    ports: tuple[int, int, int, int]
    settings_path: Path
    log_path: Path
    settings_fields: dict[str, object]
    process: subprocess.Popen | None = None
    processes: list[VmProcess] = field(default_factory=list)
    start_lock: Semaphore = field(default_factory=Semaphore)

    @property
    def caller_address(self) -> tuple[str, int]:
        """Address that serves callers."""
        return self.host, self.ports[0]

    @property
    def latest(self) -> VmProcess | None:
        """Latest process; one that was not started by the cluster is added first."""
        if self.process is None:
            return None
        if not self.processes or self.processes[-1].popen is not self.process:
            started_at = time.monotonic()
            process = VmProcess(self.name, self.process, self.log_path, started_at)
            self.processes.append(process)
        return self.processes[-1]

    def write_settings(self, **changes: object) -> None:
        """Write the settings file; changed fields also hold for later writes."""
        self.settings_fields |= changes
        text = SETTINGS_TEMPLATE.format(**self.settings_fields)
        self.settings_path.write_text(text)


class Cluster:
    """A store and back ends in this process, and entry VMs in processes of their own.

    Parameters
    ----------
    folder : Path
        Folder for the settings and logs of the VMs.
    seed : int
        Seed of the random number generator of the back ends.

    Attributes
    ----------
    clock : callable
        Returns the time in seconds.
    rng : random.Random
        Random number generator that the back ends share.
    store : Store
        The store.
    back_ends : dict of str to BackEnd
        Back ends by name, stopped ones included.
    vms : dict of str to EntryVm
        Entry VMs by name.
    version : int
        Version of the latest configuration.
    shard_sets : list of tuple of str
        Shards of every search route so far, oldest first.
    """

    def __init__(self, folder: Path, seed: int = 1):
        folder.mkdir(parents=True, exist_ok=True)
        self.folder = folder
        self.clock = time.monotonic
        self.rng = random.Random(seed)
        self.store = Store()
        self.back_ends: dict[str, BackEnd] = {}
        self.vms: dict[str, EntryVm] = {}
        self.version = 0
        self._configuration: dict = {}
        self._host = make_loopback_host(os.getpid())
        self.shard_sets: list[tuple[str, ...]] = []

    def add_back_end(self, spec: BackEndSpec) -> BackEnd:
        """Start a back end and register it."""
        back_end = BackEnd(spec, self.store, self.rng, self.clock)
        self.back_ends[spec.name] = back_end
        back_end.register()
        return back_end

    def configure(self, routes: list[dict], services: list[str]) -> int:
        """Write a new configuration to the store and return its version."""
        self.version += 3
        for route in routes:
            if "fanoutServices" in route:
                self.shard_sets.append(tuple(route["fanoutServices"]))
        document = {
            "version": self.version,
            "routes": routes,
            "services": [
                {"name": n, "maxConnections": 40, "healthCheckPath": HEALTH_PATH}
                for n in services
            ],
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 262144,
                "headerTimeoutMs": 3000,
                "idleTimeoutMs": 15000,
            },
        }
        self._configuration = document
        self.store.put("op/config", document)
        return self.version

    def restore_store(self, copy: StoreCopy, away_s: float) -> None:
        """Bring the store back from a copy, after a time in which it resets all calls.

        The back ends and the operators write again what they have in it now. The
        records of back ends that are gone lapse.

        Parameters
        ----------
        copy : StoreCopy
            State that the store comes back in.
        away_s : float
            Time in seconds for which it is away.
        """
        removed = copy.items.keys() - self.store.items.keys()
        self.store.faults[""] = "reset"
        self.store.restore(copy)
        eventlet.sleep(away_s)
        self.store.faults.pop("", None)
        heartbeat_s = HEARTBEAT_MS / 1000
        back_ends = list(self.back_ends.values())
        for number, back_end in enumerate(back_ends):
            if number == len(back_ends) // 2:
                self.store.put("op/config", self._configuration)
            back_end.register_again()
            eventlet.sleep(heartbeat_s / len(back_ends))
        eventlet.sleep((MISSED_HEARTBEATS - 1) * heartbeat_s)
        for key in removed:
            if (change := self.store.items.get(key)) is copy.items[key]:
                self.store.remove(change.key)

    def add_vms(self, count: int, store_address: tuple[str, int] | None = None) -> None:
        """Write the settings of new VMs; the first three VMs are the seeds of all.

        Parameters
        ----------
        count : int
            Number of VMs.
        store_address : (str, int), optional
            Address of the store for the VMs, such as that of a proxy.
        """
        host = self._host
        ports = find_ports(4 * count, host)
        seed_ports = ports[2 : 4 * min(count, 3) : 4]
        seeds = ", ".join(f'"{host}:{port}"' for port in seed_ports)
        address = store_address or self.store.address
        for index in range(count):
            name = f"vm{index}"
            vm_ports = tuple(ports[4 * index : 4 * index + 4])
            settings_path = self.folder / f"{name}.toml"
            zone = ZONES[index % len(ZONES)]
            fields = {
                "name": name,
                "zone": zone,
                "host": host,
                "seeds": seeds,
                "front": vm_ports[0],
                "ready": vm_ports[1],
                "control": vm_ports[2],
                "memory_mb": MEMORY_MB,
                "max_fds": MAX_FDS,
                "grace_s": DEFAULT_GRACE_S,
                "heartbeat_ms": HEARTBEAT_MS,
                "store": f"{address[0]}:{address[1]}",
            }
            log_path = self.folder / f"{name}-0.log"
            vm = EntryVm(name, zone, host, vm_ports, settings_path, log_path, fields)
            vm.write_settings()
            self.vms[name] = vm

    def start(
        self, name: str, beside_old: bool = False, has_log_reader: bool = True
    ) -> None:
        """Start a VM's process unless it runs.

        Overlapping faults may each start the same VM.

        Parameters
        ----------
        name : str
            Name of the VM.
        beside_old : bool
            Start a process even if the one before it, which must have been asked to
            stop, still runs.
        has_log_reader : bool
            Whether the output goes to the log; if not, to a pipe without a reader.
        """
        vm = self.vms[name]
        with vm.start_lock:
            self._start_unless_running(vm, beside_old, has_log_reader)

    def _start_unless_running(
        self, vm: EntryVm, beside_old: bool, has_log_reader: bool
    ) -> None:
        """Start a VM's process; the caller holds the lock, see `start`."""
        is_running = vm.process is not None and vm.process.poll() is None
        if is_running and not (beside_old and vm.latest.was_asked_to_stop):
            return
        env = {
            **os.environ,
            "CASSIASTAIR_BOOT": str(vm.settings_path),
            "CASSIASTAIRD_METRICS_PORT": str(vm.ports[3]),
        }
        started_at = self.clock()
        vm.log_path = self.folder / f"{vm.name}-{len(vm.processes)}.log"
        with vm.log_path.open("ab") if has_log_reader else open_unread() as output:
            vm.process = subprocess.Popen(
                [sys.executable, "deploy/start.py"],
                stdout=output,
                stderr=output,
                cwd=ROOT,
                env=env,
                start_new_session=True,
                preexec_fn=reset_signals,
            )
        vm.processes.append(VmProcess(vm.name, vm.process, vm.log_path, started_at))

    def start_all(self) -> None:
        """Start all VMs and wait until they are ready."""
        for name in self.vms:
            self.start(name)
        for name in self.vms:
            self.wait_ready(name)

    def is_ready(self, name: str) -> bool:
        """Return True if the VM reports that it is ready."""
        vm = self.vms[name]
        try:
            sock = eventlet.connect((vm.host, vm.ports[1]))
        except OSError:
            return False
        try:
            sock.settimeout(1.0)
            start_line = "GET /-/readiness HTTP/1.1"
            sock.sendall(encode_message(start_line, {"Host": HOST}))
            message = MessageReader(sock).read()
            return message is not None and message.status == 200
        except OSError:
            return False
        finally:
            sock.close()

    def read_metrics(self, name: str) -> str:
        """Return the text of a VM's metrics endpoint."""
        vm = self.vms[name]
        sock = eventlet.connect((vm.host, vm.ports[3]))
        try:
            sock.sendall(encode_message("GET /metrics HTTP/1.1", {"Host": HOST}))
            return MessageReader(sock).read().body.decode()
        finally:
            sock.close()

    def wait_ready(self, name: str, timeout_s: float = READY_TIMEOUT_S) -> None:
        """Wait until a VM is ready.

        Raises
        ------
        TimeoutError
            If the VM is not ready in time; the message has the end of its log.
        """
        deadline = self.clock() + timeout_s
        while not self.is_ready(name):
            if self.clock() > deadline:
                log_end = read_end(self.vms[name].log_path)
                raise TimeoutError(f"{name} is not ready: {log_end}")
            eventlet.sleep(POLL_INTERVAL_S)

    def send_signal(self, name: str, signal_number: int) -> None:
        """Send a signal to a VM's latest process if it runs."""
        process = self.vms[name].latest
        if process is not None:
            process.send(signal_number)

    def wait_exit(self, name: str, timeout_s: float) -> int | None:
        """Wait until a VM's process exits.

        Returns its exit status, or None if it still runs after the time-out.
        """
        process = self.vms[name].process
        deadline = self.clock() + timeout_s
        while process.poll() is None and self.clock() < deadline:
            eventlet.sleep(POLL_INTERVAL_S)
        return process.poll()

    def stop(self) -> None:
        """Kill the VMs' processes and stop the back ends and the store."""
        for vm in self.vms.values():
            self.send_signal(vm.name, signal.SIGKILL)
            for process in vm.processes:
                process.send(signal.SIGKILL)
                process.popen.wait()
        for back_end in self.back_ends.values():
            back_end.stop()
        self.store.stop()
        eventlet.sleep(POLL_INTERVAL_S)

    def __enter__(self) -> "Cluster":
        return self

    def __exit__(self, *error: object) -> None:
        self.stop()


def reset_signals() -> None:
    """Have signals take their default action, also if this process ignores them."""
    for number in (signal.SIGHUP, signal.SIGINT, signal.SIGTERM):
        signal.signal(number, signal.SIG_DFL)


def open_unread():
    """Return the writing end of a pipe whose reading end is closed."""
    reading_end, writing_end = os.pipe()
    os.close(reading_end)
    return open(writing_end, "wb", buffering=0)


def make_loopback_host(pid: int) -> str:
    """Return a loopback address that depends on a process ID.

    A restarted VM binds its old ports again. On an address of their own, the ports
    cannot be taken in the meantime by other connections or by another test cluster.
    """
    return f"127.{1 + (pid >> 16) % 250}.{(pid >> 8) % 256}.{1 + pid % 254}"


def find_ports(count: int, host: str = "127.0.0.1") -> list[int]:
    """Return free ports of an address."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for sock in sockets:
            sock.bind((host, 0))
        return [sock.getsockname()[1] for sock in sockets]
    finally:
        for sock in sockets:
            sock.close()


def make_search_route(shards: tuple[str, ...], **fields) -> dict:
    """Return a search route as in the configuration; fields replace the defaults."""
    defaults = {
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
    return defaults | fields


def make_desk_route(kind: str = "non_idempotent", **fields) -> dict:
    """Return a route to one service as in the configuration.

    Parameters
    ----------
    kind : str
        Value of the key "type".
    **fields
        Keys that are added or replace the defaults.
    """
    defaults = {
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
    return defaults | fields
