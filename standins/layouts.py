"""Tickets for the services of both users, in the sizes of the brief."""

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
    """A family of services of one shape."""

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
    """A target that is to be started."""

    name: str
    service: str
    layout: ServiceLayout


def plan_targets(layout: ServiceLayout) -> list[TargetPlan]:
    """Return the targets of a family of services."""
    return [
        TargetPlan(f"{service}.{number}", service, layout)
        for service in layout.names()
        for number in range(1, layout.targets + 1)
    ]


def split_key_space(count: int) -> list[list[int]]:
    """Return equal shards of the key space."""
    step = KEY_SPACE // count
    bounds = [number * step for number in range(count)] + [KEY_SPACE]
    return [[bounds[i], bounds[i + 1]] for i in range(count)]


def make_layout_changes(layout: ServiceLayout, epoch: int = 1, shards: int = 1) -> list:
    """Return the changes that create the index and services of a family."""
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
    """Return the change that creates a target."""
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
    """Return a family with fewer services."""
    return replace(layout, count=count)
