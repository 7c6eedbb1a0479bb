"""Immutable records that the other modules exchange."""

from .attempt import Attempt
from .coverage import Coverage
from .held_versions import HeldVersions
from .index import Index
from .key_range import FULL_RANGE, KEY_SPACE, KeyRange
from .missing_range import MissingRange
from .missing_reason import MissingReason
from .object_key import ObjectKey
from .outcome import Outcome
from .policy import Policy
from .request_id import RequestId
from .service import Service
from .shard_answer import ShardAnswer
from .snapshot import Snapshot
from .store_position import MAX_REVISION, StorePosition
from .target import Target
from .ticket import Change, Ticket
from .vm import Vm

__all__ = [
    "FULL_RANGE",
    "KEY_SPACE",
    "MAX_REVISION",
    "Attempt",
    "Change",
    "Coverage",
    "HeldVersions",
    "Index",
    "KeyRange",
    "MissingRange",
    "ObjectKey",
    "Outcome",
    "Policy",
    "MissingReason",
    "RequestId",
    "Service",
    "ShardAnswer",
    "Snapshot",
    "StorePosition",
    "Target",
    "Ticket",
    "Vm",
]
