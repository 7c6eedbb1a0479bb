"""Parser of tickets; a malformed one is rejected as a whole, with all its problems."""

import sys

import orjson

from ..data import (
    KEY_SPACE,
    Change,
    Index,
    KeyRange,
    ObjectKey,
    Policy,
    Service,
    Target,
    Ticket,
)
from ..data.object_key import KINDS
from .codec import POLICY_FIELDS, hash_entry
from .entry import ConfigEntry
from .fields import MAX_EXACT_INTEGER, FieldReader, is_name
from .problem import TicketProblem

MAX_TICKET_BYTES = 1_000_000  # the platform stores values of up to one megabyte
MAX_NESTING_DEPTH = 8  # levels; a valid ticket has seven

_interned_ranges: dict[tuple[KeyRange, ...], tuple[KeyRange, ...]] = {}
MAX_INTERNED_RANGES = 4096  # distinct range lists that targets share in memory


def parse_ticket(raw: bytes) -> tuple[Ticket | None, list[TicketProblem]]:
    """Parse a ticket.

    Parameters
    ----------
    raw : bytes
        JSON text of the ticket.

    Returns
    -------
    ticket : Ticket or None
        The ticket; None if it has any problem.
    problems : list of TicketProblem
        All problems found, in the order in which the fields are checked.
    """
    if len(raw) > MAX_TICKET_BYTES:
        message = f"is {len(raw)} bytes; the limit is {MAX_TICKET_BYTES}"
        return None, [TicketProblem("ticket", message)]
    try:
        document = orjson.loads(raw)
    except orjson.JSONDecodeError as error:
        return None, [TicketProblem("ticket", f"is not JSON: {error}")]
    if measure_depth(document) > MAX_NESTING_DEPTH:
        message = f"is nested deeper than {MAX_NESTING_DEPTH} levels"
        return None, [TicketProblem("ticket", message)]
    problems: list[TicketProblem] = []
    ticket = _read_ticket(document, problems)
    return (None, problems) if problems else (ticket, [])


def parse_entry(plain: object) -> ConfigEntry | None:
    """Parse an entry that a peer sent.

    Parameters
    ----------
    plain : list
        Kind, name, ticket number and JSON form of the state.

    Returns
    -------
    ConfigEntry or None
        The entry; None if it is malformed.
    """
    if not isinstance(plain, list) or len(plain) != 4:
        return None
    kind, name, number, state = plain
    raw = {"object": f"{kind}/{name}", "state": state}
    problems: list[TicketProblem] = []
    change = _read_change(raw, "entry", problems)
    if problems or type(number) is not int or not 0 < number <= MAX_EXACT_INTEGER:
        return None
    return make_entry(change, number)


def make_entry(change: Change, number: int) -> ConfigEntry:
    """Return the entry that results from a change of a ticket."""
    entry_hash = hash_entry(change.key, number, change.state)
    return ConfigEntry(change.key, number, change.state, entry_hash)


def measure_depth(value: object, limit: int = MAX_NESTING_DEPTH + 1) -> int:
    """Return the nesting depth of a JSON value, at most ``limit``."""
    if limit == 0 or not isinstance(value, (dict, list)):
        return 0
    children = value.values() if isinstance(value, dict) else value
    return 1 + max((measure_depth(child, limit - 1) for child in children), default=0)


def _read_ticket(document: object, problems: list[TicketProblem]) -> Ticket | None:
    """Return the ticket that a JSON document describes; None if it has problems."""
    if not isinstance(document, dict):
        problems.append(TicketProblem("ticket", "must be a JSON object"))
        return None
    reader = FieldReader(document, "", problems)
    reader.report_unknown({"ticket", "changes"})
    number = reader.integer("ticket", 1, MAX_EXACT_INTEGER)
    raw_changes = document.get("changes")
    if not isinstance(raw_changes, list) or not raw_changes:
        reader.report("changes", "must be a list of one or more changes")
        return None
    changes = []
    for position, raw in enumerate(raw_changes):
        changes.append(_read_change(raw, f"changes[{position}]", problems))
    _report_duplicates(changes, problems)
    if problems:
        return None
    return Ticket(number, tuple(changes))


def _report_duplicates(changes: list, problems: list[TicketProblem]) -> None:
    """Report each object that a ticket changes more than once."""
    seen = set()
    for position, change in enumerate(changes):
        if change is None:
            continue
        if change.key in seen:
            message = f"changes {change.key} a second time"
            problems.append(TicketProblem(f"changes[{position}]", message))
        seen.add(change.key)


def _read_change(raw: object, path: str, problems: list) -> Change | None:
    """Return the change that a JSON value describes; None if it is unreadable."""
    if not isinstance(raw, dict):
        problems.append(TicketProblem(path, "must be a JSON object"))
        return None
    reader = FieldReader(raw, path, problems)
    reader.report_unknown({"object", "state"})
    key = _read_key(raw.get("object"))
    if key is None:
        message = f"must be KIND/NAME with KIND one of {', '.join(KINDS)}"
        reader.report("object", message)
        return None
    if "state" not in raw:
        reader.report("state", "is missing; null removes the object")
        return None
    state = raw["state"]
    if state is None:
        return Change(key, None)
    if not isinstance(state, dict):
        reader.report("state", "must be a JSON object or null")
        return None
    read_state = {
        "index": _read_index,
        "service": _read_service,
        "target": _read_target,
    }
    inner = FieldReader(state, f"{path}.state", problems)
    return Change(key, read_state[key.kind](key.name, inner))


def _read_key(value: object) -> ObjectKey | None:
    """Return the key of an object written as KIND/NAME; None if it is malformed."""
    if not isinstance(value, str):
        return None
    kind, _, name = value.partition("/")
    if kind not in KINDS or not is_name(name):
        return None
    return ObjectKey(sys.intern(kind), sys.intern(name))


def _read_index(name: str, reader: FieldReader) -> Index:
    """Return the index whose state the reader holds."""
    reader.report_unknown({"epoch", "services"})
    epoch = reader.integer("epoch", 1, MAX_EXACT_INTEGER)
    return Index(name, epoch, reader.names("services"))


def _read_service(name: str, reader: FieldReader) -> Service:
    """Return the service whose state the reader holds."""
    reader.report_unknown({"index", "shards", "policy"})
    shards = reader.ranges("shards")
    if shards and not covers_key_space(shards):
        message = f"must cover every key from 0 to {KEY_SPACE} without a gap"
        reader.report("shards", message)
    policy = reader.raw.get("policy", {})
    if not isinstance(policy, dict):
        reader.report("policy", "must be a JSON object")
        policy = {}
    inner = FieldReader(policy, f"{reader.path}.policy", reader.problems)
    return Service(name, sys.intern(reader.name("index")), shards, _read_policy(inner))


def covers_key_space(shards: tuple[KeyRange, ...]) -> bool:
    """Return True if ranges in key order cover the key space without a gap."""
    position = 0
    for shard in shards:
        if shard.start != position:
            return False
        position = shard.end
    return position == KEY_SPACE


def _read_policy(reader: FieldReader) -> Policy:
    """Return the policy that the reader holds, with defaults for absent fields."""
    reader.report_unknown(set(POLICY_FIELDS))
    defaults = Policy()
    return Policy(
        deadline_ms=reader.integer("deadline_ms", 1, 60_000, defaults.deadline_ms),
        lowest_coverage=reader.number(
            "lowest_coverage", 0, 1, defaults.lowest_coverage
        ),
        hedge_quantile=reader.number("hedge_quantile", 0.5, 1, defaults.hedge_quantile),
        hedge_budget=reader.number("hedge_budget", 0, 1, defaults.hedge_budget),
        retry_budget=reader.number("retry_budget", 0, 1, defaults.retry_budget),
        weight=reader.integer("weight", 1, 1000, defaults.weight),
    )


def _read_target(name: str, reader: FieldReader) -> Target:
    """Return the target whose state the reader holds."""
    known = {
        "service",
        "data_centre",
        "host",
        "port",
        "ranges",
        "slots",
        "connection_limit",
        "leaving",
    }
    reader.report_unknown(known)
    return Target(
        name=name,
        service=sys.intern(reader.name("service")),
        data_centre=sys.intern(reader.name("data_centre")),
        host=sys.intern(reader.address("host")),
        port=reader.integer("port", 1, 65_535),
        ranges=_intern_ranges(reader.ranges("ranges")),
        slots=reader.integer("slots", 1, 10_000),
        connection_limit=reader.integer("connection_limit", 1, 100_000),
        draining=reader.flag("leaving"),
    )


def _intern_ranges(ranges: tuple[KeyRange, ...]) -> tuple[KeyRange, ...]:
    """Return the shared instance of an equal list of ranges."""
    if len(_interned_ranges) >= MAX_INTERNED_RANGES:
        _interned_ranges.clear()
    return _interned_ranges.setdefault(ranges, ranges)
