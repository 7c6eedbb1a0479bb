"""A session of processes on one machine: platform, targets and entry daemons."""

import time
from pathlib import Path

import orjson

from .caller import Caller
from .layouts import (
    ServiceLayout,
    TargetPlan,
    encode_ticket,
    make_layout_changes,
    make_target_change,
    plan_targets,
)
from .processes import Process, ProcessGroup

POLL_INTERVAL_S = 0.05
MAX_SEEDS = 12  # earlier daemons that a new one gets as its first peers


class Session:
    """Starts the processes of a session and holds an HTTP client for each daemon.

    Parameters
    ----------
    folder : Path
        Folder for the processes' logs.
    vm_count : int
        Number of VMs that share the connections of the targets.

    Attributes
    ----------
    targets, daemons : dict of str to Process
        Processes of the targets and of the daemons, by target and by VM.
    callers : dict of str to Caller
        Clients of the daemons, by VM.
    max_seeds : int
        Largest number of earlier daemons that a new one gets as its first peers.
    """

    def __init__(self, folder: Path, vm_count: int = 7):
        self.processes = ProcessGroup(folder)
        self.vm_count = vm_count
        self.targets: dict[str, Process] = {}
        self.daemons: dict[str, Process] = {}
        self.callers: dict[str, Caller] = {}
        self._peer_ports: list[int] = []
        self._next_ticket_number = 1
        self.max_seeds = MAX_SEEDS
        self.platform = self.processes.start("platform", "standins.platform")
        self.platform_control = Caller(self.platform.ready["control_port"])

    def __enter__(self) -> "Session":
        return self

    def __exit__(self, *error: object) -> None:
        self.processes.stop_all()

    def start_targets(self, layouts: list[ServiceLayout], **settings) -> None:
        """Start all targets of some layouts concurrently, with further settings."""
        plans = [plan for layout in layouts for plan in plan_targets(layout)]
        commands = [
            (p.name, "standins.target", encode_target_settings(p, seed, settings))
            for seed, p in enumerate(plans)
        ]
        for plan, process in zip(
            plans, self.processes.start_all(commands), strict=True
        ):
            self.targets[plan.name] = process

    def publish(self, changes: list, number: int | None = None) -> int:
        """Publish a ticket, by default with the next number; return the number."""
        if number is None:
            number = self._next_ticket_number
        self._next_ticket_number = max(self._next_ticket_number, number + 1)
        body = {"key": f"tickets/{number}", "value": encode_ticket(number, changes)}
        reply = self.platform_control.post("/", body)
        assert reply.status == 200, reply
        return number

    def publish_layouts(
        self, layouts: list[ServiceLayout], data_centre: str, shards: int = 1
    ) -> int:
        """Publish one ticket with the services and targets of some layouts."""
        changes = []
        for layout in layouts:
            changes += make_layout_changes(layout, shards=shards)
            for plan in plan_targets(layout):
                port = self.targets[plan.name].ready["port"]
                changes.append(make_target_change(plan, port, data_centre))
        return self.publish(changes)

    def start_daemon(self, vm: str, data_centre: str, **settings) -> Process:
        """Start an entry daemon whose first peers are the daemons started before it."""
        ports = self._peer_ports[-self.max_seeds :]
        peers = ",".join(f"127.0.0.1:{port}" for port in ports)
        flags = {
            "vm": vm,
            "data_centre": data_centre,
            "host": "127.0.0.1",
            "platform_url": f"http://127.0.0.1:{self.platform.ready['port']}",
            "vm_count": self.vm_count,
            "peers": peers,
            **settings,
        }
        command = [f"--{name}={value}" for name, value in flags.items()]
        process = self.processes.start(vm, "cassiastaird", *command)
        self.daemons[vm] = process
        self.callers[vm] = Caller(process.ready["api_port"])
        self._peer_ports.append(process.ready["peer_port"])
        return process

    def control(self, target: str, **changes) -> dict:
        """Change settings of a target and return its status with its counts."""
        caller = Caller(self.targets[target].ready["control_port"])
        return caller.post("/", changes).body

    def wait_until(self, condition, timeout: float = 20.0) -> None:
        """Wait until a condition is true.

        Raises
        ------
        TimeoutError
            If the condition is still false after `timeout` seconds.
        """
        deadline = time.monotonic() + timeout
        while not condition():
            if time.monotonic() > deadline:
                raise TimeoutError("the condition did not come true")
            time.sleep(POLL_INTERVAL_S)

    def is_ready(self, vm: str) -> bool:
        """Return True if a daemon reports that it is ready."""
        return self.callers[vm].get("/ready").status == 200

    def wait_ready(self, objects: int = 1) -> None:
        """Wait until each daemon is ready, knows all others and has enough objects."""
        for vm in self.daemons:
            self.wait_until(lambda vm=vm: self.is_ready(vm))
            self.wait_until(lambda vm=vm: self._is_linked(vm, objects))

    def kill_daemon(self, vm: str) -> None:
        """Kill a daemon and wait until the others have seen the end of its links.

        Until then a request that needs the daemon is sent to it and fails in another
        way than one for which there is no link.
        """
        self.daemons[vm].kill()
        for other, caller in self.callers.items():
            if self.daemons[other].popen.poll() is None:
                self.wait_until(
                    lambda caller=caller: (
                        vm not in caller.get("/status").body["peers"]["links"]
                    )
                )

    def _is_linked(self, vm: str, objects: int) -> bool:
        """Return True if a daemon knows all others and has enough objects in force."""
        status = self.callers[vm].get("/status").body
        linked = len(status["peers"]["known"]) >= len(self.daemons) - 1
        return linked and status["tickets"]["objects"] >= objects


def encode_target_settings(plan: TargetPlan, seed: int, overrides: dict) -> str:
    """Return the settings of a target's process as JSON."""
    settings = {
        "name": plan.name,
        "service": plan.service,
        "slots": plan.layout.slots,
        "connection_limit": plan.layout.connections,
        "connect_ms": plan.layout.connect_ms,
        "seed": seed,
        **overrides,
    }
    return orjson.dumps(settings).decode()
