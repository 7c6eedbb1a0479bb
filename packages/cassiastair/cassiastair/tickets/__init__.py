"""Numbered change tickets: reading, checking, merging, comparing."""

from .catalogue import Catalogue
from .check import check_against_state
from .codec import encode_state
from .digest import Digest
from .entry import ConfigEntry
from .parse import parse_entry, parse_ticket
from .problem import TicketProblem
from .state_map import StateMap

__all__ = [
    "Catalogue",
    "Digest",
    "ConfigEntry",
    "StateMap",
    "TicketProblem",
    "check_against_state",
    "encode_state",
    "parse_entry",
    "parse_ticket",
]
