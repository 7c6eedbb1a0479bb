"""CBOR encoding of peer messages: an array of the type number and the fields."""

from dataclasses import fields
from types import UnionType
from typing import get_args, get_origin, get_type_hints

import cbor2
from cassiastair.data import Vm
from cassiastair.errors import PeerProtocolError
from cassiastair.peers import messages

MESSAGE_TYPES = (
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
    messages.LimitReports,
)  # the index is the type number on the wire, so only append
TYPE_NUMBERS = {kind: number for number, kind in enumerate(MESSAGE_TYPES)}
FIELD_NAMES = {kind: [item.name for item in fields(kind)] for kind in MESSAGE_TYPES}
TYPE_HINTS = {kind: get_type_hints(kind) for kind in (*MESSAGE_TYPES, Vm)}
VM_FIELDS = [item.name for item in fields(Vm)]
MAX_FRAME_BYTES = 4_000_000
MAX_DEPTH = 16


def encode(message: messages.Message) -> bytes:
    """Return the frame that encodes a message."""
    message_type = type(message)
    values = [
        encode_value(getattr(message, name)) for name in FIELD_NAMES[message_type]
    ]
    return cbor2.dumps([TYPE_NUMBERS[message_type], *values])


def encode_value(value: object) -> object:
    """Return a field's value, with each VM as a list that CBOR can encode."""
    if isinstance(value, Vm):
        return [getattr(value, name) for name in VM_FIELDS]
    if isinstance(value, list) and value and isinstance(value[0], Vm):
        return [encode_value(item) for item in value]
    return value


def decode(frame: object) -> messages.Message:
    """Return the message that a frame encodes.

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
    if not 0 <= values[0] < len(MESSAGE_TYPES):
        raise PeerProtocolError(f"message type {values[0]} is unknown")
    message_type = MESSAGE_TYPES[values[0]]
    if len(values) - 1 != len(FIELD_NAMES[message_type]):
        raise PeerProtocolError(
            f"a {message_type.__name__} has {len(FIELD_NAMES[message_type])} fields"
        )
    pairs = zip(FIELD_NAMES[message_type], values[1:], strict=True)
    return message_type(
        **{name: decode_value(message_type, name, v) for name, v in pairs}
    )


def decode_value(message_type: type, name: str, value: object) -> object:
    """Return a field's decoded value in the type that the message declares.

    Raises
    ------
    PeerProtocolError
        If the value has another type.
    """
    hint = TYPE_HINTS[message_type][name]
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
        raise PeerProtocolError(f"{message_type.__name__}.{name} has the wrong type")
    return value


def decode_vm(value: object) -> Vm:
    """Return the VM that a list of field values describes.

    Raises
    ------
    PeerProtocolError
        If fields are missing or have the wrong type.
    """
    if not isinstance(value, list) or len(value) != len(VM_FIELDS):
        raise PeerProtocolError("a VM is malformed")
    vm = Vm(*value)
    for name in VM_FIELDS:
        if type(getattr(vm, name)) is not TYPE_HINTS[Vm][name]:
            raise PeerProtocolError(f"a VM's {name} has the wrong type")
    return vm
