"""Golden files of whole sessions on the platform; `make golden` records them."""

import os
import re
from pathlib import Path

from .back_end import BackEndSpec
from .caller import Outcome
from .fleet import make_desk_route, make_search_route
from .world_test import SHARDS, WorldCase

FOLDER = Path(__file__).parent / "golden"
REPLICA = re.compile(r"\b(shard\d|part\d|desk)-\d\b")
PATIENT = {"targetLatencyMs": 8000, "timeoutMs": 9000}
SHOWN = ("retry-after", "x-missing-parts", "x-part-seals", "x-response-seal")


class GoldenCase(WorldCase):
    """Records a session; which target of a shard answers is not written down."""

    def setUp(self):
        super().setUp()
        self.lines: list[str] = []
        # A busy machine must not reach the time at which a search answers in part.
        self.routes = [make_search_route(SHARDS, **PATIENT), make_desk_route()]
        self.world.configure(self.routes, [*SHARDS, "desk"])

    def ask(self, path: str, method: str = "GET", body: bytes = b"") -> Outcome:
        """Send a request to the first VM and write it down with its answer."""
        address = self.world.vms["vm0"].callers
        outcome = self.caller.call(address, path, method=method, body=body)
        self.lines.append(
            f"> {outcome.attempt} {method} {path} {body.decode()}".rstrip()
        )
        self.lines.append(f"< {outcome.status}")
        headers = outcome.answer.headers
        for name in SHOWN:
            if name in headers:
                seals = sorted(REPLICA.sub(r"\1-*", headers[name]).split(", "))
                self.lines.append(f"  {name}: {', '.join(seals)}")
        if outcome.status == 200:
            self.lines.append(f"  {outcome.answer.body.hex()}")
        return outcome

    def note_step(self, text: str) -> None:
        """Write down what was done outside the interface."""
        self.lines.append(f"# {text}")

    def wait_for_log(self, text: str) -> None:
        """Wait until the first VM has logged something."""
        log = self.world.vms["vm0"].log
        self.wait_until(lambda: text in log.read_text())

    def compare(self, name: str) -> None:
        """Compare the session with its file, or record it anew."""
        text = "\n".join(self.lines) + "\n"
        file = FOLDER / f"{name}.txt"
        if os.environ.get("RECORD_GOLDEN"):
            FOLDER.mkdir(exist_ok=True)
            file.write_text(text)
        assert text == file.read_text()


class TestGolden(GoldenCase):
    """Whole sessions."""

    def test_search_and_note(self):
        self.world.start_all()
        self.ask("/search/maple")
        self.ask("/desk/note", "POST", b"water the pine")
        self.ask("/unknown/x")
        self.compare("search_and_note")

    def test_answer_in_part(self):
        self.world.start_all()
        for replica in range(2):
            self.world.back_ends[f"shard3-{replica}"].leave()
            self.wait_for_log(f'"target gone","target":"shard3-{replica}"')
        self.note_step("both targets of shard3 have left; four seconds later:")
        self.wait_until(lambda: self.search().answer.headers["x-missing-parts"] == "1")
        self.caller = type(self.caller)("d", "search.example", self.world.clock)
        self.ask("/search/maple")
        self.compare("answer_in_part")

    def test_refusal(self):
        self.world.start_all()
        for number in range(3):
            self.world.back_ends[f"desk-{number}"].leave()
            self.wait_for_log(f'"target gone","target":"desk-{number}"')
        self.note_step("all targets of the desk have left; four seconds later:")
        self.wait_until(lambda: self.note().status == 503)
        self.caller = type(self.caller)("d", "search.example", self.world.clock)
        self.ask("/desk/note", "POST", b"water the pine")
        self.compare("refusal")

    def test_change_of_configuration(self):
        self.world.start_all()
        self.ask("/search/maple")
        shards = ("part0", "part1")
        for service in shards:
            spec = BackEndSpec(f"{service}-0", service, "north")
            self.world.add_back_end(spec)
            self.world.back_ends[spec.name].register()
        version = self.world.configure(
            [make_search_route(shards, **PATIENT)], list(shards)
        )
        self.note_step("the index is cut into two parts, the desk's route is gone")
        self.wait_for_log(f'"version":{version}')
        self.wait_until(lambda: self.search().answer.headers["x-missing-parts"] == "0")
        self.caller = type(self.caller)("d", "search.example", self.world.clock)
        self.ask("/search/maple")
        self.ask("/desk/note", "POST", b"water the pine")
        self.compare("change_of_configuration")

    def test_draining(self):
        self.world.start_all()
        for number in range(2):
            self.world.back_ends[f"desk-{number}"].register("draining")
            self.wait_for_log(f'"target draining","target":"desk-{number}"')
        self.note_step("two of the three targets of the desk drain")
        for _ in range(6):
            self.ask("/desk/note", "POST", b"water the pine")
        runs = [len(self.world.back_ends[f"desk-{n}"].runs) for n in range(3)]
        self.note_step(f"runs of the three targets: {runs}")
        self.compare("draining")
