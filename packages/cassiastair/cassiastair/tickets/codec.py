"""JSON form of the states of objects, as tickets and messages to peers hold it."""

import orjson
import xxhash

from ..data import Index, ObjectKey, Policy, Service, Target

POLICY_FIELDS = tuple(Policy.__dataclass_fields__)


def encode_state(state: Index | Service | Target | None) -> dict | None:
    """Return the JSON form of the state of an object; None for a removed object."""
    if state is None:
        return None
    if isinstance(state, Index):
        return {"epoch": state.epoch, "services": list(state.services)}
    if isinstance(state, Service):
        return encode_service(state)
    return encode_target(state)


def encode_service(service: Service) -> dict:
    """Return the JSON form of the state of a service."""
    policy = {name: getattr(service.policy, name) for name in POLICY_FIELDS}
    return {
        "index": service.index,
        "shards": [[part.start, part.end] for part in service.shards],
        "policy": policy,
    }


def encode_target(target: Target) -> dict:
    """Return the JSON form of the state of a target."""
    return {
        "service": target.service,
        "data_centre": target.data_centre,
        "host": target.host,
        "port": target.port,
        "ranges": [[part.start, part.end] for part in target.ranges],
        "slots": target.slots,
        "connection_limit": target.connection_limit,
        "leaving": target.draining,
    }


def hash_entry(key: ObjectKey, number: int, state: object) -> int:
    """Return the 64-bit hash of an entry, the same on all VMs."""
    plain = [key.kind, key.name, number, encode_state(state)]
    return xxhash.xxh3_64_intdigest(orjson.dumps(plain, option=orjson.OPT_SORT_KEYS))
