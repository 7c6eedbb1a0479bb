"""Whole sessions on stand-ins of the users' platform, with real processes."""

import signal
import socket
import tempfile
from pathlib import Path

import eventlet
import pytest
from testtools import TestCase

from .back_end import BackEndSpec
from .caller import Caller, check_search
from .fleet import HOST, World, find_ports, make_desk_route, make_search_route

SHARDS = tuple(f"shard{number}" for number in range(6))
SETTLE_S = 20.0  # bound on waiting for something that takes moments


class TestPorts(TestCase):
    """Addresses of VMs that start again."""

    def test_connections_of_others_do_not_take_a_vms_ports(self):
        with tempfile.TemporaryDirectory() as folder, World(Path(folder)) as world:
            world.add_vms(1)
            vm = world.vms["vm0"]
            other = socket.socket()
            self.addCleanup(other.close)
            other.bind(("127.0.0.1", vm.ports[0]))
            other.listen()
            eventlet.listen(vm.callers).close()


class TestStart(TestCase):
    """Processes of VMs."""

    def test_a_second_start_leaves_no_process_behind(self):
        with tempfile.TemporaryDirectory() as folder, World(Path(folder)) as world:
            world.add_vms(1)
            world.start("vm0")
            first = world.vms["vm0"].process
            world.start("vm0")
            assert world.vms["vm0"].process is first
        assert first.poll() is not None


class WorldCase(TestCase):
    """A small world: six shards of two back ends, a desk, three VMs."""

    def setUp(self):
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.world = World(Path(folder.name))
        self.addCleanup(self.world.stop)
        for service in SHARDS:
            for replica, zone in enumerate(("north", "south")):
                name = f"{service}-{replica}"
                self.world.add_back_end(BackEndSpec(name, service, zone))
        for number in range(3):
            self.world.add_back_end(BackEndSpec(f"desk-{number}", "desk", "north"))
        self.routes = [make_search_route(SHARDS), make_desk_route()]
        self.world.configure(self.routes, [*SHARDS, "desk"])
        self.world.add_vms(3)
        self.caller = Caller("c", HOST, self.world.clock)

    def owners(self) -> dict[str, str]:
        """Return the service of each back end."""
        return {n: b.spec.service for n, b in self.world.back_ends.items()}

    def search(self, vm: str = "vm0"):
        """Do a search that succeeds, and check it."""
        outcome = self.caller.call(self.world.vms[vm].callers, "/search/x")
        assert outcome.status == 200, outcome
        sets = self.world.shard_sets
        assert check_search(outcome, sets, self.owners(), 10) is None
        return outcome

    def note(self, vm: str = "vm0", body: bytes = b"water the pine"):
        """Write a note."""
        return self.caller.call(
            self.world.vms[vm].callers, "/desk/note", method="POST", body=body
        )

    def count_runs(self, attempt: str) -> int:
        """Return how often a request ran."""
        return sum(
            run.ran and run.attempt == attempt
            for back_end in self.world.back_ends.values()
            for run in back_end.runs
        )

    def wait_until(self, check) -> None:
        """Wait until something holds."""
        until = self.world.clock() + SETTLE_S
        while not check():
            assert self.world.clock() < until, "it did not come to hold"
            eventlet.sleep(0.05)


class TestWholePath(WorldCase):
    """From the store to the caller."""

    def test_searches_notes_and_unknown_routes(self):
        self.world.start_all()
        outcome = self.search()
        assert outcome.answer.headers["x-missing-parts"] == "0"
        note = self.note()
        assert note.status == 200
        assert self.count_runs(note.attempt) == 1
        seal = note.answer.headers["x-response-seal"]
        assert seal.endswith(note.attempt)
        address = self.world.vms["vm0"].callers
        assert self.caller.call(address, "/none/x").status == 404

    def test_metrics(self):
        self.world.start_all()
        self.search()
        page = self.world.read_metrics("vm0")
        for line in (
            'cassiastair_answers_total{route="search"} 1',
            'cassiastair_sends_total{reason="first"} 6',
            f"cassiastair_configuration_version {self.world.version}",
            'cassiastair_request_seconds_count{route="search"} 1',
            'cassiastair_covered_share_bucket{le="1.0"} 1',
        ):
            assert line in page, page

    def test_no_configuration_is_503_and_not_ready(self):
        self.world.store.remove("op/config")
        self.world.start("vm0")
        self.wait_until(lambda: "started" in self.world.vms["vm0"].log.read_text())
        eventlet.sleep(0.3)
        assert not self.world.is_ready("vm0")
        outcome = self.caller.call(self.world.vms["vm0"].callers, "/search/x")
        assert outcome.status == 503
        assert float(outcome.answer.headers["retry-after"]) > 0

    @pytest.mark.proof(
        promise="planned stop",
        failure="platform: SIGTERM after a reshard, over processes",
    )
    def test_a_reshard_and_a_stop_cut_nothing(self):
        self.world.start_all()
        self.search()
        shards = tuple(f"part{number}" for number in range(8))
        for service in shards:
            for replica in range(2):
                spec = BackEndSpec(f"{service}-{replica}", service, "north")
                self.world.add_back_end(spec)
        routes = [make_search_route(shards), make_desk_route()]
        self.world.configure(routes, [*shards, "desk"])
        for vm in self.world.vms:
            self.wait_until(
                lambda vm=vm: (
                    self.search(vm).answer.headers["x-part-seals"].count("part") == 8
                )
            )
        self.world.signal("vm0", signal.SIGTERM)
        for _ in range(20):
            assert self.note().status == 200
            eventlet.sleep(0.02)
        assert self.world.wait_end("vm0", 10.0) == 0

    @pytest.mark.proof(
        promise="cut off",
        failure="platform: the store turns a VM away, over processes",
    )
    def test_a_vm_that_the_store_turns_away_hears_from_peers(self):
        settings = self.world.vms["vm2"].settings
        store = f"127.0.0.1:{self.world.store.address[1]}"
        nobody = f"127.0.0.1:{find_ports(1)[0]}"
        settings.write_text(settings.read_text().replace(store, nobody))
        self.world.start_all()
        self.search("vm2")
        self.world.configure(self.routes, [*SHARDS, "desk"])
        text = f'"version":{self.world.version}'
        log = self.world.vms["vm2"].log
        self.wait_until(lambda: text in log.read_text())
        assert "platform lost" in log.read_text()


class TestMisbehavingBackEnds(WorldCase):
    """Answers that are lost, cut, doubled, or to somebody else."""

    def spoil(self, **faults) -> None:
        """Let all back ends misbehave."""
        for back_end in self.world.back_ends.values():
            for name, value in faults.items():
                setattr(back_end.spec.faults, name, value)

    @pytest.mark.proof(
        promise="own answer",
        failure="platform: answers cut, doubled, lost, without a length",
    )
    def test_every_answer_is_whole_and_ones_own(self):
        self.world.start_all()
        self.spoil(extra=0.2, cut=0.1, unframed=0.1, lose_answer=0.05, shed=0.1)
        served = 0
        for _ in range(150):
            address = self.world.vms["vm0"].callers
            outcome = self.caller.call(address, "/search/x")
            if outcome.status == 200:
                served += 1
                sets = self.world.shard_sets
                assert check_search(outcome, sets, self.owners(), 10) is None
            note = self.note()
            runs = self.count_runs(note.attempt)
            assert runs <= 1
            assert not (note.status in (408, 421, 429, 503) and runs)
        assert served > 100

    @pytest.mark.proof(
        promise='"not run" is true',
        failure="platform: another target has the address; over processes",
    )
    def test_another_back_end_at_an_address_runs_nothing(self):
        self.world.start_all()
        for number in range(3):
            back_end = self.world.back_ends[f"desk-{number}"]
            back_end.spec.name = f"stranger-{number}"
        note = self.note()
        assert note.status == 503
        assert self.count_runs(note.attempt) == 0

    def test_a_caller_that_leaves_stops_the_work(self):
        self.world.start_all()
        for back_end in self.world.back_ends.values():
            back_end.spec.work = 5.0
        address = self.world.vms["vm0"].callers
        self.caller.call(address, "/search/x", give_up=0.1)
        left_at = self.world.clock()
        eventlet.sleep(0.8)
        late = [
            run
            for back_end in self.world.back_ends.values()
            for run in back_end.runs
            if run.at > left_at + 0.5
        ]
        assert not late


class TestBadInput(WorldCase):
    """Bytes that are no request, items that are no targets."""

    def send_raw(self, data: bytes) -> bytes:
        """Send bytes to a VM; return what comes back until it closes."""
        sock = eventlet.connect(self.world.vms["vm0"].callers)
        sock.settimeout(5.0)
        sock.sendall(data)
        received = b""
        try:
            while part := sock.recv(65_536):
                received += part
        except OSError:
            pass
        finally:
            sock.close()
        return received

    def test_malformed_requests_get_their_4xx_and_nothing_is_sent(self):
        self.world.start_all()
        long = b"GET /search/x HTTP/1.1\r\nHost: h\r\nX: " + b"a" * 20_000 + b"\r\n\r\n"
        large = (
            b"POST /desk/x HTTP/1.1\r\nHost: search.example\r\n"
            b"Content-Length: 999999\r\n\r\n"
        )
        cases = (
            (b"nonsense\r\n\r\n", b" 400 "),
            (b"GET /search/x HTTP/1.1\r\n\r\n", b" 400 "),
            (long, b" 431 "),
            (large, b" 413 "),
            (
                b"POST /desk/x HTTP/1.1\r\nHost: search.example\r\n"
                b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                b" 400 ",
            ),
        )
        for data, status in cases:
            closing = data.replace(b"\r\nHost", b"\r\nConnection: close\r\nHost", 1)
            assert status in self.send_raw(closing)[:20], data[:60]
        assert not any(back_end.runs for back_end in self.world.back_ends.values())

    def test_foreign_items_name_no_target(self):
        self.world.store.put("servers/bad-1", b"\xff\x00")
        self.world.store.put("servers/bad-2", {"service": 7, "state": "ready"})
        self.world.store.put("servers/bad-3", {"service": "desk", "state": "odd"})
        self.world.start_all()
        self.search()
        log = self.world.vms["vm0"].log.read_text()
        assert log.count("item refused") == 3

    def test_an_unreadable_configuration_leaves_the_one_in_force(self):
        self.world.start_all()
        self.world.store.put("op/config", b"{broken")
        log = self.world.vms["vm0"].log
        self.wait_until(lambda: "item refused" in log.read_text())
        self.search()
