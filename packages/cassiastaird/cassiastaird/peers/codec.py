"""CBOR form of the messages: an array of a type number and the fields."""

from dataclasses import fields
from types import UnionType
from typing import get_args, get_origin, get_type_hints

import cbor2
from cassiastair.data import Vm
from cassiastair.errors import PeerProtocolError
from cassiastair.peers import messages

TYPES = (
    messages.Hello,
    messages.Heartbeat,
    messages.DigestFrame,
    messages.Marks,
    messages.Want,
    messages.Entries,
    messages.Leaving,
    messages.LeavingList,
    messages.Members,
    messages.Bye,
    messages.Call,
    messages.Reply,
    messages.NewsBeat,
    messages.NewsChanges,
    messages.NewsWant,
    messages.TroubleSeen,
)  # the position is the number on the wire: only add at the end
NUMBERS = {kind: number for number, kind in enumerate(TYPES)}
FIELDS = {kind: [item.name for item in fields(kind)] for kind in TYPES}
HINTS = {kind: get_type_hints(kind) for kind in (*TYPES, Vm)}
VM_FIELDS = [item.name for item in fields(Vm)]
MAX_FRAME_BYTES = 4_000_000
MAX_DEPTH = 16


def encode(message: messages.Message) -> bytes:
    """Return the frame of a message."""
    kind = type(message)
    values = [encode_value(getattr(message, name)) for name in FIELDS[kind]]
    return cbor2.dumps([NUMBERS[kind], *values])


def encode_value(value: object) -> object:
    """Return a field's value in the types of CBOR."""
    if isinstance(value, Vm):
        return [getattr(value, name) for name in VM_FIELDS]
    if isinstance(value, list) and value and isinstance(value[0], Vm):
        return [encode_value(item) for item in value]
    return value


def decode(frame: object) -> messages.Message:
    """Return the message of a frame.

    Raises
    ------
    PeerProtocolError
        If the frame is malformed.
    """
    if not isinstance(frame, bytes):
        raise PeerProtocolError("a frame must be binary")
    try:
        values = cbor2.loads(frame, max_depth=MAX_DEPTH)
    except (cbor2.CBORError, ValueError, RecursionError, TypeError) as error:
        raise PeerProtocolError(f"a frame is not CBOR: {error!r}") from error
    if not isinstance(values, list) or not values or type(values[0]) is not int:
        raise PeerProtocolError("a frame must be an array that starts with its type")
    if not 0 <= values[0] < len(TYPES):
        raise PeerProtocolError(f"message type {values[0]} is unknown")
    kind = TYPES[values[0]]
    if len(values) - 1 != len(FIELDS[kind]):
        raise PeerProtocolError(f"a {kind.__name__} has {len(FIELDS[kind])} fields")
    pairs = zip(FIELDS[kind], values[1:], strict=True)
    return kind(**{name: decode_value(kind, name, v) for name, v in pairs})


def decode_value(kind: type, name: str, value: object) -> object:
    """Return a field's value in its own type."""
    hint = HINTS[kind][name]
    if hint is Vm:
        return decode_vm(value)
    if name == "vms" and isinstance(value, list):
        return [decode_vm(item) for item in value]
    if get_origin(hint) is tuple and isinstance(value, list):
        value = tuple(value)
    expected = get_origin(hint) or hint
    if isinstance(hint, UnionType):
        expected = get_args(hint)
    if expected is float and type(value) is int:
        value = float(value)
    if not isinstance(value, expected) or (expected is int and type(value) is not int):
        raise PeerProtocolError(f"{kind.__name__}.{name} has the wrong type")
    return value


def decode_vm(value: object) -> Vm:
    """Return a VM."""
    if not isinstance(value, list) or len(value) != len(VM_FIELDS):
        raise PeerProtocolError("a VM is malformed")
    vm = Vm(*value)
    for name in VM_FIELDS:
        if type(getattr(vm, name)) is not HINTS[Vm][name]:
            raise PeerProtocolError(f"a VM's {name} has the wrong type")
    return vm
