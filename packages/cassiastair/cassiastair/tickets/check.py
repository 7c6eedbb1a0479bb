"""Checks of a ticket against the state in force, made before it is published."""

from ..data import Change, Index, ObjectKey, Service, Target, Ticket
from .problem import TicketProblem
from .state_map import StateMap


def check_against_state(ticket: Ticket, state: StateMap) -> list[TicketProblem]:
    """Return the problems that a well-formed ticket would cause.

    Parameters
    ----------
    ticket : Ticket
        Ticket that is to be published.
    state : StateMap
        State in force; it is not modified.

    Returns
    -------
    list of TicketProblem
        All problems found; empty if the ticket may be published.
    """
    problems = []
    resulting_states = {key: entry.state for key, entry in state.entries.items()}
    resulting_states.update({change.key: change.state for change in ticket.changes})
    for position, change in enumerate(ticket.changes):
        path = f"changes[{position}]"
        problems += _check_number(path, ticket.number, change, state)
        problems += _check_references(path, change, resulting_states)
        problems += _check_epoch(path, change, state, resulting_states)
    return problems


def _check_number(path: str, number: int, change: Change, state: StateMap) -> list:
    """Report a change whose object has an equal or higher ticket number in force."""
    current = state.entries.get(change.key)
    if current is None or current.number < number:
        return []
    message = f"{change.key} has ticket {current.number} in force; take a higher number"
    return [TicketProblem(path, message)]


def _check_references(path: str, change: Change, resulting_states: dict) -> list:
    """Report references to objects that would not exist."""
    referenced_keys = []
    if isinstance(change.state, Target):
        referenced_keys = [ObjectKey("service", change.state.service)]
    elif isinstance(change.state, Service):
        referenced_keys = [ObjectKey("index", change.state.index)]
    elif isinstance(change.state, Index):
        referenced_keys = [ObjectKey("service", name) for name in change.state.services]
    return [
        TicketProblem(path, f"names {key}, which would not exist")
        for key in referenced_keys
        if resulting_states.get(key) is None
    ]


def _check_epoch(
    path: str, change: Change, state: StateMap, resulting_states: dict
) -> list:
    """Report changed shard bounds without a higher partition epoch."""
    current = state.entries.get(change.key)
    if current is None or not isinstance(current.state, Service):
        return []
    if not isinstance(change.state, Service):
        return []
    if change.state.shards == current.state.shards:
        return []
    index_key = ObjectKey("index", change.state.index)
    old_index = state.entries.get(index_key)
    new_index = resulting_states.get(index_key)
    if old_index is None or old_index.state is None or new_index is None:
        return []
    if new_index.epoch > old_index.state.epoch:
        return []
    message = f"changes the shards; raise the epoch of {index_key} in the same ticket"
    return [TicketProblem(path, message)]
