"""How fast tickets and word of leaving targets are in force on every VM."""

import time

from ..layouts import COUNTER_DESK, describe_target, plan_targets
from ..session import Session
from .aim import Aim

ROUNDS = 5
TICKET_BOUND_S = 9.0
LEAVING_BOUND_S = 3.0
POLL_S = 0.005


def measure(session: Session) -> list[Aim]:
    """Measure both on all VMs of a session."""
    ticket = max(time_ticket(session, n) for n in range(ROUNDS))
    leaving = max(time_leaving(session, n) for n in range(ROUNDS))
    return [
        Aim("time until a ticket is in force on every VM, s", TICKET_BOUND_S, ticket),
        Aim("time until every VM knows a leaving target, s", LEAVING_BOUND_S, leaving),
    ]


def time_ticket(session: Session, number: int) -> float:
    """Return the seconds until a ticket is in force everywhere."""
    plan = plan_targets(COUNTER_DESK)[number]
    port = session.targets[plan.name].ready["port"]
    started = time.monotonic()
    ticket = session.publish([describe_target(plan, port, f"round-{number}")])
    for caller in session.callers.values():
        while caller.get("/status").body["tickets"]["highest"] < ticket:
            time.sleep(POLL_S)
    return time.monotonic() - started


def time_leaving(session: Session, number: int) -> float:
    """Return the seconds from one VM's sight of a leaving target until all know.

    The targets are those whose siblings stay, and the first VM is made to see it.
    """
    target = plan_targets(COUNTER_DESK)[2 * number].name
    path = f"/v1/targets/{target}"
    callers = list(session.callers.values())
    session.control(target, draining=True)
    while not callers[0].get(path).body["leaving"]:
        callers[0].post("/v1/search", {"index": "counter-desk", "query": {}})
    started = time.monotonic()
    for caller in callers:
        while not caller.get(path).body["leaving"]:
            time.sleep(POLL_S)
    return time.monotonic() - started
