"""Tests of the platform's client against replies that are no HTTP/1.1 replies."""

from cassiastair.ticket_source import PlatformError
from testtools import TestCase

from standins.raw_http import format_reply
from standins.scripted_target import Reply, ScriptedTarget

from .client import HttpPlatformSource

WHOLE = format_reply(200, {"revision": 3, "entries": [], "more": False})


class TestBrokenReplies(TestCase):
    """Replies whose head is malformed, though their bodies are valid."""

    def test_a_reply_with_a_malformed_head_is_no_page(self):
        server = ScriptedTarget()
        self.addCleanup(server.stop)
        source = HttpPlatformSource(f"http://127.0.0.1:{server.port}")
        for old, new in (
            (b"200", b"000"),
            (b"200", b"600"),
            (b"OK", b"O\0K"),
            (b"Content-Type", b"Content Type"),
            (b"Content-Type", b"Content\x01Type"),
            (b"Content-Length", b"Content-Length "),
            (b"application/json", b"application/json\0"),
        ):
            server.script.append(Reply(WHOLE.replace(old, new, 1), "close"))
            self.assertRaises(PlatformError, source.watch, 0, 0.1)
            server.script.append(Reply(WHOLE))
            assert source.watch(0, 0.1).revision == 3
