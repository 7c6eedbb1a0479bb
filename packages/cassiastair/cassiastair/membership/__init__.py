"""Which VMs there are, who is linked with whom, and who reads the platform."""

from .freshness import Freshness
from .leaving import LeavingTargets
from .mesh import choose_links
from .reader_schedule import ReaderSchedule
from .reader_turns import ReaderTurns
from .rendezvous import rank_by_rendezvous
from .roster import Roster

__all__ = [
    "Freshness",
    "LeavingTargets",
    "ReaderSchedule",
    "ReaderTurns",
    "Roster",
    "choose_links",
    "rank_by_rendezvous",
]
