"""The page of log lines names every event of the code, and no other."""

import re
from pathlib import Path

from testtools import TestCase

ROOT = Path(__file__).resolve().parents[4]
FOLDERS = (
    "packages/cassiastair/cassiastair/forwarding",
    "packages/cassiastair/cassiastair/replication",
    "packages/cassiastaird/cassiastaird/entry",
    "packages/cassiastaird/cassiastaird/peers",
)
CALL = re.compile(r'(?:warn|record_sampled|note|log_event|_log)\(\s*"([a-z ]+)"')


class TestLogsPage(TestCase):
    """docs/LOGS.md against the code."""

    def test_events(self):
        used = set()
        for folder in FOLDERS:
            for file in (ROOT / folder).glob("*.py"):
                if not file.name.endswith("_test.py"):
                    used |= set(CALL.findall(file.read_text()))
        page = (ROOT / "docs/LOGS.md").read_text()
        rows = [line for line in page.splitlines() if line.startswith("| `")]
        named = {
            e for row in rows for e in re.findall(r"`([a-z ]+)`", row.split("|")[1])
        }
        assert used == named
