"""Configuration changes as numbered tickets.

The package parses and checks tickets, merges them into one state and compares the
states of two VMs by a digest.
"""

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
