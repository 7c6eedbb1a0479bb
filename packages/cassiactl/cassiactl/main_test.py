"""Tests of the commands against scripted pages of daemons."""

import io
import json
import tempfile
from contextlib import redirect_stderr, redirect_stdout
from pathlib import Path
from unittest import mock

from testtools import TestCase

from . import check, explain, state, tickets
from .daemon_client import Page, UnreachableError
from .exit_status import ExitStatus
from .main import Commands

OBJECTS = [
    {
        "object": "index/desk",
        "ticket": 4,
        "state": {"epoch": 1, "services": ["desk"]},
    },
    {
        "object": "service/desk",
        "ticket": 4,
        "state": {"index": "desk", "shards": [[0, 2**32]], "policy": {}},
    },
]
TARGET = {
    "target": "desk.1",
    "leaving": True,
    "down": False,
    "held": [[1, 1, 3]],
}
SPAN = {
    "span": "1" * 16,
    "parent": "",
    "name": "request",
    "start_ms": 0.0,
    "duration_ms": 5.0,
    "path": "/v1/search",
    "status": "200",
}


def make_status(vm: str, digest: str) -> dict:
    """Return the part of a status page that the command reads."""
    return {
        "vm": vm,
        "data_centre": "tallinn",
        "tickets": {"highest": 4, "digest": digest, "objects": 2, "refused": {}},
        "platform": {"age_s": None},
    }


PAGES = {
    ("a:1", "/v1/state"): Page(200, {"objects": OBJECTS}),
    ("a:1", "/status"): Page(200, make_status("a", "11")),
    ("b:1", "/status"): Page(200, make_status("b", "11")),
    ("c:1", "/status"): Page(200, make_status("c", "22")),
    ("a:1", "/v1/targets/desk.1"): Page(200, TARGET),
    ("a:1", "/v1/targets/nope"): Page(404, {"error": {"message": "no such target"}}),
    ("a:1", f"/v1/traces/{'1' * 32}"): Page(200, {"spans": [SPAN]}),
}


def read_scripted_page(daemon: str, path: str) -> Page:
    """Return a scripted page; a daemon without the page counts as unreachable."""
    if (daemon, path) not in PAGES:
        raise UnreachableError(f"{daemon}: connection refused")
    return PAGES[(daemon, path)]


class TestCommands(TestCase):
    """Output and exit status of each command."""

    def setUp(self):
        super().setUp()
        for module in (check, explain, state, tickets):
            patch = mock.patch.object(module, "read_page", read_scripted_page)
            patch.start()
            self.addCleanup(patch.stop)

    def run_command(self, name: str, *args, **flags) -> tuple[int, str]:
        """Run a command; return its exit status and what it printed."""
        output = io.StringIO()
        with redirect_stdout(output), redirect_stderr(output):
            error = self.assertRaises(
                SystemExit, getattr(Commands(), name), *args, **flags
            )
        return error.code, output.getvalue()

    def write_file(self, document: object) -> str:
        """Write a JSON document to a temporary file; return the path."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = Path(folder.name) / "ticket.json"
        path.write_text(json.dumps(document))
        return str(path)

    def test_check_with_daemon_finds_names_that_do_not_exist(self):
        index = {"epoch": 2, "services": ["nope"]}
        change = {"object": "index/desk", "state": index}
        path = self.write_file({"ticket": 5, "changes": [change]})
        assert self.run_command("check", path)[0] == ExitStatus.OK
        status, text = self.run_command("check", path, daemon="a:1")
        assert status == ExitStatus.PROBLEMS
        assert "changes[0]: names service/nope, which would not exist" in text

    def test_check_lists_every_problem(self):
        path = self.write_file({"ticket": 0, "changes": []})
        status, text = self.run_command("check", path, json=True)
        assert status == ExitStatus.PROBLEMS
        assert len(json.loads(text)["problems"]) == 2
        assert self.run_command("check", "/nowhere")[0] == ExitStatus.USAGE

    def test_state_shows_only_the_given_kind(self):
        status, text = self.run_command("state", "a:1", kind="service")
        assert status == ExitStatus.OK
        assert "service/desk" in text and "index/desk" not in text

    def test_tickets_exit_status_shows_differing_and_unreachable_vms(self):
        assert self.run_command("tickets", "a:1", "b:1")[0] == ExitStatus.OK
        status, text = self.run_command("tickets", "a:1", "c:1")
        assert status == ExitStatus.PROBLEMS
        assert "differ" in text
        assert self.run_command("tickets", "z:1")[0] == ExitStatus.UNREACHABLE
        assert self.run_command("tickets")[0] == ExitStatus.USAGE

    def test_explain_shows_targets_and_traces(self):
        status, text = self.run_command("explain", "a:1", "desk.1")
        assert status == ExitStatus.OK
        assert "gets no new work: it is leaving" in text
        assert "path=/v1/search" in self.run_command("explain", "a:1", "1" * 32)[1]
        assert self.run_command("explain", "a:1", "nope")[0] == ExitStatus.NOT_FOUND
        assert self.run_command("explain", "z:1", "x")[0] == ExitStatus.UNREACHABLE
