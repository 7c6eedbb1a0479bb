"""Checks of a ticket against the state in force, before it is published."""

from ..data import Change, Index, ObjectKey, Service, Target, Ticket
from .problem import TicketProblem
from .state_map import StateMap


def check_against_state(ticket: Ticket, state: StateMap) -> list[TicketProblem]:
    """Find what a well-formed ticket would break.

    Parameters
    ----------
    ticket : Ticket
        The ticket to be published.
    state : StateMap
        The state in force; it is not changed.

    Returns
    -------
    list of TicketProblem
        Every problem found.
    """
    problems = []
    after = {key: entry.state for key, entry in state.entries.items()}
    after.update({change.key: change.state for change in ticket.changes})
    for position, change in enumerate(ticket.changes):
        path = f"changes[{position}]"
        problems += _check_number(path, ticket.number, change, state)
        problems += _check_references(path, change, after)
        problems += _check_epoch(path, change, state, after)
    return problems


def _check_number(path: str, number: int, change: Change, state: StateMap) -> list:
    """Report a change that a newer ticket already beats."""
    known = state.entries.get(change.key)
    if known is None or known.number < number:
        return []
    message = f"{change.key} has ticket {known.number} in force; take a higher number"
    return [TicketProblem(path, message)]


def _check_references(path: str, change: Change, after: dict) -> list:
    """Report names of objects that would not exist."""
    missing = []
    if isinstance(change.state, Target):
        missing = [ObjectKey("service", change.state.service)]
    elif isinstance(change.state, Service):
        missing = [ObjectKey("index", change.state.index)]
    elif isinstance(change.state, Index):
        missing = [ObjectKey("service", name) for name in change.state.services]
    return [
        TicketProblem(path, f"names {key}, which would not exist")
        for key in missing
        if after.get(key) is None
    ]


def _check_epoch(path: str, change: Change, state: StateMap, after: dict) -> list:
    """Report new shard bounds without a new partition epoch."""
    known = state.entries.get(change.key)
    if known is None or not isinstance(known.state, Service):
        return []
    if not isinstance(change.state, Service):
        return []
    if change.state.shards == known.state.shards:
        return []
    key = ObjectKey("index", change.state.index)
    old = state.entries.get(key)
    new = after.get(key)
    if old is None or old.state is None or new is None:
        return []
    if new.epoch > old.state.epoch:
        return []
    message = f"changes the shards; raise the epoch of {key} in the same ticket"
    return [TicketProblem(path, message)]
