"""Checks that docs/LOGS.md documents every logged event and reason, and no other."""

import re
from pathlib import Path

from cassiastair.forwarding import UnsentReason
from testtools import TestCase

ROOT = Path(__file__).resolve().parents[4]
FOLDERS = (
    "packages/cassiastair/cassiastair/forwarding",
    "packages/cassiastair/cassiastair/replication",
    "packages/cassiastaird/cassiastaird",
    "packages/cassiastaird/cassiastaird/entry",
    "packages/cassiastaird/cassiastaird/peers",
)
LOG_CALL = re.compile(
    r'(?:warn|warn_last|record_sampled|note|log_event|_log)\(\s*"([a-z ]+)"'
)


class TestLogsPage(TestCase):
    """Comparison of docs/LOGS.md with the calls in the source."""

    def test_the_page_lists_exactly_the_logged_events(self):
        logged = set()
        for folder in FOLDERS:
            for file in (ROOT / folder).glob("*.py"):
                if not file.name.endswith("_test.py"):
                    logged |= set(LOG_CALL.findall(file.read_text()))
        page = (ROOT / "docs/LOGS.md").read_text()
        rows = [line for line in page.splitlines() if line.startswith("| `")]
        documented = {
            e for row in rows for e in re.findall(r"`([a-z ]+)`", row.split("|")[1])
        }
        assert logged == documented

    def test_the_page_lists_exactly_the_reasons_of_sends_not_made(self):
        page = (ROOT / "docs/LOGS.md").read_text()
        documented = re.findall(r"^- `([a-z_]+)`:", page, re.MULTILINE)
        assert sorted(documented) == sorted(reason.value for reason in UnsentReason)
