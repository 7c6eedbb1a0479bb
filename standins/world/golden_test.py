"""Sessions compared with golden files, which `make golden` records."""

import os
import re
from pathlib import Path

from .back_end import BackEndSpec
from .caller import Outcome
from .cluster import make_desk_route, make_search_route
from .cluster_test import SHARDS, ClusterTestCase

FOLDER = Path(__file__).parent / "golden"
BACK_END_NAME = re.compile(r"\b(shard\d|part\d|desk)-\d\b")
LONG_TIMEOUTS = {"targetLatencyMs": 8000, "timeoutMs": 9000}
RECORDED_HEADERS = ("retry-after", "x-missing-parts", "x-part-seals", "x-response-seal")


class GoldenTestCase(ClusterTestCase):
    """Records a session; the replica that answers varies, so its number is masked."""

    def setUp(self):
        super().setUp()
        self.lines: list[str] = []
        # Long time-outs keep searches on a busy machine from returning partial answers.
        self.routes = [make_search_route(SHARDS, **LONG_TIMEOUTS), make_desk_route()]
        self.cluster.configure(self.routes, [*SHARDS, "desk"])

    def send(self, path: str, method: str = "GET", body: bytes = b"") -> Outcome:
        """Send a request to the first VM and record it with its answer."""
        address = self.cluster.vms["vm0"].caller_address
        outcome = self.caller.call(address, path, method=method, body=body)
        self.lines.append(
            f"> {outcome.attempt_id} {method} {path} {body.decode()}".rstrip()
        )
        self.lines.append(f"< {outcome.status}")
        headers = outcome.answer.headers
        for name in RECORDED_HEADERS:
            if name in headers:
                values = sorted(BACK_END_NAME.sub(r"\1-*", headers[name]).split(", "))
                self.lines.append(f"  {name}: {', '.join(values)}")
        if outcome.status == 200:
            self.lines.append(f"  {outcome.answer.body.hex()}")
        return outcome

    def add_comment(self, text: str) -> None:
        """Record an action that is no request of a caller."""
        self.lines.append(f"# {text}")

    def wait_for_log(self, text: str) -> None:
        """Wait until the first VM's log contains a text."""
        log_path = self.cluster.vms["vm0"].log_path
        self.wait_until(lambda: text in log_path.read_text())

    def compare(self, name: str) -> None:
        """Compare the session with its golden file.

        The file is written first if RECORD_GOLDEN is set.
        """
        text = "\n".join(self.lines) + "\n"
        file = FOLDER / f"{name}.txt"
        if os.environ.get("RECORD_GOLDEN"):
            FOLDER.mkdir(exist_ok=True)
            file.write_text(text)
        assert text == file.read_text()


class TestRecordedSessions(GoldenTestCase):
    """Recorded sessions of callers, in which back ends or the configuration change."""

    def test_search_and_note_match_recording(self):
        self.cluster.start_all()
        self.send("/search/maple")
        self.send("/desk/note", "POST", b"water the pine")
        self.send("/unknown/x")
        self.compare("search_and_note")

    def test_partial_answer_matches_recording(self):
        self.cluster.start_all()
        for replica in range(2):
            self.cluster.back_ends[f"shard3-{replica}"].deregister()
            self.wait_for_log(f'"target gone","target":"shard3-{replica}"')
        self.add_comment("both targets of shard3 have left; four seconds later:")
        self.wait_until(lambda: self.search().answer.headers["x-missing-parts"] == "1")
        self.caller = type(self.caller)("d", "search.example", self.cluster.clock)
        self.send("/search/maple")
        self.compare("answer_in_part")

    def test_refusal_matches_recording(self):
        self.cluster.start_all()
        for number in range(3):
            self.cluster.back_ends[f"desk-{number}"].deregister()
            self.wait_for_log(f'"target gone","target":"desk-{number}"')
        self.add_comment("all targets of the desk have left; four seconds later:")
        self.wait_until(lambda: self.send_note().status == 503)
        self.caller = type(self.caller)("d", "search.example", self.cluster.clock)
        self.send("/desk/note", "POST", b"water the pine")
        self.compare("refusal")

    def test_configuration_change_matches_recording(self):
        self.cluster.start_all()
        self.send("/search/maple")
        shards = ("part0", "part1")
        for service in shards:
            spec = BackEndSpec(f"{service}-0", service, "north")
            self.cluster.add_back_end(spec)
            self.cluster.back_ends[spec.name].register()
        version = self.cluster.configure(
            [make_search_route(shards, **LONG_TIMEOUTS)], list(shards)
        )
        self.add_comment("the index is cut into two parts, the desk's route is gone")
        self.wait_for_log(f'"version":{version}')
        self.wait_until(lambda: self.search().answer.headers["x-missing-parts"] == "0")
        self.caller = type(self.caller)("d", "search.example", self.cluster.clock)
        self.send("/search/maple")
        self.send("/desk/note", "POST", b"water the pine")
        self.compare("change_of_configuration")

    def test_draining_matches_recording(self):
        self.cluster.start_all()
        for number in range(2):
            self.cluster.back_ends[f"desk-{number}"].register("draining")
            self.wait_for_log(f'"target draining","target":"desk-{number}"')
        self.add_comment("two of the three targets of the desk drain")
        for _ in range(6):
            self.send("/desk/note", "POST", b"water the pine")
        request_counts = [
            len(self.cluster.back_ends[f"desk-{n}"].requests) for n in range(3)
        ]
        self.add_comment(f"runs of the three targets: {request_counts}")
        self.compare("draining")
