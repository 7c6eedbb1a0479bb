"""Membership of VMs, choice of links and readers, and draining targets."""

from .draining import DrainingTargets
from .freshness import Freshness
from .member_list import MemberList
from .mesh import choose_links
from .reader_schedule import ReaderSchedule
from .reader_selection import ReaderSelection
from .rendezvous import rank_by_rendezvous
from .store_contact import StoreContact

__all__ = [
    "DrainingTargets",
    "Freshness",
    "MemberList",
    "ReaderSchedule",
    "ReaderSelection",
    "StoreContact",
    "choose_links",
    "rank_by_rendezvous",
]
