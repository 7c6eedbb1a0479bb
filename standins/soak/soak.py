"""Run of a soak test: cluster, callers, the steps of a plan and the checks."""

import signal
from dataclasses import replace
from pathlib import Path

import eventlet

from ..world.back_end import BackEndSpec
from ..world.caller import Caller
from ..world.cluster import HOST, Cluster, make_desk_route, make_search_route
from ..world.store import StoreCopy
from ..world.vm_process import measure_earliest_handler
from .checks import Observations, check_misdirected, find_violations
from .life_steps import LifeSteps
from .plan import FAULT_PHASE_S, SHARD_COUNT, VM_COUNT, Step, draw_plan, select_name
from .process_checks import check_processes, check_stops, find_peak
from .proxy import FaultProxy

CALLER_COUNT = 6
CALLER_PAUSE_S = 0.08  # between two requests of a caller
TRAFFIC_S = FAULT_PHASE_S + 9.0  # leaves time to recover from the last step
RECOVERY_TIMEOUT_S = 12.0  # for each VM to serve again after the traffic
RESTART_DELAY_S = 0.3  # from the exit of a VM's process to its next start
DESK_COUNT = 3
OBSERVE_INTERVAL_S = 0.2  # between two looks at the VMs' processes
COPY_INTERVAL_S = 0.5  # between two copies of the store
COPY_AGE_S = (1.0, 12.0)  # of the copy from which the store comes back
AWAY_S = (0.1, 3.0)  # for which it is away then
ENDLESS_S = (2.0, 6.0)  # for which the store sends without end
LIMIT_S = 6.0  # shortest time for which targets name a limit
LEAVING_S = 6.0  # from a target's own word to that of the store; twice the drain limit
REUSE_AFTER_S = 2.0  # from the end of a target to the reuse of its address
OLD_RECORD_S = (6.0, 12.0)  # for which the record of that target stays
ZONES = ("north", "south")


class Soak:
    """Runs the plan of one seed.

    Parameters
    ----------
    seed : int
        Seed of the plan, the back ends and the callers.
    folder : Path
        Folder for the settings and logs of the VMs.
    """

    def __init__(self, seed: int, folder: Path):
        self._plan = draw_plan(seed)
        self._cluster = Cluster(folder, seed)
        self._observations = Observations()
        self._store_proxy = FaultProxy(self._cluster.store.address)
        self._proxies: dict[str, FaultProxy] = {}
        self._last_suffix = 0
        self._shards: tuple[str, ...] = ()
        self._tasks: list = []
        self._copies: list[tuple[float, StoreCopy]] = []  # oldest first
        self._stopping = False
        self._unrecovered: list[str] = []
        self._life: LifeSteps | None = None
        self._earliest_s = 0.0
        self.early_ends: list[str] = []  # by signals that no program could handle
        self.peak_bytes = 0  # largest memory of a VM's process

    def describe(self) -> list[str]:
        """Return a line for each step of the plan."""
        return [step.describe() for step in self._plan]

    def run(self) -> list[str]:
        """Run the plan and return a line for each violation of a guarantee."""
        try:
            self._set_up()
            self._run_plan()
            late = check_stops(self._cluster)
            self.peak_bytes = find_peak(self._cluster)
            own_ends, self.early_ends = check_processes(self._cluster, self._earliest_s)
            return [
                *own_ends,
                *late,
                *self._life.violations,
                *find_violations(self._cluster, self._observations),
                *check_misdirected(self._cluster, CALLER_COUNT),
                *self._unrecovered,
            ]
        finally:
            self._stop_all()

    def _set_up(self) -> None:
        """Start back ends and VMs, and wait until the VMs are ready."""
        for number in range(DESK_COUNT):
            self._add_target("desk", f"desk-{number}", ZONES[number % 2])
        self._reshard()
        self._cluster.add_vms(VM_COUNT, self._store_proxy.address)
        self._life = LifeSteps(self._cluster, self._record_disturbance)
        self._earliest_s = measure_earliest_handler()
        self._tasks.append(eventlet.spawn(self._observe_processes))
        self._tasks.append(eventlet.spawn(self._take_copies))
        self._cluster.start_all()

    def _take_copies(self) -> None:
        """Copy the store at intervals, for the steps that restore it."""
        while True:
            self._copies.append(
                (self._cluster.clock(), self._cluster.store.take_copy())
            )
            eventlet.sleep(COPY_INTERVAL_S)

    def _observe_processes(self) -> None:
        """Read the memory and the ends of the VMs' processes at intervals."""
        while True:
            for vm in self._cluster.vms.values():
                for process in vm.processes:
                    process.observe()
            eventlet.sleep(OBSERVE_INTERVAL_S)

    def _add_target(self, service: str, name: str, zone: str, port: int = 0) -> None:
        """Start a back end that registers with the address of its own proxy.

        The proxy listens on a given port, or on a free one.
        """
        cluster = self._cluster
        back_end = cluster.add_back_end(BackEndSpec(name, service, zone))
        proxy = FaultProxy(("127.0.0.1", back_end.port), port)
        self._proxies[name] = proxy
        back_end.advertise(proxy.address)

    def _reshard(self) -> None:
        """Start and configure new shards; drain the old ones four seconds later."""
        self._last_suffix += 1
        old_names = [
            n for n, b in self._cluster.back_ends.items() if b.spec.service != "desk"
        ]
        self._shards = tuple(f"g{self._last_suffix}s{n}" for n in range(SHARD_COUNT))
        for service in self._shards:
            for replica in range(2):
                self._add_target(service, f"{service}-{replica}", ZONES[replica])
        self._configure()
        if old_names:
            self._tasks.append(eventlet.spawn_after(4.0, self._drain_all, old_names))

    def _drain_all(self, names: list[str]) -> None:
        """Register back ends as draining."""
        for name in names:
            self._drain(name)

    def _drain(self, name: str) -> None:
        """Register a back end as draining; it keeps running."""
        self._observations.draining_since.setdefault(name, self._cluster.clock())
        self._cluster.back_ends[name].register("draining")

    def _configure(self) -> None:
        """Write a configuration with the current shards to the store."""
        routes = [make_search_route(self._shards), make_desk_route()]
        self._cluster.configure(routes, [*self._shards, "desk"])
        self._observations.configurations.append((self._cluster.clock(), self._shards))

    def _run_plan(self) -> None:
        """Run the callers and the steps, then check that the VMs recover."""
        started = self._cluster.clock()
        callers = [
            eventlet.spawn(self._run_caller, number) for number in range(CALLER_COUNT)
        ]
        for step in self._plan:
            eventlet.sleep(max(0.0, started + step.starts_at - self._cluster.clock()))
            self._tasks.append(eventlet.spawn(self._run_step, step))
        eventlet.sleep(max(0.0, started + TRAFFIC_S - self._cluster.clock()))
        self._stopping = True
        for caller in callers:
            caller.wait()
        self._check_recovery()

    def _run_caller(self, number: int) -> None:
        """Send searches and notes until the traffic stops.

        The caller changes to another VM after a failed request.
        """
        cluster = self._cluster
        caller = Caller(f"c{number}", HOST, cluster.clock)
        vms = list(cluster.vms.values())
        rng = cluster.rng
        vm = vms[number % len(vms)]
        while not self._stopping:
            abandon_after = rng.uniform(0.01, 0.2) if rng.random() < 0.05 else None
            if rng.random() < 0.7:
                outcome = caller.call(
                    vm.caller_address, "/search/x", abandon_after=abandon_after
                )
                self._observations.searches.append(outcome)
            else:
                outcome = caller.call(
                    vm.caller_address, "/desk/note", method="POST", body=b"note"
                )
                self._observations.notes.append(outcome)
            if outcome.status != 200:
                vm = rng.choice(vms)
            eventlet.sleep(CALLER_PAUSE_S)
        caller.close()

    def _run_step(self, step: Step) -> None:
        """Run the method for the kind of a step."""
        if hasattr(self._life, f"do_{step.kind}"):
            self._life.run(step)
        else:
            getattr(self, f"_do_{step.kind}")(step)

    def _record_disturbance(self, name: str, duration_s: float) -> None:
        """Record that a VM or the store is disturbed from now on."""
        now = self._cluster.clock()
        vm = self._cluster.vms.get(name)
        disturbed_name = f"{vm.host}:{vm.ports[0]}" if vm else name
        self._observations.disturbances.spans.append(
            (disturbed_name, now, now + duration_s)
        )

    def _pick_vm(self, step: Step) -> str:
        """Return the name of the VM that a step selects."""
        return select_name(list(self._cluster.vms), step.choice)

    def _pick_target(self, step: Step) -> str:
        """Return the name of the back end that a step selects among those in use."""
        services_in_use = (*self._shards, "desk")
        names = [
            n
            for n, b in self._cluster.back_ends.items()
            if b.spec.service in services_in_use
        ]
        return select_name(names, step.choice)

    def _restart(self, name: str) -> None:
        """Start a VM again after its process exits, unless the traffic has stopped."""
        self._cluster.wait_exit(name, 10.0)
        eventlet.sleep(RESTART_DELAY_S)
        if not self._stopping:
            self._cluster.start(name)

    def _do_kill(self, step: Step) -> None:
        name = self._pick_vm(step)
        self._record_disturbance(name, 3.0)
        self._cluster.send_signal(name, signal.SIGKILL)
        self._restart(name)

    def _do_kill_all(self, step: Step) -> None:
        for name in self._cluster.vms:
            self._record_disturbance(name, 4.0)
            self._cluster.send_signal(name, signal.SIGKILL)
        for name in self._cluster.vms:
            self._restart(name)

    def _do_pause(self, step: Step) -> None:
        name = self._pick_vm(step)
        self._record_disturbance(name, step.duration_s)
        process = self._cluster.vms[name].processes[-1]
        process.send(signal.SIGSTOP)
        eventlet.sleep(step.duration_s)
        process.send(signal.SIGCONT)

    def _do_stop(self, step: Step) -> None:
        name = self._pick_vm(step)
        self._record_disturbance(name, 9.0)
        self._cluster.send_signal(name, signal.SIGTERM)
        self._restart(name)

    def _do_reload(self, step: Step) -> None:
        self._cluster.send_signal(self._pick_vm(step), signal.SIGHUP)

    def _inject_store_fault(self, step: Step, fault: str) -> None:
        """Inject a fault into the store for the duration of a step."""
        self._record_disturbance("store", step.duration_s)
        self._cluster.store.faults[""] = fault
        eventlet.sleep(step.duration_s)
        self._cluster.store.faults.pop("", None)

    def _do_store_busy(self, step: Step) -> None:
        self._inject_store_fault(step, "busy")

    def _do_store_reset(self, step: Step) -> None:
        self._inject_store_fault(step, "reset")

    def _do_store_stalls(self, step: Step) -> None:
        self._store_proxy.reset()
        self._inject_store_fault(step, "half")

    def _do_store_sends_without_end(self, step: Step) -> None:
        self._store_proxy.reset()
        longer_step = replace(step, duration_s=step.spread(*ENDLESS_S))
        self._inject_store_fault(longer_step, "endless")

    def _do_store_silent(self, step: Step) -> None:
        self._record_disturbance("store", step.duration_s)
        self._store_proxy.dropped_direction = "both"
        eventlet.sleep(step.duration_s)
        self._store_proxy.dropped_direction = ""

    def _do_store_slow(self, step: Step) -> None:
        self._record_disturbance("store", step.duration_s)
        self._store_proxy.delay_s = 0.2
        eventlet.sleep(step.duration_s)
        self._store_proxy.delay_s = 0.0

    def _do_store_compacts(self, step: Step) -> None:
        self._record_disturbance("store", 0.1)
        self._cluster.store.compact()

    def _do_store_restored(self, step: Step) -> None:
        """Restore the store from the newest copy that has at least an age."""
        taken_before = self._cluster.clock() - step.spread(*COPY_AGE_S)
        copy = self._copies[0][1]
        for taken_at, newer_copy in self._copies:
            if taken_at <= taken_before:
                copy = newer_copy
        away_s = step.spread(*AWAY_S)
        self._record_disturbance("store", away_s)
        self._cluster.restore_store(copy, away_s)

    def _do_store_reset_connections(self, step: Step) -> None:
        self._record_disturbance("store", 0.1)
        self._store_proxy.reset()

    def _do_target_silent(self, step: Step) -> None:
        name = self._pick_target(step)
        self._record_disturbance(name, step.duration_s)
        proxy = self._proxies[name]
        proxy.dropped_direction = ("in", "out", "both")[int(step.choice * 1000) % 3]
        eventlet.sleep(step.duration_s)
        proxy.dropped_direction = ""
        proxy.reset()

    def _do_target_slow(self, step: Step) -> None:
        faults = self._cluster.back_ends[self._pick_target(step)].spec.faults
        faults.work_factor = 30.0
        eventlet.sleep(step.duration_s)
        faults.work_factor = 1.0

    def _do_targets_answer_wrongly(self, step: Step) -> None:
        services_in_use = (*self._shards, "desk")
        back_ends = [
            b
            for b in self._cluster.back_ends.values()
            if b.spec.service in services_in_use
        ]
        for back_end in back_ends:
            faults = back_end.spec.faults
            faults.extra_answer, faults.truncate, faults.omit_length = 0.05, 0.05, 0.05
            faults.drop_answer, faults.error = 0.03, 0.03
            faults.cut_head = faults.cut_body = faults.send_interim = 0.03
            faults.spoil = 0.2
        eventlet.sleep(step.duration_s)
        for back_end in back_ends:
            faults = back_end.spec.faults
            faults.extra_answer = faults.truncate = faults.omit_length = 0.0
            faults.drop_answer = faults.error = 0.0
            faults.cut_head = faults.cut_body = faults.send_interim = 0.0
            faults.spoil = 0.0

    def _do_target_stalls(self, step: Step) -> None:
        faults = self._cluster.back_ends[self._pick_target(step)].spec.faults
        faults.half = 0.5
        eventlet.sleep(step.duration_s)
        faults.half = 0.0

    def _do_target_sends_without_end(self, step: Step) -> None:
        faults = self._cluster.back_ends[self._pick_target(step)].spec.faults
        faults.endless = 0.2
        eventlet.sleep(step.duration_s)
        faults.endless = 0.0

    def _do_target_sheds(self, step: Step) -> None:
        faults = self._cluster.back_ends[self._pick_target(step)].spec.faults
        faults.shed = 0.8
        eventlet.sleep(step.duration_s)
        faults.shed = 0.0

    def _do_targets_name_limits(self, step: Step) -> None:
        names = [self._pick_target(step), *(f"desk-{n}" for n in range(DESK_COUNT))]
        back_ends = [self._cluster.back_ends[name] for name in names]
        for back_end in back_ends:
            back_end.spec.faults.rate_limit = 0.5 + 8.0 * step.choice
        eventlet.sleep(LIMIT_S + step.duration_s)
        for back_end in back_ends:
            back_end.spec.faults.rate_limit = None

    def _do_target_leaves(self, step: Step) -> None:
        """Let a target say that it leaves, long before the store says so."""
        name = self._pick_target(step)
        back_end = self._cluster.back_ends[name]
        self._last_suffix += 1
        service = back_end.spec.service
        self._add_target(service, f"{name}l{self._last_suffix}", back_end.spec.zone)
        eventlet.sleep(0.5)
        back_end.spec.faults.leaving = True
        eventlet.sleep(LEAVING_S)
        self._drain(name)

    def _do_targets_pause(self, step: Step) -> None:
        """Let targets refuse requests and name a time, for longer than that time.

        All targets for notes are among them, so that no other one can serve.
        """
        names = [self._pick_target(step), *(f"desk-{n}" for n in range(DESK_COUNT))]
        all_faults = [self._cluster.back_ends[name].spec.faults for name in names]
        pause_s = 1.0 + 3.0 * step.choice
        for faults in all_faults:
            faults.pause_s = pause_s
        eventlet.sleep(pause_s + step.duration_s)
        for faults in all_faults:
            faults.pause_s = None

    def _do_target_crashes(self, step: Step) -> None:
        name = self._pick_target(step)
        back_end = self._cluster.back_ends[name]
        back_end.stop()
        self._proxies[name].reset()
        eventlet.sleep(3.0)
        self._cluster.store.remove(f"servers/{name}")
        self._last_suffix += 1
        service = back_end.spec.service
        self._add_target(service, f"{name}r{self._last_suffix}", back_end.spec.zone)

    def _do_address_reused(self, step: Step) -> None:
        """Let a target end unseen; a target of another service gets its address."""
        name = self._pick_target(step)
        back_end = self._cluster.back_ends[name]
        if back_end.is_stopped:
            return  # its address may have another owner already
        service, zone = back_end.spec.service, back_end.spec.zone
        address = self._proxies[name].address
        back_end.stop()
        self._proxies[name].stop()
        eventlet.sleep(REUSE_AFTER_S)
        others = [s for s in (*self._shards, "desk") if s != service]
        self._last_suffix += 1
        new_name = f"{name}u{self._last_suffix}"
        self._add_target(select_name(others, step.choice), new_name, zone, address[1])
        self._add_target(service, f"{name}r{self._last_suffix}", zone)
        eventlet.sleep(step.spread(*OLD_RECORD_S))
        self._cluster.store.remove(f"servers/{name}")

    def _do_target_drains(self, step: Step) -> None:
        name = self._pick_target(step)
        back_end = self._cluster.back_ends[name]
        self._last_suffix += 1
        service = back_end.spec.service
        self._add_target(service, f"{name}n{self._last_suffix}", back_end.spec.zone)
        eventlet.sleep(0.5)
        self._drain(name)

    def _do_target_deregisters(self, step: Step) -> None:
        name = self._pick_target(step)
        back_end = self._cluster.back_ends[name]
        self._last_suffix += 1
        service = back_end.spec.service
        self._add_target(service, f"{name}v{self._last_suffix}", back_end.spec.zone)
        eventlet.sleep(0.5)
        self._observations.draining_since.setdefault(name, self._cluster.clock())
        back_end.deregister()

    def _do_reshard(self, step: Step) -> None:
        self._reshard()

    def _do_configure(self, step: Step) -> None:
        self._configure()

    def _check_recovery(self) -> None:
        """Record the VMs that do not serve a search again in time after the traffic."""
        for name, vm in self._cluster.vms.items():
            caller = Caller(f"last-{name}", HOST, self._cluster.clock)
            deadline = self._cluster.clock() + RECOVERY_TIMEOUT_S
            while True:
                if self._cluster.vms[name].process.poll() is not None:
                    self._cluster.start(name)
                outcome = caller.call(vm.caller_address, "/search/x")
                if outcome.status == 200:
                    break
                if self._cluster.clock() > deadline:
                    self._unrecovered.append(
                        f"{name} does not serve after the last fault"
                    )
                    break
                eventlet.sleep(0.2)
            caller.close()

    def _stop_all(self) -> None:
        """Stop the steps, the cluster and the proxies."""
        for task in self._tasks:
            task.kill()
        if self._life is not None:
            self._life.stop()
        self._cluster.stop()
        for proxy in (self._store_proxy, *self._proxies.values()):
            proxy.stop()
