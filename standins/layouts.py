"""The services of the two user teams, and the tickets that configure them.

Numbers of services, targets and connections are those of the users' requirements.
"""

from dataclasses import dataclass, replace

import orjson
from cassiastair.data import KEY_SPACE

KUUSEOKS_POLICY = {
    "deadline_ms": 1000,
    "hedge_budget": 0.05,
    "retry_budget": 0.3,
    "weight": 2,
}
SISAL_POLICY = {"deadline_ms": 500, "hedge_budget": 0.05, "hedge_quantile": 0.9}


@dataclass(frozen=True, slots=True)
class ServiceLayout:
    """The services of one index, which have the same size and policy.

    Parameters
    ----------
    index : str
        Name of the index, and of its only service if there is just one.
    count : int
        Number of services.
    targets : int
        Number of targets of each service.
    slots : int
        Requests that a target works on at the same time.
    connections : int
        Connections that a target accepts from all VMs together.
    connect_ms : float
        Time that a target takes to accept a connection.
    policy : dict
        Policy of each service, as in a ticket.
    """

    index: str
    count: int
    targets: int
    slots: int
    connections: int
    connect_ms: float
    policy: dict

    def names(self) -> list[str]:
        """Return the names of the services."""
        if self.count == 1:
            return [self.index]
        return [f"{self.index}-{number:02d}" for number in range(1, self.count + 1)]


COUNTER_DESK = ServiceLayout("counter-desk", 20, 2, 2, 25, 6.0, KUUSEOKS_POLICY)
BOOKING = ServiceLayout("booking", 30, 2, 2, 25, 6.0, KUUSEOKS_POLICY)
HANDOVER = ServiceLayout("handover", 1, 5, 3, 100, 1.0, KUUSEOKS_POLICY)
WATERING = ServiceLayout("watering-rota", 1, 3, 3, 100, 1.0, KUUSEOKS_POLICY)
LOT_LOOKUP = ServiceLayout("lot-lookup", 20, 2, 2, 25, 6.0, SISAL_POLICY)
BUYER_ORDERS = ServiceLayout("buyer-orders", 30, 2, 2, 25, 6.0, SISAL_POLICY)
MEMBER_RECORDS = ServiceLayout("member-records", 1, 5, 3, 40, 1.0, SISAL_POLICY)
FIBRE_PRICES = ServiceLayout("fibre-prices", 1, 4, 3, 40, 1.0, SISAL_POLICY)


@dataclass(frozen=True, slots=True)
class TargetPlan:
    """Name, service and layout of a target that a session starts."""

    name: str
    service: str
    layout: ServiceLayout


def plan_targets(layout: ServiceLayout) -> list[TargetPlan]:
    """Return the plans of all targets of a layout."""
    return [
        TargetPlan(f"{service}.{number}", service, layout)
        for service in layout.names()
        for number in range(1, layout.targets + 1)
    ]


def split_key_space(count: int) -> list[list[int]]:
    """Split the key space into ranges of equal length, each [start, end)."""
    step = KEY_SPACE // count
    bounds = [number * step for number in range(count)] + [KEY_SPACE]
    return [[bounds[i], bounds[i + 1]] for i in range(count)]


def make_layout_changes(layout: ServiceLayout, epoch: int = 1, shards: int = 1) -> list:
    """Return the changes of a ticket that create the index and its services."""
    changes = [
        {
            "object": f"index/{layout.index}",
            "state": {"epoch": epoch, "services": layout.names()},
        }
    ]
    for name in layout.names():
        state = {
            "index": layout.index,
            "shards": split_key_space(shards),
            "policy": layout.policy,
        }
        changes.append({"object": f"service/{name}", "state": state})
    return changes


def make_target_change(plan: TargetPlan, port: int, data_centre: str, **more) -> dict:
    """Return the change of a ticket that creates a target or replaces its state.

    Parameters
    ----------
    plan : TargetPlan
        The target.
    port : int
        TCP port of the target on the loopback address.
    data_centre : str
        Data centre of the target.
    **more
        Further fields of the state, such as ``leaving=True``.
    """
    state = {
        "service": plan.service,
        "data_centre": data_centre,
        "host": "127.0.0.1",
        "port": port,
        "ranges": [[0, KEY_SPACE]],
        "slots": plan.layout.slots,
        "connection_limit": plan.layout.connections,
        **more,
    }
    return {"object": f"target/{plan.name}", "state": state}


def encode_ticket(number: int, changes: list) -> str:
    """Return the JSON text of a ticket."""
    return orjson.dumps({"ticket": number, "changes": changes}).decode()


def shrink(layout: ServiceLayout, count: int) -> ServiceLayout:
    """Return a layout with another number of services."""
    return replace(layout, count=count)
