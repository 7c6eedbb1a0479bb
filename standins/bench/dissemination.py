"""Time until every VM has a new ticket in force or knows that a target drains."""

import time

from ..layouts import COUNTER_DESK, make_target_change, plan_targets
from ..session import Session
from .aim import Aim

ROUNDS = 5
TICKET_BOUND_S = 9.0
DRAINING_BOUND_S = 3.0
POLL_INTERVAL_S = 0.005


def measure(session: Session) -> list[Aim]:
    """Measure both times and return the longest of some rounds for each."""
    ticket = max(time_ticket(session, n) for n in range(ROUNDS))
    draining = max(time_draining(session, n) for n in range(ROUNDS))
    return [
        Aim("time until a ticket is in force on every VM, s", TICKET_BOUND_S, ticket),
        Aim(
            "time until every VM knows a leaving target, s", DRAINING_BOUND_S, draining
        ),
    ]


def time_ticket(session: Session, number: int) -> float:
    """Publish a ticket; return the seconds until it is in force on every VM."""
    plan = plan_targets(COUNTER_DESK)[number]
    port = session.targets[plan.name].ready["port"]
    started_at = time.monotonic()
    ticket = session.publish([make_target_change(plan, port, f"round-{number}")])
    for caller in session.callers.values():
        while caller.get("/status").body["tickets"]["highest"] < ticket:
            time.sleep(POLL_INTERVAL_S)
    return time.monotonic() - started_at


def time_draining(session: Session, number: int) -> float:
    """Drain a target; return the seconds from one VM's knowledge until all know.

    Searches through the first VM make it notice that the target drains. Each round
    drains the first target of another service, so that the second one stays.
    """
    target = plan_targets(COUNTER_DESK)[2 * number].name
    path = f"/v1/targets/{target}"
    callers = list(session.callers.values())
    session.control(target, draining=True)
    while not callers[0].get(path).body["leaving"]:
        callers[0].post("/v1/search", {"index": "counter-desk", "query": {}})
    started_at = time.monotonic()
    for caller in callers:
        while not caller.get(path).body["leaving"]:
            time.sleep(POLL_INTERVAL_S)
    return time.monotonic() - started_at
