"""A surge to ten times the queries within two seconds, beyond the targets' capacity.

The names of the aims call its highest phase the crest.
"""

from ..layouts import COUNTER_DESK
from ..load.measures import Measures
from ..load.runner import run_in_session
from ..load.scenario import Phase, Scenario
from ..session import Session
from .aim import Aim

WORK_MS = 40.0
TARGET_CAPACITY = (
    COUNTER_DESK.targets * COUNTER_DESK.slots / (WORK_MS / 1000)
)  # queries/s
BASE_RATE = 15.0
PHASES = (
    Phase(2.0, BASE_RATE, counted=False),
    Phase(4.0, BASE_RATE),
    Phase(2.0, BASE_RATE * 5, counted=False),
    Phase(5.0, BASE_RATE * 10),
    Phase(5.0, BASE_RATE, counted=False),
    Phase(4.0, BASE_RATE),
)


def start(session: Session) -> None:
    """Start slow targets, two VMs with adaptive admission and two without a limit."""
    session.start_targets([COUNTER_DESK], work_ms=WORK_MS)
    for vm, admission in (("ad-1", "adaptive"), ("ad-2", "adaptive")):
        session.start_daemon(vm, "dc1", admission=admission, log_level="warning")
    for vm in ("op-1", "op-2"):
        session.start_daemon(vm, "dc1", admission="open", log_level="warning")
    session.publish_layouts([COUNTER_DESK], "dc1")
    session.wait_ready(objects=61)


def run(session: Session, vms: list[str]) -> list[Measures]:
    """Run the surge through some VMs; return the measures before, in and after it."""
    scenario = Scenario("crest", work_ms=WORK_MS, phases=PHASES, deadline_ms=1000)
    return run_in_session(session, scenario, vms).phases


def measure(session: Session) -> list[Aim]:
    """Measure the surge with adaptive admission, and without as the baseline."""
    before, surge, afterwards = run(session, ["ad-1", "ad-2"])
    open_before, open_surge, open_after = run(session, ["op-1", "op-2"])
    served_ratio = surge.in_time_count / surge.seconds / TARGET_CAPACITY
    open_served_ratio = open_surge.in_time_count / open_surge.seconds / TARGET_CAPACITY
    refusal_p99_ms = surge.refusal_latency.get_value_at_percentile(99) / 1000
    other_errors = sum(n for code, n in surge.errors.items() if code != "overloaded")
    recovery_ratio = afterwards.percentile_ms(99) / before.percentile_ms(99)
    open_recovery_ratio = open_after.percentile_ms(99) / open_before.percentile_ms(99)
    name = "answered in time at the crest / what the targets serve"
    return [
        Aim(name, 0.9, served_ratio, open_served_ratio, at_most=False),
        Aim("p99 of the time to a refusal at the crest, ms", 10.0, refusal_p99_ms),
        Aim("failures at the crest other than early refusals", 0, other_errors),
        Aim(
            "p99 5 s after the crest / before it",
            1.3,
            recovery_ratio,
            open_recovery_ratio,
        ),
    ]
