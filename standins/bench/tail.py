"""Tail latency while targets are slow, and while they report a false load.

VMs that choose targets by their own statistics are compared with VMs that choose at
random or by the targets' load reports.
"""

from dataclasses import dataclass

from ..layouts import COUNTER_DESK, make_layout_changes
from ..load.measures import Measures
from ..load.runner import run_in_session, select_targets
from ..load.scenario import Phase, Scenario
from ..session import Session
from .aim import Aim

RATE = 60.0  # queries per second over both VMs of a pair
WARM_UP_S = 2.0
EVIDENCE_VMS = ["ev-1", "ev-2"]
RANDOM_VMS = ["rnd-1", "rnd-2"]
REPORT_VMS = ["rep-1", "rep-2"]
NO_HEDGE_POLICY = {"hedge_quantile": 1.0}


@dataclass(frozen=True, slots=True)
class TailRun:
    """Measures of one run of searches, or of several comparable runs together."""

    measures: Measures
    extra_load: float

    @property
    def p99_ms(self) -> float:
        """99th percentile of the answers' latency in milliseconds."""
        return self.measures.percentile_ms(99)


def combine_runs(runs: list[TailRun]) -> TailRun:
    """Combine comparable runs, so that a percentile covers all their searches.

    The extra load of the result is the highest one of the runs.
    """
    measures = Measures()
    for run in runs:
        measures.latency.add(run.measures.latency)
    return TailRun(measures, max(run.extra_load for run in runs))


def start(session: Session) -> None:
    """Start one data centre with a pair of VMs for each way to choose targets."""
    session.start_targets([COUNTER_DESK], work_ms=5.0)
    for vms, choice in (
        (EVIDENCE_VMS, "evidence"),
        (RANDOM_VMS, "random"),
        (REPORT_VMS, "report"),
    ):
        admission = "adaptive" if choice == "evidence" else "open"
        for vm in vms:
            session.start_daemon(
                vm,
                "dc1",
                target_choice=choice,
                admission=admission,
                log_level="warning",
            )
    session.publish_layouts([COUNTER_DESK], "dc1")
    session.wait_ready(objects=61)


def search(session: Session, vms: list[str], seconds: float) -> TailRun:
    """Search at a constant rate, after a warm-up that is not counted."""
    phases = (Phase(WARM_UP_S, RATE, counted=False), Phase(seconds, RATE))
    scenario = Scenario("tail", phases=phases)
    result = run_in_session(session, scenario, vms)
    return TailRun(result.phases[0], result.extra_load)


def change_targets(session: Session, selector: str, **settings) -> None:
    """Change settings of the targets that a selector means."""
    for name in select_targets(session, selector):
        session.control(name, **settings)


def set_policy(session: Session, **policy) -> None:
    """Publish the services with changed policies and wait until all VMs have them."""
    changes = make_layout_changes(COUNTER_DESK)
    for item in changes:
        if item["object"].startswith("service/"):
            item["state"]["policy"] = {**COUNTER_DESK.policy, **policy}
    number = session.publish(changes)
    for caller in session.callers.values():
        session.wait_until(
            lambda caller=caller: (
                caller.get("/status").body["tickets"]["highest"] >= number
            )
        )


def measure_slow_targets(session: Session, seconds: float) -> list[Aim]:
    """Measure tail latency while two of the forty targets are ten times slower.

    Runs with and without slow targets alternate. The baseline chooses targets at
    random and sends no hedges.
    """
    healthy, slowed = [], []
    for _ in range(2):
        healthy.append(search(session, EVIDENCE_VMS, seconds))
        change_targets(session, "2", slow_factor=10.0)
        slowed.append(search(session, EVIDENCE_VMS, seconds))
        change_targets(session, "2", slow_factor=1.0)
    set_policy(session, **NO_HEDGE_POLICY)
    baseline_healthy = search(session, RANDOM_VMS, seconds / 2)
    change_targets(session, "2", slow_factor=10.0)
    baseline_slowed = search(session, RANDOM_VMS, seconds / 2)
    change_targets(session, "2", slow_factor=1.0)
    set_policy(session)
    ratio = combine_runs(slowed).p99_ms / combine_runs(healthy).p99_ms
    baseline_ratio = baseline_slowed.p99_ms / baseline_healthy.p99_ms
    extra = combine_runs(slowed).extra_load
    return [
        Aim(
            "p99 with 2 of 40 targets slowed 10x / healthy", 1.3, ratio, baseline_ratio
        ),
        Aim("extra load meanwhile, share", 0.05, extra, baseline_slowed.extra_load),
    ]


def measure_false_reports(session: Session, seconds: float) -> list[Aim]:
    """Measure tail latency while targets report a false load.

    The first target of each service reports no load, the second a high one. The
    baseline chooses targets by these reports.
    """
    with_true_reports, with_false_reports = [], []
    for _ in range(2):
        with_true_reports.append(search(session, EVIDENCE_VMS, seconds))
        set_reported_loads(session, 0.0, 9.0)
        with_false_reports.append(search(session, EVIDENCE_VMS, seconds))
        set_reported_loads(session, None, None)
    baseline_true = search(session, REPORT_VMS, seconds / 2)
    set_reported_loads(session, 0.0, 9.0)
    baseline_false = search(session, REPORT_VMS, seconds / 2)
    set_reported_loads(session, None, None)
    ratio = (
        combine_runs(with_false_reports).p99_ms / combine_runs(with_true_reports).p99_ms
    )
    baseline_ratio = baseline_false.p99_ms / baseline_true.p99_ms
    return [Aim("p99 with lying load reports / true ones", 1.1, ratio, baseline_ratio)]


def set_reported_loads(
    session: Session, first: float | None, second: float | None
) -> None:
    """Set the load that each service's first and second target report.

    None makes them report their true load.
    """
    for name in session.targets:
        load = first if name.endswith(".1") else second
        session.control(name, report_load=load)


def measure_connections(session: Session) -> list[Aim]:
    """Compare the connections that targets have from all VMs with their limit."""
    counts = [session.control(name)["counts"] for name in session.targets]
    highest = max(c.get("connections_highest", 0) for c in counts)
    refused = sum(c.get("connections_refused", 0) for c in counts)
    limit = COUNTER_DESK.connections
    return [
        Aim("highest connections of a target, over 6 VMs", limit, highest),
        Aim("connections refused at the limit", 0, refused),
    ]


def measure_lost_targets(session: Session, seconds: float) -> list[Aim]:
    """Measure the coverage after the first target of every service is killed."""
    for name in select_targets(session, "first"):
        session.targets[name].kill()
    phases = (Phase(seconds, RATE),)
    result = run_in_session(session, Scenario("losses", phases=phases), EVIDENCE_VMS)
    coverage = result.phases[0].to_dict()["coverage"]
    aim = "coverage with one target of every service lost"
    return [Aim(aim, 1.0, coverage, at_most=False)]
