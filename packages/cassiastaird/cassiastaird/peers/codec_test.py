"""Tests of the encoding of peer messages."""

import cbor2
from cassiastair.data import Vm
from cassiastair.errors import PeerProtocolError
from cassiastair.peers import messages
from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase

from .codec import MESSAGE_TYPES, decode, encode

VM = Vm("vm1", "r1", "dc1", "127.0.0.1", 1, 2)
EXAMPLES = (
    messages.Hello(1, VM),
    messages.Heartbeat(b"12345678", 0.5, 7, -1),
    messages.DigestFrame(b"x" * 2048),
    messages.Marks(b"a", b"b", (1, 2), b"m" * 16),
    messages.Want(b"a", (1,), b"m" * 8),
    messages.Entries([["index", "a", 1, None]], False, True),
    messages.Leaving([["t", "r"]]),
    messages.LeavingList(3, ["t"]),
    messages.Members([VM, VM]),
    messages.Bye(),
    messages.NewsBeat(2**63 + 7, 0.5, []),
    messages.NewsChanges(2**64 + 7, 2**64 + 9, 0.5, [["k", 2**64 + 9, None]]),
    messages.Call(1, b"{}", 0.5, ""),
    messages.Reply(1, 200, {"outcome": "done"}),
    messages.NewsBeat(7, 0.5, [["vm1", 0.5]]),
    messages.TroubleSeen([["t1", 1.5, 0.0]], []),
    messages.LimitReports([["t1", 11.6, 0.5]]),
    messages.NewsChanges(6, 7, 0.5, [["key", 7, b"value"], ["gone", 7, None]]),
    messages.NewsWant(6),
)


class TestCodec(TestCase):
    """Encoding and decoding of frames."""

    def test_every_message_is_decoded_as_encoded(self):
        assert {type(example) for example in EXAMPLES} == set(MESSAGE_TYPES)
        for example in EXAMPLES:
            assert decode(encode(example)) == example

    def test_a_heartbeat_is_below_64_bytes(self):
        assert len(encode(EXAMPLES[1])) < 64

    def test_malformed_frames_are_refused(self):
        for frame in ("text", b"", b"\xff", cbor2.dumps([]), cbor2.dumps([99])):
            self.assertRaises(PeerProtocolError, decode, frame)
        wrong = cbor2.dumps([1, "not bytes", 0.5, 7, 1])
        self.assertRaises(PeerProtocolError, decode, wrong)
        self.assertRaises(PeerProtocolError, decode, cbor2.dumps([0, 1, ["vm"]]))

    @settings(max_examples=500, derandomize=True, database=None, deadline=None)
    @given(
        st.binary(max_size=40)
        | st.lists(
            st.integers(-1, 12) | st.binary(max_size=9) | st.text(max_size=4),
            max_size=6,
        ).map(cbor2.dumps)
    )
    def test_random_frames_are_decoded_or_refused(self, frame):
        try:
            decode(frame)
        except PeerProtocolError as error:
            assert error.message
