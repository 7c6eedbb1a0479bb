"""Messages between peers; field names are short because they travel often."""

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
        The sender.
    """

    protocol: int
    vm: Vm


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Sent on each link in a fixed interval; its size does not grow.

    Parameters
    ----------
    root : bytes
        Root of the sender's digest.
    age : float
        Seconds since the platform confirmed the sender's state; -1 for never.
    revision : int
        Platform revision that the sender's state reaches.
    list_revision : int
        Revision of the platform's list that the sender knows.
    """

    root: bytes
    age: float
    revision: int
    list_revision: int


@dataclass(frozen=True, slots=True)
class DigestFrame:
    """Buckets of the sender's digest, sent when roots differ.

    Parameters
    ----------
    buckets : bytes
        Packed buckets.
    """

    buckets: bytes


@dataclass(frozen=True, slots=True)
class Marks:
    """Marks of all entries in the buckets that differ.

    Parameters
    ----------
    asked_root : bytes
        Root of the digest that this answers.
    root : bytes
        Root of the sender's digest.
    buckets : tuple of int
        The buckets.
    marks : bytes
        Eight bytes for each entry of the sender in these buckets.
    """

    asked_root: bytes
    root: bytes
    buckets: tuple[int, ...]
    marks: bytes


@dataclass(frozen=True, slots=True)
class Want:
    """Request for the entries with some marks.

    Parameters
    ----------
    root : bytes
        Root of the digest that the marks belong to.
    buckets : tuple of int
        Buckets in which to look.
    marks : bytes
        Eight bytes for each entry wanted.
    """

    root: bytes
    buckets: tuple[int, ...]
    marks: bytes


@dataclass(frozen=True, slots=True)
class Entries:
    """Entries of whole tickets; a large transfer comes in several messages.

    Parameters
    ----------
    entries : list
        Plain entries: kind, name, ticket number, state.
    more : bool
        Whether further messages of the same transfer follow. The receiver brings
        nothing in force before the last one.
    push : bool
        Whether this is a ticket on its way, to be passed on, or a repair.
    """

    entries: list
    more: bool
    push: bool


@dataclass(frozen=True, slots=True)
class Leaving:
    """Runs of targets that said themselves that they are leaving.

    Parameters
    ----------
    marks : list
        Pairs of target and incarnation.
    """

    marks: list


@dataclass(frozen=True, slots=True)
class LeavingList:
    """The platform's list of leaving targets.

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
    """The sender is stopping."""


@dataclass(frozen=True, slots=True)
class Call:
    """A non-idempotent request, forwarded to the VM that issued its id.

    Parameters
    ----------
    call : int
        Number that the reply repeats.
    body : bytes
        The caller's body.
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
    """The outcome of a forwarded request.

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
    """Heartbeat of VMs that follow the platform's store; its size is bounded.

    Parameters
    ----------
    revision : int
        Revision up to which the sender knows everything; -1 for nothing.
    age : float
        Seconds since the store confirmed that; -1 for never.
    readers : list
        Names of VMs of the sender's data centre that read the store, each with the
        seconds since it was heard.
    """

    revision: int
    age: float
    readers: list


@dataclass(frozen=True, slots=True)
class NewsChanges:
    """All changes between two revisions of the store.

    Parameters
    ----------
    after : int
        Revision after which they begin; -1 if these are all items there are.
    revision : int
        Revision that they reach.
    age : float
        Seconds since the store confirmed the sender's state; -1 for never.
    items : list
        For each item its key, its revision and its value, or nothing if removed.
    """

    after: int
    revision: int
    age: float
    items: list


@dataclass(frozen=True, slots=True)
class NewsWant:
    """Request for all changes after a revision.

    Parameters
    ----------
    after : int
        Revision up to which the sender knows everything; -1 for nothing.
    """

    after: int


@dataclass(frozen=True, slots=True)
class TroubleSeen:
    """Targets that were seen in trouble lately; its size is bounded.

    Parameters
    ----------
    slow, failing : list
        For each target its name and the seconds since it was first and last seen so.
    """

    slow: list
    failing: list


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
)
