"""Numbered change tickets: reading, checking, merging, comparing."""

from .catalogue import Catalogue
from .check import check_against_state
from .codec import describe_state
from .digest import Digest
from .entry import Entry
from .parse import parse_entry, parse_ticket
from .problem import TicketProblem
from .state_map import StateMap

__all__ = [
    "Catalogue",
    "Digest",
    "Entry",
    "StateMap",
    "TicketProblem",
    "check_against_state",
    "describe_state",
    "parse_entry",
    "parse_ticket",
]
