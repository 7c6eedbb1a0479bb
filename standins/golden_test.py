"""Compares sessions of real processes with golden files; `make golden` records them."""

import os
import tempfile
from pathlib import Path

from testtools import TestCase

from .golden import Recorder
from .layouts import COUNTER_DESK, WATERING, make_target_change, plan_targets, shrink
from .records import make_records
from .session import Session

FOLDER = Path(__file__).parent / "golden"
DESK = shrink(COUNTER_DESK, 3)
DEADLINE_MS = 8000  # long enough that no request times out on a busy machine


class RecordingClient:
    """Sends requests to the daemons of a session and records the answers."""

    def __init__(self, session: Session):
        self.session = session
        self.recorder = Recorder()

    def post(self, vm: str, path: str, body: object) -> dict:
        """Send a request, record it with its answer and return the answer's body."""
        reply = self.session.callers[vm].post(path, body)
        shown = body if not isinstance(body, bytes) else f"{body[:40]!r}"
        self.recorder.add_exchange(vm, path, shown, reply)
        return reply.body

    def search(self, vm: str, **more) -> dict:
        """Search for the records of one tag and record the answer."""
        body = {"index": "counter-desk", "query": {"tag": 3}, **more}
        return self.post(vm, "/v1/search", {"deadline_ms": DEADLINE_MS, **body})

    def comment(self, text: str) -> None:
        """Record a step that was not a request."""
        self.recorder.add_comment(text)


class GoldenTestCase(TestCase):
    """Starts a session and compares its recording with a golden file."""

    def start(self) -> RecordingClient:
        """Start the targets of one small data centre and two daemons."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        session = Session(Path(folder.name))
        self.addCleanup(session.processes.stop_all)
        session.start_targets([DESK, WATERING])
        for vm in ("tallinn-1", "tallinn-2"):
            session.start_daemon(vm, "tallinn", drain_lag_ms=100)
        session.publish_layouts([DESK, WATERING], "tallinn")
        session.wait_ready(objects=14)
        return RecordingClient(session)

    def compare(self, client: RecordingClient, name: str) -> None:
        """Compare a recording with its golden file.

        If the environment variable RECORD_GOLDEN is set, overwrite the file first.
        """
        path = FOLDER / name
        text = client.recorder.to_text()
        if os.environ.get("RECORD_GOLDEN"):
            FOLDER.mkdir(exist_ok=True)
            path.write_text(text)
        assert path.read_text() == text, f"{name} differs; see make golden"


class TestSessions(GoldenTestCase):
    """Each session gives the recorded answers."""

    def test_killed_targets_reduce_coverage(self):
        client = self.start()
        session = client.session
        client.search("tallinn-1")
        record = make_records("counter-desk-02")[5]
        lookup = {"service": "counter-desk-02", "key": record.key}
        client.post("tallinn-2", "/v1/lookup", {**lookup, "deadline_ms": DEADLINE_MS})
        client.comment("counter-desk-02.1 is killed")
        session.targets["counter-desk-02.1"].kill()
        client.search("tallinn-1")
        client.comment("counter-desk-02.2 is killed")
        session.targets["counter-desk-02.2"].kill()
        client.search("tallinn-2")
        client.search("tallinn-2", lowest_coverage=0.9)
        self.compare(client, "search_with_lost_targets.txt")

    def test_repeated_write_runs_once(self):
        client = self.start()
        request_ids = client.post("tallinn-1", "/v1/ids", {"count": 2})["ids"]
        note = {"service": "watering-rota", "key": 7, "body": {"watered": True}}
        note["deadline_ms"] = DEADLINE_MS
        first = {**note, "request_id": request_ids[0]}
        client.post("tallinn-1", "/v1/write", first)
        client.comment("the same request again, through both VMs")
        client.post("tallinn-1", "/v1/write", first)
        client.post("tallinn-2", "/v1/write", first)
        client.comment("another request under the same id")
        client.post("tallinn-2", "/v1/write", {**first, "key": 8})
        client.comment("an id that the caller made up")
        client.post("tallinn-1", "/v1/write", {**note, "request_id": "my-note-1"})
        client.comment("no id: each request stands for itself")
        client.post("tallinn-2", "/v1/write", note)
        client.comment("tallinn-1 is killed; its second id was never used")
        client.session.kill_daemon("tallinn-1")
        second = {**note, "request_id": request_ids[1]}
        client.post("tallinn-2", "/v1/write", second)
        self.compare(client, "writes.txt")

    def test_bad_input_is_refused(self):
        client = self.start()
        for path in ("/v1/search", "/v1/lookup", "/v1/write", "/v1/ids"):
            client.post("tallinn-1", path, b"{not json")
            client.post("tallinn-1", path, b'{"colour": "red"}')
        client.post("tallinn-1", "/v1/search", {"index": "nowhere", "query": {}})
        client.post("tallinn-1", "/v1/search", {"index": "A B", "query": 7})
        client.post("tallinn-1", "/v1/search", b"[" * 70_000)
        client.post("tallinn-1", "/v1/elsewhere", {})
        client.search("tallinn-1", lowest_version=9)
        self.compare(client, "bad_input.txt")

    def test_draining_target_gets_no_work(self):
        client = self.start()
        session = client.session
        client.search("tallinn-1")
        client.comment("a ticket says that counter-desk-01.1 is leaving")
        plan = plan_targets(DESK)[0]
        port = session.targets[plan.name].ready["port"]
        change = make_target_change(plan, port, "tallinn", leaving=True)
        number = session.publish([change])
        for caller in session.callers.values():
            session.wait_until(
                lambda caller=caller: (
                    caller.get("/status").body["tickets"]["highest"] == number
                )
            )
        session.targets["counter-desk-01.2"].kill()
        client.comment("counter-desk-01.2 is killed; the leaving target gets no work")
        client.search("tallinn-1")
        self.compare(client, "leaving_target.txt")
