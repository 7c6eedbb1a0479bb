"""The promises, checked against what callers and back ends saw."""

from dataclasses import dataclass, field

from ..world.caller import Outcome, check_search
from ..world.cluster import Cluster

DRAIN_S = 3.0  # bounds of the settings that the world gives
APPLY_S = 3.0
CALM_S = 4.0  # a VM or store disturbed within this time is not held to bounds
BUDGET_RATIO = 0.2
BUDGET_SLACK = 54
BUDGET_WINDOW_S = 10.0
NOT_RUN = (408, 421, 429, 503)


@dataclass(slots=True)
class Disturbances:
    """When what was disturbed: the VM's name, or ``store``."""

    spans: list[tuple[str, float, float]] = field(default_factory=list)

    def is_calm(self, name: str, start: float, end: float) -> bool:
        """Tell whether something was undisturbed, with the time to settle."""
        return not any(
            who == name and begun < end and start < over + CALM_S
            for who, begun, over in self.spans
        )


@dataclass(slots=True)
class Record:
    """Everything that a soak saw.

    Parameters
    ----------
    searches, notes : list of Outcome
        Requests of callers, notes not idempotent.
    changes : list of (float, tuple of str)
        Times of configurations and their shards.
    leaving : dict of str to float
        Time at which each back end was seen leaving.
    """

    searches: list[Outcome] = field(default_factory=list)
    notes: list[Outcome] = field(default_factory=list)
    changes: list[tuple[float, tuple[str, ...]]] = field(default_factory=list)
    leaving: dict[str, float] = field(default_factory=dict)
    disturbed: Disturbances = field(default_factory=Disturbances)


def find_broken(world: Cluster, record: Record) -> list[str]:
    """Return each promise that was broken, in words."""
    return [
        *check_answers(world, record),
        *check_notes(world, record),
        *check_leaving(world, record),
        *check_configuration(world, record),
        *check_budget(world),
    ]


def check_answers(world: Cluster, record: Record) -> list[str]:
    """Own whole answers, from one configuration, with true coverage."""
    owners = {n: b.spec.service for n, b in world.back_ends.items()}
    broken = []
    for outcome in record.searches:
        if outcome.status == 200:
            sets = [shards for at, shards in record.changes if at <= outcome.ended_at]
            fault = check_search(outcome, sets, owners, 10)
            if fault:
                broken.append(f"search {outcome.attempt_id}: {fault}")
    return broken


def check_notes(world: Cluster, record: Record) -> list[str]:
    """At most once, and "not run" is true."""
    counts: dict[str, int] = {}
    for back_end in world.back_ends.values():
        for run in back_end.requests:
            if run.is_executed and run.method == "POST":
                counts[run.attempt_id] = counts.get(run.attempt_id, 0) + 1
    broken = []
    for outcome in record.notes:
        ran = counts.get(outcome.attempt_id, 0)
        if ran > 1:
            broken.append(f"note {outcome.attempt_id} ran {ran} times")
        if outcome.status in NOT_RUN and ran:
            broken.append(f"note {outcome.attempt_id} got {outcome.status} and ran")
        if outcome.status == 200 and not ran:
            broken.append(f"note {outcome.attempt_id} got 200 and did not run")
    return broken


def check_leaving(world: Cluster, record: Record) -> list[str]:
    """Leaving back ends get nothing new after the bound."""
    senders = {o.attempt_id: o for o in (*record.searches, *record.notes)}
    broken = []
    for name, since in record.leaving.items():
        for run in world.back_ends[name].requests:
            outcome = senders.get(run.attempt_id)
            if (
                outcome is None
                or run.received_at <= since + DRAIN_S
                or not run.is_executed
            ):
                continue
            if is_held(record, outcome, since):
                late = run.received_at - since
                broken.append(
                    f"{run.attempt_id} reached {name} {late:.2f} s after it left"
                )
    return broken


def check_configuration(world: Cluster, record: Record) -> list[str]:
    """Check that configurations are in force after the bound and never go back."""
    broken = []
    for outcome in record.searches:
        if outcome.status != 200:
            continue
        due = [c for c in record.changes if c[0] + APPLY_S < outcome.sent_at]
        if not due or not is_held(record, outcome, due[-1][0]):
            continue
        allowed = [c[1] for c in record.changes if c[0] >= due[-1][0]]
        owners = {n: b.spec.service for n, b in world.back_ends.items()}
        if check_search(outcome, allowed, owners, 10):
            broken.append(f"search {outcome.attempt_id} at an old configuration")
    return broken


def is_held(record: Record, outcome: Outcome, since: float) -> bool:
    """Tell whether the VM that answered was held to bounds of time."""
    calm = record.disturbed.is_calm
    return calm(outcome.vm_address, since, outcome.ended_at) and calm(
        "store", since, outcome.ended_at
    )


def check_budget(world: Cluster) -> list[str]:
    """Repeats keep within what all VMs together may send."""
    arrivals: dict[str, list[tuple[float, bool]]] = {}
    for back_end in world.back_ends.values():
        for run in back_end.requests:
            arrivals.setdefault(run.service, []).append(
                (run.received_at, run.attempt_id)
            )
    broken = []
    for service, found in arrivals.items():
        found.sort()
        seen: set[str] = set()
        marked = []
        for at, attempt in found:
            marked.append((at, attempt in seen))
            seen.add(attempt)
        for start, _ in marked[::10]:
            extra = sum(r for at, r in marked if start <= at < start + BUDGET_WINDOW_S)
            first = max(
                sum(
                    not repeat
                    for at, repeat in marked
                    if start - shift <= at < start - shift + BUDGET_WINDOW_S
                )
                for shift in (0.0, 5.0, 10.0)
            )
            if extra > BUDGET_RATIO * first + BUDGET_SLACK:
                broken.append(f"{service}: {extra} repeats for {first} requests")
                break
    return broken
