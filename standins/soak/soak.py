"""One soak: a world, callers, the steps of its plan, and the verdict."""

import signal
from pathlib import Path

import eventlet

from ..world.back_end import BackEndSpec
from ..world.caller import Caller
from ..world.cluster import HOST, Cluster, make_desk_route, make_search_route
from .checks import Record, find_broken
from .plan import FAULTS_S, SHARDS, VMS, Step, draw_plan, pick
from .proxy import FaultProxy

CALLERS = 6
PAUSE_S = 0.08  # pause of a caller between two requests
TRAFFIC_S = FAULTS_S + 9.0  # faults, and the time to recover from the last one
RECOVERY_S = 12.0
RESTART_S = 0.3
DESKS = 3
ZONES = ("north", "south")


class Soak:
    """Plays the plan of one seed.

    Parameters
    ----------
    seed : int
        Seed of the plan, the back ends and the callers.
    folder : Path
        For settings and logs.
    """

    def __init__(self, seed: int, folder: Path):
        self._plan = draw_plan(seed)
        self._world = Cluster(folder, seed)
        self._record = Record()
        self._store_proxy = FaultProxy(self._world.store.address)
        self._proxies: dict[str, FaultProxy] = {}
        self._count = 0
        self._shards: tuple[str, ...] = ()
        self._tasks: list = []
        self._stopping = False
        self._unserved: list[str] = []

    def describe(self) -> list[str]:
        """Return the plan in words."""
        return [step.describe() for step in self._plan]

    def run(self) -> list[str]:
        """Play the plan; return what was broken."""
        try:
            self._set_up()
            self._play()
            return find_broken(self._world, self._record) + self._unserved
        finally:
            self._end()

    def _set_up(self) -> None:
        """Start back ends and VMs."""
        for number in range(DESKS):
            self._add_target("desk", f"desk-{number}", ZONES[number % 2])
        self._reshard()
        self._world.add_vms(VMS, self._store_proxy.address)
        self._world.start_all()

    def _add_target(self, service: str, name: str, zone: str) -> None:
        """Start a back end behind a proxy of its own."""
        world = self._world
        back_end = world.add_back_end(BackEndSpec(name, service, zone))
        proxy = FaultProxy(("127.0.0.1", back_end.port))
        self._proxies[name] = proxy
        back_end.advertise(proxy.address)

    def _reshard(self) -> None:
        """Start a new set of shards and bring it in force; drain the old one."""
        self._count += 1
        old = [n for n, b in self._world.back_ends.items() if b.spec.service != "desk"]
        self._shards = tuple(f"g{self._count}s{n}" for n in range(SHARDS))
        for service in self._shards:
            for replica in range(2):
                self._add_target(service, f"{service}-{replica}", ZONES[replica])
        self._configure()
        if old:
            self._tasks.append(eventlet.spawn_after(4.0, self._drain_all, old))

    def _drain_all(self, names: list[str]) -> None:
        """Let back ends leave."""
        for name in names:
            self._drain(name)

    def _drain(self, name: str) -> None:
        """Let a back end announce that it leaves, and end later."""
        self._record.leaving.setdefault(name, self._world.clock())
        self._world.back_ends[name].register("draining")

    def _configure(self) -> None:
        """Write a configuration."""
        routes = [make_search_route(self._shards), make_desk_route()]
        self._world.configure(routes, [*self._shards, "desk"])
        self._record.changes.append((self._world.clock(), self._shards))

    def _play(self) -> None:
        """Run callers and steps."""
        started = self._world.clock()
        callers = [eventlet.spawn(self._call, number) for number in range(CALLERS)]
        for step in self._plan:
            eventlet.sleep(max(0.0, started + step.at - self._world.clock()))
            self._tasks.append(eventlet.spawn(self._apply, step))
        eventlet.sleep(max(0.0, started + TRAFFIC_S - self._world.clock()))
        self._stopping = True
        for caller in callers:
            caller.wait()
        self._check_recovery()

    def _call(self, number: int) -> None:
        """Send searches and notes, on kept connections, until the end."""
        world = self._world
        caller = Caller(f"c{number}", HOST, world.clock)
        vms = list(world.vms.values())
        source = world.rng
        vm = vms[number % len(vms)]
        while not self._stopping:
            give_up = source.uniform(0.01, 0.2) if source.random() < 0.05 else None
            if source.random() < 0.7:
                outcome = caller.call(
                    vm.caller_address, "/search/x", abandon_after=give_up
                )
                self._record.searches.append(outcome)
            else:
                outcome = caller.call(
                    vm.caller_address, "/desk/note", method="POST", body=b"note"
                )
                self._record.notes.append(outcome)
            if outcome.status != 200:
                vm = source.choice(vms)
            eventlet.sleep(PAUSE_S)
        caller.close()

    def _apply(self, step: Step) -> None:
        """Carry out one step."""
        getattr(self, f"_do_{step.kind}")(step)

    def _disturb(self, name: str, length: float) -> None:
        """Note that something is disturbed from now on for some seconds."""
        now = self._world.clock()
        vm = self._world.vms.get(name)
        who = f"{vm.host}:{vm.ports[0]}" if vm else name
        self._record.disturbed.spans.append((who, now, now + length))

    def _pick_vm(self, step: Step) -> str:
        """Return the VM of a step."""
        return pick(list(self._world.vms), step.choice)

    def _pick_target(self, step: Step) -> str:
        """Return the back end of a step, one that is in use."""
        used = (*self._shards, "desk")
        names = [n for n, b in self._world.back_ends.items() if b.spec.service in used]
        return pick(names, step.choice)

    def _restart(self, name: str) -> None:
        """Start a VM again after its end."""
        self._world.wait_exit(name, 10.0)
        eventlet.sleep(RESTART_S)
        if not self._stopping:
            self._world.start(name)

    def _do_kill(self, step: Step) -> None:
        name = self._pick_vm(step)
        self._disturb(name, 3.0)
        self._world.send_signal(name, signal.SIGKILL)
        self._restart(name)

    def _do_kill_all(self, step: Step) -> None:
        for name in self._world.vms:
            self._disturb(name, 4.0)
            self._world.send_signal(name, signal.SIGKILL)
        for name in self._world.vms:
            self._restart(name)

    def _do_pause(self, step: Step) -> None:
        name = self._pick_vm(step)
        self._disturb(name, step.length)
        self._world.send_signal(name, signal.SIGSTOP)
        eventlet.sleep(step.length)
        self._world.send_signal(name, signal.SIGCONT)

    def _do_stop(self, step: Step) -> None:
        name = self._pick_vm(step)
        self._disturb(name, 9.0)
        self._world.send_signal(name, signal.SIGTERM)
        self._restart(name)

    def _do_reload(self, step: Step) -> None:
        self._world.send_signal(self._pick_vm(step), signal.SIGHUP)

    def _fault_store(self, step: Step, fault: str) -> None:
        """Let the store misbehave for a while."""
        self._disturb("store", step.length)
        self._world.store.faults[""] = fault
        eventlet.sleep(step.length)
        self._world.store.faults.pop("", None)

    def _do_store_busy(self, step: Step) -> None:
        self._fault_store(step, "busy")

    def _do_store_reset(self, step: Step) -> None:
        self._fault_store(step, "reset")

    def _do_store_silent(self, step: Step) -> None:
        self._disturb("store", step.length)
        self._store_proxy.silent = "both"
        eventlet.sleep(step.length)
        self._store_proxy.silent = ""

    def _do_store_slow(self, step: Step) -> None:
        self._disturb("store", step.length)
        self._store_proxy.delay = 0.2
        eventlet.sleep(step.length)
        self._store_proxy.delay = 0.0

    def _do_store_forgets(self, step: Step) -> None:
        self._disturb("store", 0.1)
        self._world.store.compact()

    def _do_store_reset_connections(self, step: Step) -> None:
        self._disturb("store", 0.1)
        self._store_proxy.reset()

    def _do_target_silent(self, step: Step) -> None:
        proxy = self._proxies[self._pick_target(step)]
        proxy.silent = ("in", "out", "both")[int(step.choice * 1000) % 3]
        eventlet.sleep(step.length)
        proxy.silent = ""
        proxy.reset()

    def _do_target_slow(self, step: Step) -> None:
        faults = self._world.back_ends[self._pick_target(step)].spec.faults
        faults.work_factor = 30.0
        eventlet.sleep(step.length)
        faults.work_factor = 1.0

    def _do_target_spoils(self, step: Step) -> None:
        used = (*self._shards, "desk")
        found = [b for b in self._world.back_ends.values() if b.spec.service in used]
        for back_end in found:
            faults = back_end.spec.faults
            faults.extra_answer, faults.truncate, faults.omit_length = 0.05, 0.05, 0.05
            faults.drop_answer, faults.error = 0.03, 0.03
        eventlet.sleep(step.length)
        for back_end in found:
            faults = back_end.spec.faults
            faults.extra_answer = faults.truncate = faults.omit_length = 0.0
            faults.drop_answer = faults.error = 0.0

    def _do_target_sheds(self, step: Step) -> None:
        faults = self._world.back_ends[self._pick_target(step)].spec.faults
        faults.shed = 0.8
        eventlet.sleep(step.length)
        faults.shed = 0.0

    def _do_target_crashes(self, step: Step) -> None:
        name = self._pick_target(step)
        back_end = self._world.back_ends[name]
        back_end.stop()
        self._proxies[name].reset()
        eventlet.sleep(3.0)
        self._world.store.remove(f"servers/{name}")
        self._count += 1
        service = back_end.spec.service
        self._add_target(service, f"{name}r{self._count}", back_end.spec.zone)

    def _do_target_drains(self, step: Step) -> None:
        name = self._pick_target(step)
        back_end = self._world.back_ends[name]
        self._count += 1
        service = back_end.spec.service
        self._add_target(service, f"{name}n{self._count}", back_end.spec.zone)
        eventlet.sleep(0.5)
        self._drain(name)

    def _do_target_vanishes(self, step: Step) -> None:
        name = self._pick_target(step)
        back_end = self._world.back_ends[name]
        self._count += 1
        service = back_end.spec.service
        self._add_target(service, f"{name}v{self._count}", back_end.spec.zone)
        eventlet.sleep(0.5)
        self._record.leaving.setdefault(name, self._world.clock())
        back_end.deregister()

    def _do_reshard(self, step: Step) -> None:
        self._reshard()

    def _do_configure(self, step: Step) -> None:
        self._configure()

    def _check_recovery(self) -> None:
        """Check that every VM serves again after the last fault."""
        for name, vm in self._world.vms.items():
            caller = Caller(f"last-{name}", HOST, self._world.clock)
            until = self._world.clock() + RECOVERY_S
            while True:
                if self._world.vms[name].process.poll() is not None:
                    self._world.start(name)
                outcome = caller.call(vm.caller_address, "/search/x")
                if outcome.status == 200:
                    break
                if self._world.clock() > until:
                    self._unserved.append(f"{name} does not serve after the faults")
                    break
                eventlet.sleep(0.2)
            caller.close()

    def _end(self) -> None:
        """End all that was started."""
        for task in self._tasks:
            task.kill()
        self._world.stop()
        for proxy in (self._store_proxy, *self._proxies.values()):
            proxy.stop()
