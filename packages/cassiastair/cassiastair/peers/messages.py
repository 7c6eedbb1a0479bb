"""Messages between peers.

A message is sent as the list of its fields, in the order of their declaration.
"""

from dataclasses import dataclass

from ..data import Vm

PROTOCOL = 1  # raised when the meaning of a message changes


@dataclass(frozen=True, slots=True)
class Hello:
    """First message in each direction.

    Parameters
    ----------
    protocol : int
        Version of the protocol.
    vm : Vm
        VM of the sender.
    """

    protocol: int
    vm: Vm


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Summary of the sender's state, sent at a fixed interval; its size is constant.

    Parameters
    ----------
    root : bytes
        Root of the sender's digest.
    age : float
        Seconds since the platform confirmed the sender's state; -1 for never.
    revision : int
        Platform revision that the sender's state reaches.
    list_revision : int
        Revision of the sender's list of draining targets; -1 for none.
    """

    root: bytes
    age: float
    revision: int
    list_revision: int


@dataclass(frozen=True, slots=True)
class DigestFrame:
    """Digest of the sender's state, sent when the roots differ.

    Parameters
    ----------
    buckets : bytes
        All buckets of the digest, eight bytes each.
    """

    buckets: bytes


@dataclass(frozen=True, slots=True)
class Marks:
    """Hashes of all entries in the buckets that differ; answers a digest.

    Parameters
    ----------
    asked_root : bytes
        Root of the digest that this answers.
    root : bytes
        Root of the sender's digest.
    buckets : tuple of int
        Numbers of the buckets that differ.
    marks : bytes
        Hashes of the sender's entries in these buckets, eight bytes each.
    """

    asked_root: bytes
    root: bytes
    buckets: tuple[int, ...]
    marks: bytes


@dataclass(frozen=True, slots=True)
class Want:
    """Request for the entries with the given hashes.

    Parameters
    ----------
    root : bytes
        Root of the digest that the hashes belong to.
    buckets : tuple of int
        Numbers of the buckets that hold the entries.
    marks : bytes
        Hashes of the requested entries, eight bytes each.
    """

    root: bytes
    buckets: tuple[int, ...]
    marks: bytes


@dataclass(frozen=True, slots=True)
class Entries:
    """Entries of whole tickets; a large transfer takes several messages.

    Parameters
    ----------
    entries : list
        Lists of the kind, name, ticket number and state of each entry.
    more : bool
        Whether further messages of the same transfer follow. The receiver applies
        all of them in one step, after the last one.
    push : bool
        True for a new ticket, which receivers forward; False for a repair.
    """

    entries: list
    more: bool
    push: bool


@dataclass(frozen=True, slots=True)
class Leaving:
    """Drain marks: runs of targets that have announced that they are draining.

    Parameters
    ----------
    marks : list
        Pairs of target and incarnation.
    """

    marks: list


@dataclass(frozen=True, slots=True)
class LeavingList:
    """The platform's list of draining targets.

    Parameters
    ----------
    revision : int
        Revision of the list.
    targets : list
        Names of the targets.
    """

    revision: int
    targets: list


@dataclass(frozen=True, slots=True)
class Members:
    """VMs that the sender knows.

    Parameters
    ----------
    vms : list of Vm
        The VMs.
    """

    vms: list


@dataclass(frozen=True, slots=True)
class Bye:
    """Announcement that the sender is stopping."""


@dataclass(frozen=True, slots=True)
class Call:
    """Non-idempotent request, forwarded to the VM that issued its ID.

    Parameters
    ----------
    call : int
        Number of the call, which the reply repeats.
    body : bytes
        Body of the caller's request.
    time_left : float
        Seconds until the sender stops waiting.
    trace : str
        W3C ``traceparent`` of the sender's span.
    """

    call: int
    body: bytes
    time_left: float
    trace: str


@dataclass(frozen=True, slots=True)
class Reply:
    """Outcome of a forwarded request.

    Parameters
    ----------
    call : int
        Number of the call.
    status : int
        HTTP status for the caller.
    body : dict
        JSON body for the caller.
    """

    call: int
    status: int
    body: dict


@dataclass(frozen=True, slots=True)
class NewsBeat:
    """Heartbeat of VMs that replicate the platform's store; its size is bounded.

    Parameters
    ----------
    revision : int
        Position of the store up to which the sender's replica is complete, as a number;
        -1 if it is empty.
    age : float
        Seconds since the store confirmed the replica; -1 for never.
    readers : list
        Names of VMs of the sender's data centre that read the store, each with the
        seconds since it was reading.
    """

    revision: int
    age: float
    readers: list


@dataclass(frozen=True, slots=True)
class NewsChanges:
    """All changes of the store between two revisions.

    Parameters
    ----------
    after : int
        Position of the store after which the changes begin, as a number; -1 for a copy
        of all items.
    revision : int
        Position up to which the changes are complete; -1 for items that the sender
        keeps from before the store came back from an older copy.
    age : float
        Seconds since the store confirmed the sender's replica; -1 for never.
    items : list
        Key, position and value of each item; a removed key has None as its value.
    """

    after: int
    revision: int
    age: float
    items: list


@dataclass(frozen=True, slots=True)
class NewsWant:
    """Request for all changes of the store after a position.

    Parameters
    ----------
    after : int
        Position, as a number, up to which the sender's replica is complete; -1 if it is
        empty.
    """

    after: int


@dataclass(frozen=True, slots=True)
class TroubleSeen:
    """Reports of targets that were slow or failing lately; its size is bounded.

    An empty one, sent on a new link, says that the sender knows `LimitReports`.
    Releases that do not know them ignore it, and never send an empty one.

    Parameters
    ----------
    slow, failing : list
        Name of each target, with the seconds since the first and the last sighting.
    """

    slow: list
    failing: list


@dataclass(frozen=True, slots=True)
class LimitReports:
    """Reports on request rates that targets have named; its size is bounded.

    Parameters
    ----------
    limits : list
        Name of each target, its limit in requests a second, -1 for one that has ended,
        and the seconds since the target named it.
    """

    limits: list


Message = (
    Hello
    | Heartbeat
    | DigestFrame
    | Marks
    | Want
    | Entries
    | Leaving
    | LeavingList
    | Members
    | Bye
    | Call
    | Reply
    | NewsBeat
    | NewsChanges
    | NewsWant
    | TroubleSeen
    | LimitReports
)
