"""Golden files of whole sessions of real processes; `make golden` records them."""

import os
import tempfile
from pathlib import Path

from testtools import TestCase

from .golden import Recorder
from .layouts import COUNTER_DESK, WATERING, describe_target, plan_targets, shrink
from .records import make_records
from .session import Session

FOLDER = Path(__file__).parent / "golden"
DESK = shrink(COUNTER_DESK, 3)
PATIENT_MS = 8000  # a deadline that a busy machine does not reach


class Scribe:
    """Sends requests through a session's daemons and records them."""

    def __init__(self, session: Session):
        self.session = session
        self.recorder = Recorder()

    def post(self, vm: str, path: str, body: object) -> dict:
        """Send a request, record the answer and return its body."""
        reply = self.session.callers[vm].post(path, body)
        shown = body if not isinstance(body, bytes) else f"{body[:40]!r}"
        self.recorder.step(vm, path, shown, reply)
        return reply.body

    def search(self, vm: str, **more) -> dict:
        """Search for the records of one tag."""
        body = {"index": "counter-desk", "query": {"tag": 3}, **more}
        return self.post(vm, "/v1/search", {"deadline_ms": PATIENT_MS, **body})

    def note(self, text: str) -> None:
        """Record what was done outside the interface."""
        self.recorder.note(text)


class GoldenTestCase(TestCase):
    """Runs a session and compares it with its file."""

    def start(self) -> Scribe:
        """Start a small data centre with two daemons."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        session = Session(Path(folder.name))
        self.addCleanup(session.processes.stop_all)
        session.start_targets([DESK, WATERING])
        for vm in ("tallinn-1", "tallinn-2"):
            session.start_daemon(vm, "tallinn", drain_lag_ms=100)
        session.publish_layouts([DESK, WATERING], "tallinn")
        session.wait_ready(objects=14)
        return Scribe(session)

    def compare(self, scribe: Scribe, name: str) -> None:
        """Compare a session with its file, or record it anew."""
        path = FOLDER / name
        text = scribe.recorder.text()
        if os.environ.get("RECORD_GOLDEN"):
            FOLDER.mkdir(exist_ok=True)
            path.write_text(text)
        assert path.read_text() == text, f"{name} differs; see make golden"


class TestSessions(GoldenTestCase):
    """The recorded sessions."""

    def test_search_with_lost_targets(self):
        scribe = self.start()
        session = scribe.session
        scribe.search("tallinn-1")
        record = make_records("counter-desk-02")[5]
        lookup = {"service": "counter-desk-02", "key": record.key}
        scribe.post("tallinn-2", "/v1/lookup", {**lookup, "deadline_ms": PATIENT_MS})
        scribe.note("counter-desk-02.1 is killed")
        session.targets["counter-desk-02.1"].kill()
        scribe.search("tallinn-1")
        scribe.note("counter-desk-02.2 is killed")
        session.targets["counter-desk-02.2"].kill()
        scribe.search("tallinn-2")
        scribe.search("tallinn-2", lowest_coverage=0.9)
        self.compare(scribe, "search_with_lost_targets.txt")

    def test_writes(self):
        scribe = self.start()
        scribe_id = scribe.post("tallinn-1", "/v1/ids", {"count": 2})["ids"]
        note = {"service": "watering-rota", "key": 7, "body": {"watered": True}}
        note["deadline_ms"] = PATIENT_MS
        first = {**note, "request_id": scribe_id[0]}
        scribe.post("tallinn-1", "/v1/write", first)
        scribe.note("the same request again, through both VMs")
        scribe.post("tallinn-1", "/v1/write", first)
        scribe.post("tallinn-2", "/v1/write", first)
        scribe.note("another request under the same id")
        scribe.post("tallinn-2", "/v1/write", {**first, "key": 8})
        scribe.note("an id that the caller made up")
        scribe.post("tallinn-1", "/v1/write", {**note, "request_id": "my-note-1"})
        scribe.note("no id: each request stands for itself")
        scribe.post("tallinn-2", "/v1/write", note)
        scribe.note("tallinn-1 is killed; its second id was never used")
        scribe.session.daemons["tallinn-1"].kill()
        second = {**note, "request_id": scribe_id[1]}
        scribe.post("tallinn-2", "/v1/write", second)
        self.compare(scribe, "writes.txt")

    def test_bad_input(self):
        scribe = self.start()
        for path in ("/v1/search", "/v1/lookup", "/v1/write", "/v1/ids"):
            scribe.post("tallinn-1", path, b"{not json")
            scribe.post("tallinn-1", path, b'{"colour": "red"}')
        scribe.post("tallinn-1", "/v1/search", {"index": "nowhere", "query": {}})
        scribe.post("tallinn-1", "/v1/search", {"index": "A B", "query": 7})
        scribe.post("tallinn-1", "/v1/search", b"[" * 70_000)
        scribe.post("tallinn-1", "/v1/elsewhere", {})
        scribe.search("tallinn-1", lowest_version=9)
        self.compare(scribe, "bad_input.txt")

    def test_leaving_target_and_ticket(self):
        scribe = self.start()
        session = scribe.session
        scribe.search("tallinn-1")
        scribe.note("a ticket says that counter-desk-01.1 is leaving")
        plan = plan_targets(DESK)[0]
        port = session.targets[plan.name].ready["port"]
        change = describe_target(plan, port, "tallinn", leaving=True)
        number = session.publish([change])
        for caller in session.callers.values():
            session.wait_until(
                lambda caller=caller: (
                    caller.get("/status").body["tickets"]["highest"] == number
                )
            )
        session.targets["counter-desk-01.2"].kill()
        scribe.note("counter-desk-01.2 is killed; the leaving target gets no work")
        scribe.search("tallinn-1")
        self.compare(scribe, "leaving_target.txt")
