"""Checks of the daemon's guarantees against what callers and back ends recorded."""

from collections import Counter
from dataclasses import dataclass, field

from ..world.back_end import make_body
from ..world.caller import Outcome, check_search
from ..world.cluster import Cluster

# The bounds equal those of the settings template in `cluster`.
TARGET_DRAIN_S = 3.0
CONFIG_APPLY_S = 3.0
SETTLE_S = 4.0  # time bounds do not apply until so long after a disturbance
RETRY_BUDGET_RATIO = 0.2
RETRY_BUDGET_SLACK = 54
RETRY_WINDOW_S = 10.0
LIMIT_WINDOW_S = 4.0
LIMIT_EXCESS_RATIO = 1.5  # what a back end tolerates, relative to the limit it names
LIMIT_EXCESS_REQUESTS = 5  # further requests that it tolerates in each window
PAUSE_GRACE_S = 0.5  # in which requests that were on their way may still arrive
MAX_PAUSED_REQUESTS = 2  # from one VM in the rest of the time that was named
STATUSES = range(100, 600)
NOT_EXECUTED_STATUSES = (408, 421, 429, 503)  # promise that a request did not run


@dataclass(slots=True)
class Disturbances:
    """Periods in which VMs or the store were disturbed.

    Parameters
    ----------
    spans : list of (str, float, float)
        Address of a VM, or ``"store"``, with the start and end in seconds.
    """

    spans: list[tuple[str, float, float]] = field(default_factory=list)

    def has_overlap(self, name: str, start: float, end: float) -> bool:
        """Return True if a disturbance of a name lies in a time, even in part."""
        return any(
            who == name and begun < end and start < over
            for who, begun, over in self.spans
        )

    def is_undisturbed(self, name: str, start: float, end: float) -> bool:
        """Return True if no disturbance of a name, with `SETTLE_S` added, overlaps."""
        return not any(
            who == name and begun < end and start < over + SETTLE_S
            for who, begun, over in self.spans
        )


@dataclass(slots=True)
class Observations:
    """What a soak test recorded for its checks.

    Parameters
    ----------
    searches, notes : list of Outcome
        Results of idempotent searches and of notes, which are not idempotent.
    configurations : list of (float, tuple of str)
        Time of each configuration and its shards, oldest first.
    draining_since : dict of str to float
        Time at which each back end started draining or deregistered.
    disturbances : Disturbances
        Periods in which time bounds do not apply.
    """

    searches: list[Outcome] = field(default_factory=list)
    notes: list[Outcome] = field(default_factory=list)
    configurations: list[tuple[float, tuple[str, ...]]] = field(default_factory=list)
    draining_since: dict[str, float] = field(default_factory=dict)
    disturbances: Disturbances = field(default_factory=Disturbances)


def find_violations(cluster: Cluster, observations: Observations) -> list[str]:
    """Return a line for each violation of a guarantee."""
    return [
        *check_answers(cluster, observations),
        *check_executions(cluster, observations),
        *check_draining(cluster, observations),
        *check_configuration(cluster, observations),
        *check_retry_budget(cluster),
        *check_named_limits(cluster),
        *check_leaving(cluster, observations),
        *check_pauses(cluster, observations),
    ]


def check_answers(cluster: Cluster, observations: Observations) -> list[str]:
    """Check that successful requests have complete answers of their own.

    All parts of a search must come from one configuration, and the number of missing
    parts must be correct. The status of each answer must be one of HTTP.
    """
    service_by_back_end = {n: b.spec.service for n, b in cluster.back_ends.items()}
    violations = []
    for outcome in observations.searches:
        if outcome.status == 200:
            shard_sets = [
                shards
                for at, shards in observations.configurations
                if at <= outcome.ended_at
            ]
            problem = check_search(outcome, shard_sets, service_by_back_end, 10)
            if problem:
                violations.append(f"search {outcome.attempt_id}: {problem}")
    violations += [
        f"note {outcome.attempt_id}: the body is not the whole one of its own answer"
        for outcome in observations.notes
        if outcome.status == 200
        and outcome.answer.body != make_body("desk", outcome.attempt_id)
    ]
    violations += [
        f"{outcome.attempt_id}: the status {outcome.status} is none of HTTP"
        for outcome in (*observations.searches, *observations.notes)
        if outcome.answer is not None and outcome.status not in STATUSES
    ]
    return violations


def check_executions(cluster: Cluster, observations: Observations) -> list[str]:
    """Check that notes are executed at most once and that statuses tell the truth."""
    execution_counts: dict[str, int] = {}
    for back_end in cluster.back_ends.values():
        for request in back_end.requests:
            if request.is_executed and request.method == "POST":
                execution_counts[request.attempt_id] = (
                    execution_counts.get(request.attempt_id, 0) + 1
                )
    violations = []
    for outcome in observations.notes:
        execution_count = execution_counts.get(outcome.attempt_id, 0)
        if execution_count > 1:
            violations.append(f"note {outcome.attempt_id} ran {execution_count} times")
        if outcome.status in NOT_EXECUTED_STATUSES and execution_count:
            violations.append(f"note {outcome.attempt_id} got {outcome.status} and ran")
        if outcome.status == 200 and not execution_count:
            violations.append(f"note {outcome.attempt_id} got 200 and did not run")
    return violations


def check_draining(cluster: Cluster, observations: Observations) -> list[str]:
    """Check that draining back ends get no new requests after `TARGET_DRAIN_S`."""
    outcomes = {o.attempt_id: o for o in (*observations.searches, *observations.notes)}
    violations = []
    for name, since in observations.draining_since.items():
        for request in cluster.back_ends[name].requests:
            outcome = outcomes.get(request.attempt_id)
            if (
                outcome is None
                or request.received_at <= since + TARGET_DRAIN_S
                or not request.is_executed
            ):
                continue
            if must_meet_time_bounds(observations, outcome, since):
                delay_s = request.received_at - since
                violations.append(
                    f"{request.attempt_id} reached {name} {delay_s:.2f} s "
                    "after it started draining"
                )
    return violations


def check_configuration(cluster: Cluster, observations: Observations) -> list[str]:
    """Check that VMs apply configurations in time and never return to an older one."""
    violations = []
    for outcome in observations.searches:
        if outcome.status != 200:
            continue
        overdue = [
            c
            for c in observations.configurations
            if c[0] + CONFIG_APPLY_S < outcome.sent_at
        ]
        if not overdue or not must_meet_time_bounds(
            observations, outcome, overdue[-1][0]
        ):
            continue
        allowed = [c[1] for c in observations.configurations if c[0] >= overdue[-1][0]]
        service_by_back_end = {n: b.spec.service for n, b in cluster.back_ends.items()}
        if check_search(outcome, allowed, service_by_back_end, 10):
            violations.append(
                f"search {outcome.attempt_id} was answered from an old configuration"
            )
    return violations


def must_meet_time_bounds(
    observations: Observations, outcome: Outcome, since: float
) -> bool:
    """Return True if time bounds apply to a request since a given time.

    They do not while the VM that answered or the store is disturbed.
    """
    is_undisturbed = observations.disturbances.is_undisturbed
    return is_undisturbed(
        outcome.vm_address, since, outcome.ended_at
    ) and is_undisturbed("store", since, outcome.ended_at)


def check_retry_budget(cluster: Cluster) -> list[str]:
    """Check that repeated sends keep within the retry budget of all VMs together."""
    arrivals: dict[str, list[tuple[float, bool]]] = {}
    for back_end in cluster.back_ends.values():
        for request in back_end.requests:
            arrivals.setdefault(request.service, []).append(
                (request.received_at, request.attempt_id)
            )
    violations = []
    for service, service_arrivals in arrivals.items():
        service_arrivals.sort()
        seen: set[str] = set()
        sends = []
        for at, attempt in service_arrivals:
            sends.append((at, attempt in seen))
            seen.add(attempt)
        for start, _ in sends[::10]:
            repeat_count = sum(
                r for at, r in sends if start <= at < start + RETRY_WINDOW_S
            )
            request_count = max(
                sum(
                    not repeat
                    for at, repeat in sends
                    if start - shift <= at < start - shift + RETRY_WINDOW_S
                )
                for shift in (0.0, 5.0, 10.0)
            )
            if repeat_count > RETRY_BUDGET_RATIO * request_count + RETRY_BUDGET_SLACK:
                violations.append(
                    f"{service}: {repeat_count} repeats for {request_count} requests"
                )
                break
    return violations


def check_misdirected(cluster: Cluster, caller_count: int) -> list[str]:
    """Check that VMs don't go on sending to an address that has another owner.

    Each process may send one request to learn of it, and each caller may have another
    one in progress at that time.
    """
    process_count = sum(len(vm.processes) for vm in cluster.vms.values())
    violations = []
    for name, back_end in cluster.back_ends.items():
        meant_for = Counter(request.expected for request in back_end.requests)
        for expected, count in meant_for.items():
            if expected not in ("", name) and count > process_count + caller_count:
                violations.append(
                    f"{name}: {count} requests meant for {expected}, "
                    f"{process_count} processes"
                )
    return violations


def check_named_limits(cluster: Cluster) -> list[str]:
    """Check that back ends that named a limit get no more requests than that allows.

    A limit applies `SETTLE_S` after the back end first named it, to all VMs together,
    also to those that are disturbed.
    """
    violations = []
    for name, back_end in cluster.back_ends.items():
        limited_since = None
        limited = []
        for request in back_end.requests:
            if request.rate_limit is None:
                limited_since = None
                continue
            if limited_since is None:
                limited_since = request.received_at
            if request.received_at >= limited_since + SETTLE_S:
                limited.append(request)
        for first in limited:
            end = first.received_at + LIMIT_WINDOW_S
            count = sum(first.received_at <= r.received_at < end for r in limited)
            allowed = LIMIT_EXCESS_RATIO * first.rate_limit * LIMIT_WINDOW_S
            if count > allowed + LIMIT_EXCESS_REQUESTS:
                violations.append(
                    f"{name} named {first.rate_limit:g} requests a second "
                    f"and got {count} in {LIMIT_WINDOW_S:g} s"
                )
                break
    return violations


def group_by_vm(requests: list, observations: Observations) -> dict[str, list]:
    """Return the requests that a back end received, by the address of the VM."""
    outcomes = {o.attempt_id: o for o in (*observations.searches, *observations.notes)}
    groups: dict[str, list] = {}
    for request in requests:
        outcome = outcomes.get(request.attempt_id)
        if outcome is not None:
            groups.setdefault(outcome.vm_address, []).append((request, outcome))
    return groups


def check_leaving(cluster: Cluster, observations: Observations) -> list[str]:
    """Check that VMs heed the answers in which back ends say that they leave.

    A request that was sent more than `TARGET_DRAIN_S` after the VM had passed such an
    answer on does not reach the back end, unless the VM was restarted or paused since.
    """
    violations = []
    for name, back_end in cluster.back_ends.items():
        for vm, sends in group_by_vm(back_end.requests, observations).items():
            passed_on_at = min(
                (
                    outcome.ended_at
                    for request, outcome in sends
                    if request.notice
                    and request.notice.leaving
                    and outcome.status == 200
                ),
                default=float("inf"),
            )
            for request, outcome in sends:
                if outcome.sent_at <= passed_on_at + TARGET_DRAIN_S:
                    continue
                if not observations.disturbances.has_overlap(
                    vm, passed_on_at, request.received_at
                ):
                    violations.append(
                        f"{request.attempt_id} reached {name}, which had left"
                    )
    return violations


def check_pauses(cluster: Cluster, observations: Observations) -> list[str]:
    """Check that VMs heed the times that back ends name in refusals.

    The last time named holds. A restart or pause of the VM and faults on the way to the
    back end excuse it.
    """
    has_overlap = observations.disturbances.has_overlap
    violations = []
    for name, back_end in cluster.back_ends.items():
        for vm, sends in group_by_vm(back_end.requests, observations).items():
            notices = [r.notice for r, _ in sends if r.notice and r.notice.pause_s]
            replaced_at = [notice.sent_at for notice in notices[1:]] + [float("inf")]
            for notice, limit in zip(notices, replaced_at, strict=False):
                start = notice.sent_at
                end = min(start + notice.pause_s, limit)
                if has_overlap(vm, start, end) or has_overlap(name, start, end):
                    continue
                count = sum(
                    start + PAUSE_GRACE_S < request.received_at < end
                    for request, _ in sends
                )
                if count > MAX_PAUSED_REQUESTS:
                    violations.append(
                        f"{name} got {count} requests from {vm} in the "
                        f"{notice.pause_s:.1f} s for which it wanted none"
                    )
    return violations
