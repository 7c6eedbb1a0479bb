"""Tests that the daemon runs without OpenSSL."""

import subprocess
import sys

from testtools import TestCase

# Imports the daemon as its command does, renders the metrics and a link's handshake.
PROGRAM = """
import sys
import cassiastaird.entry.main
from cassiastaird.entry.metrics_page import MetricsPage
from cassiastaird.entry.request_counts import RequestCounts
from websockets.client import ClientProtocol
from websockets.uri import parse_uri
import cassiastair_platform.store
ClientProtocol(parse_uri("ws://127.0.0.1:1")).connect()
assert b"HELP" in MetricsPage(RequestCounts()).render()
loaded = [name for name in ("_ssl", "_hashlib") if sys.modules.get(name)]
print("loaded:", *loaded)
"""


class TestLoadPlainLibraries(TestCase):
    """What a daemon's process holds."""

    def test_everything_works_without_openssl(self):
        run = subprocess.run(
            [sys.executable, "-W", "ignore", "-c", PROGRAM],
            capture_output=True,
            text=True,
            env={"PYTHONPATH": ":".join(filter(None, sys.path))},
        )
        assert run.stdout == "loaded:\n", run.stderr[-2000:]
