"""Tests of the platform's client against replies that are no HTTP/1.1 replies."""

from cassiastair.ticket_source import PlatformError
from testtools import TestCase

from standins.raw_http import format_reply
from standins.scripted_target import Reply, ScriptedTarget

from .client import HttpPlatformSource, decode_page

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


class TestEra(TestCase):
    """Eras that the platform names in its pages."""

    def test_era_is_that_of_the_page_and_its_entries(self):
        entries = b'[{"key": "vms", "value": ""}]'
        page = decode_page(b'{"revision": 3, "entries": %b, "era": 4}' % entries)
        assert (page.era, page.entries[0].era) == (4, 4)
        assert decode_page(b'{"revision": 3, "entries": []}').era == 0

    def test_page_with_a_revision_out_of_range_is_refused(self):
        for revision in (b"-1", b"9223372036854775808"):
            raw = b'{"revision": %b, "entries": []}' % revision
            self.assertRaises(PlatformError, decode_page, raw)

    def test_page_with_an_era_that_is_no_count_is_refused(self):
        for era in (b"-1", b'"1"', b"1.0", b"true", b"null", b"9007199254740992"):
            raw = b'{"revision": 3, "entries": [], "era": %b}' % era
            self.assertRaises(PlatformError, decode_page, raw)
