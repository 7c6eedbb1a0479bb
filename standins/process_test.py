"""Tests of the tier's promises with real processes.

They kill, freeze and replace entry daemons, stop the platform, and silence
connections, mostly while requests are in progress.
"""

import signal
import tempfile
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import pytest
from testtools import TestCase

from .caller import Caller
from .layouts import COUNTER_DESK, WATERING, make_target_change, plan_targets, shrink
from .session import Session

DESK = shrink(COUNTER_DESK, 4)
DEADLINE_MS = 8000
SEARCH = {"index": "counter-desk", "query": {}, "deadline_ms": DEADLINE_MS}
NOTE = {"service": "watering-rota", "key": 7, "body": {}, "deadline_ms": DEADLINE_MS}


def proof(promise: str, failure: str):
    """Return a marker: the test proves that a promise holds under a failure."""
    return pytest.mark.proof(promise=promise, failure=failure)


class ProcessTestCase(TestCase):
    """Starts a session of processes and stops it after the test."""

    def start(self, vms: dict[str, str], max_seeds: int = 12, **settings) -> Session:
        """Start the targets and one daemon for each VM.

        Parameters
        ----------
        vms : dict of str to str
            Data centres by VM.
        max_seeds : int
            Largest number of earlier daemons that a new one gets as its first peers.
        **settings
            Settings of the daemons.
        """
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        session = Session(Path(folder.name))
        session.max_seeds = max_seeds
        self.addCleanup(session.processes.stop_all)
        session.start_targets([DESK, WATERING])
        for vm, data_centre in vms.items():
            session.start_daemon(vm, data_centre, **settings)
        session.publish_layouts([DESK, WATERING], "tallinn")
        session.wait_ready(objects=17)
        return session

    def count_executions(self, session: Session, request_id: str) -> int:
        """Return how many times all targets together have run a request."""
        names = [f"watering-rota.{n}" for n in (1, 2, 3)]
        counts = (session.control(name)["executions"] for name in names)
        return sum(executions.get(request_id, 0) for executions in counts)


class TestAtMostOnce(ProcessTestCase):
    """Non-idempotent requests run at most once."""

    @proof("at most once", "repeats through all VMs at the same moment")
    def test_simultaneous_repeats_run_once(self):
        session = self.start({"a1": "tallinn", "a2": "tallinn", "b1": "tartu"})
        for target in ("watering-rota.1", "watering-rota.2", "watering-rota.3"):
            session.control(target, work_ms=100.0)
        request_id = session.callers["a1"].post("/v1/ids", {}).body["ids"][0]
        body = {**NOTE, "request_id": request_id}
        callers = list(session.callers.values()) * 4
        with ThreadPoolExecutor(12) as pool:
            replies = list(pool.map(lambda c: c.post("/v1/write", body), callers))
        assert {reply.body["outcome"] for reply in replies} == {"done"}
        assert self.count_executions(session, request_id) == 1

    @proof("at most once", "the VM is killed before, during and after dispatch")
    def test_killed_issuer_makes_outcomes_unknown(self):
        session = self.start({"a1": "tallinn", "a2": "tallinn"})
        for target in ("watering-rota.1", "watering-rota.2", "watering-rota.3"):
            session.control(target, work_ms=400.0)
        ids = session.callers["a1"].post("/v1/ids", {"count": 3}).body["ids"]
        before, during, after = ({**NOTE, "request_id": name} for name in ids)
        assert session.callers["a1"].post("/v1/write", after).status == 200
        with ThreadPoolExecutor(1) as pool:
            pending = pool.submit(session.callers["a2"].post, "/v1/write", during)
            session.wait_until(lambda: self.count_executions(session, ids[1]) == 1)
            session.daemons["a1"].kill()
            assert pending.result().body["error"]["code"] == "issuer_gone"
        for body in (before, during, after):
            reply = session.callers["a2"].post("/v1/write", body)
            assert reply.body["error"]["outcome"] == "unknown"
        counts = [self.count_executions(session, name) for name in ids]
        assert counts == [0, 1, 1]

    @proof("at most once", "a VM is replaced at the same address")
    def test_replaced_vm_does_not_run_old_ids(self):
        session = self.start({"a1": "tallinn", "a2": "tallinn"})
        request_id = session.callers["a1"].post("/v1/ids", {}).body["ids"][0]
        ports = session.daemons["a1"].ready
        session.daemons["a1"].kill()
        session.start_daemon(
            "a1", "tallinn", api_port=ports["api_port"], peer_port=ports["peer_port"]
        )
        session.wait_ready(objects=17)
        body = {**NOTE, "request_id": request_id}
        for vm in ("a1", "a2"):
            reply = session.callers[vm].post("/v1/write", body)
            assert reply.body["error"]["outcome"] == "unknown"
        assert self.count_executions(session, request_id) == 0

    @proof("at most once", "the VM that is asked has no link with the issuer")
    def test_issuer_without_direct_link_runs_request_once(self):
        session = self.start({f"a{n}": "tallinn" for n in range(6)}, 1, degree=2)
        statuses = {vm: c.get("/status").body for vm, c in session.callers.items()}
        linked = statuses["a0"]["peers"]["links"]
        [unlinked, *_] = [vm for vm in statuses if vm != "a0" and vm not in linked]
        request_id = session.callers["a0"].post("/v1/ids", {}).body["ids"][0]
        body = {**NOTE, "request_id": request_id}
        for vm in (unlinked, "a0", unlinked):
            assert session.callers[vm].post("/v1/write", body).body["outcome"] == "done"
        assert self.count_executions(session, request_id) == 1

    @proof("at most once", "a process is frozen under a request and woken late")
    def test_frozen_issuer_runs_request_once(self):
        session = self.start({"a1": "tallinn", "a2": "tallinn"})
        for target in ("watering-rota.1", "watering-rota.2", "watering-rota.3"):
            session.control(target, work_ms=300.0)
        request_id = session.callers["a1"].post("/v1/ids", {}).body["ids"][0]
        body = {**NOTE, "request_id": request_id}
        with ThreadPoolExecutor(2) as pool:
            first = pool.submit(session.callers["a1"].post, "/v1/write", body)
            session.wait_until(lambda: self.count_executions(session, request_id) == 1)
            session.daemons["a1"].signal(signal.SIGSTOP)
            reply = session.callers["a2"].post(
                "/v1/write", {**body, "deadline_ms": 500}
            )
            assert reply.body["error"]["outcome"] == "unknown"
            time.sleep(2.0)
            session.daemons["a1"].signal(signal.SIGCONT)
            assert first.result().status in (200, 502)
        repeat = session.callers["a1"].post("/v1/write", body)
        assert repeat.status == first.result().status
        assert self.count_executions(session, request_id) == 1
        pauses = session.callers["a1"].get("/status").body["process"]["pauses"]
        assert pauses >= 1

    @proof('"not run" is true', "every refusal that the faults produce, over processes")
    def test_outcomes_match_executions(self):
        session = self.start({"a1": "tallinn"})
        names = ["watering-rota.1", "watering-rota.2", "watering-rota.3"]
        faults = [
            {"draining": False, "shed_share": 1.0},
            {"shed_share": 0.0, "bad_answer": "crossed"},
            {"bad_answer": "", "frozen": True},
            {"frozen": False, "shed_share": 0.5},
        ]
        outcomes = {"done": 0, "not_run": 0, "unknown": 0}
        for fault in faults:
            for name in names:
                session.control(name, **fault)
            for _ in range(6):
                request_id = session.callers["a1"].post("/v1/ids", {}).body["ids"][0]
                body = {**NOTE, "request_id": request_id, "deadline_ms": 300}
                outcome = session.callers["a1"].post("/v1/write", body).body["outcome"]
                outcomes[outcome] += 1
                if outcome == "not_run":
                    assert self.count_executions(session, request_id) == 0
                elif outcome == "done":
                    assert self.count_executions(session, request_id) == 1
        assert min(outcomes.values()) > 0, outcomes


class TestDrainingTargets(ProcessTestCase):
    """A draining target gets no new work once every VM knows that it drains.

    `make bench` measures how long that takes; the bound is three seconds.
    """

    def check_gets_no_reads(self, session: Session, target: str) -> None:
        """Wait until every VM knows that a target drains, and check that reads stop."""
        path = f"/v1/targets/{target}"
        for caller in session.callers.values():
            session.wait_until(
                lambda caller=caller: caller.get(path).body["leaving"] is True
            )
        before = session.control(target)["counts"].get("reads", 0)
        for caller in session.callers.values():
            for _ in range(20):
                assert (
                    caller.post("/v1/search", SEARCH).body["coverage"]["share"] == 1.0
                )
        assert session.control(target)["counts"].get("reads", 0) == before

    @proof("leaving targets", "only a ticket marks the target, over processes")
    def test_draining_by_ticket_stops_reads(self):
        session = self.start({"a1": "tallinn", "b1": "tartu"})
        plan = plan_targets(DESK)[2]
        port = session.targets[plan.name].ready["port"]
        session.publish([make_target_change(plan, port, "tallinn", leaving=True)])
        self.check_gets_no_reads(session, plan.name)

    @proof("leaving targets", "one VM saw a refusal; the report lies; the list lags")
    def test_own_refusal_stops_reads_of_all_vms(self):
        session = self.start({"a1": "tallinn", "b1": "tartu"})
        target = plan_targets(DESK)[2].name
        session.control(target, draining=True, lies_serving=True)
        caller = session.callers["a1"]
        session.wait_until(
            lambda: self.search_and_check_refused(session, caller, target)
        )
        session.control(target, draining=False)
        self.check_gets_no_reads(session, target)

    def search_and_check_refused(
        self, session: Session, caller: Caller, target: str
    ) -> bool:
        """Search, and return True if the target has refused a read by now."""
        caller.post("/v1/search", SEARCH)
        return session.control(target)["counts"].get("draining", 0) > 0


class TestPlannedStop(ProcessTestCase):
    """A planned stop of a VM fails no request."""

    @proof("planned stop", "every VM is replaced in turn under load")
    def test_rolling_replacement_fails_no_request(self):
        session = self.start(
            {"a1": "tallinn", "a2": "tallinn"}, drain_lag_ms=700, log_level="warning"
        )
        for name in session.targets:
            session.control(name, work_ms=15.0)
        balancer = LoadBalancer(session)
        with ThreadPoolExecutor(8) as pool:
            tasks = [pool.submit(balancer.run) for _ in range(6)]
            for vm in ("a1", "a2"):
                time.sleep(0.5)
                assert session.daemons[vm].stop(timeout=30) == 0
                session.start_daemon(vm, "tallinn", drain_lag_ms=700)
                session.wait_until(lambda vm=vm: session.is_ready(vm))
                balancer.refresh_ready()
            time.sleep(0.5)
            balancer.stopped = True
            counts = [task.result() for task in tasks]
        assert sum(count for count, _ in counts) > 50
        assert [failure for _, failures in counts for failure in failures] == []


class LoadBalancer:
    """Sends requests to ready VMs in turn; its view of readiness may be outdated."""

    REFRESH_INTERVAL_S = 0.2

    def __init__(self, session: Session):
        self.session = session
        self.stopped = False
        self.ready: list[str] = []
        self.refreshed_at = 0.0
        self.refresh_ready()

    def refresh_ready(self) -> None:
        """Ask each VM whether it is ready, and use only those from now on."""
        self.refreshed_at = time.monotonic()
        ready = []
        for vm in list(self.session.callers):
            try:
                if self.session.is_ready(vm):
                    ready.append(vm)
            except Exception:
                continue
        self.ready = ready

    def run(self) -> tuple[int, list]:
        """Send searches until stopped; return their number and the failures."""
        count, failures = 0, []
        while not self.stopped:
            if time.monotonic() - self.refreshed_at > self.REFRESH_INTERVAL_S:
                self.refresh_ready()
            vm = self.ready[count % len(self.ready)]
            caller = self.session.callers[vm]
            try:
                reply = caller.post("/v1/search", SEARCH)
                if reply.status != 200 or reply.body["coverage"]["share"] < 1.0:
                    failures.append((vm, reply))
            except Exception as error:
                failures.append((vm, repr(error)))
            count += 1
        return count, failures


class TestPlatform(ProcessTestCase):
    """Tickets come into force while the platform is down, stale or frozen."""

    def wait_for_ticket(self, session: Session, number: int) -> None:
        """Wait until every VM has a ticket in force; `make bench` measures the time."""
        for caller in session.callers.values():
            session.wait_until(
                lambda caller=caller: (
                    caller.get("/status").body["tickets"]["highest"] >= number
                )
            )

    @proof("tickets", "a ticket is published while one VM's links are new")
    def test_ticket_is_in_force_everywhere(self):
        session = self.start({"a1": "tallinn", "a2": "tallinn", "b1": "tartu"})
        for plan in plan_targets(DESK)[:3]:
            port = session.targets[plan.name].ready["port"]
            number = session.publish([make_target_change(plan, port, "tartu")])
            self.wait_for_ticket(session, number)

    @proof("cut off", "the platform is down for long; a new VM joins")
    def test_new_vm_becomes_ready_without_platform(self):
        session = self.start({"a1": "tallinn", "a2": "tallinn"})
        session.platform.kill()
        session.start_daemon("a3", "tallinn")
        session.wait_ready(objects=17)
        for caller in session.callers.values():
            reply = caller.post("/v1/search", SEARCH)
            assert reply.body["coverage"]["share"] == 1.0

    @proof("tickets", "the platform serves old values after all VMs were replaced")
    def test_new_vm_gets_newer_ticket_than_stale_platform(self):
        session = self.start({"a1": "tallinn", "b1": "tartu"})
        plan = plan_targets(DESK)[0]
        port = session.targets[plan.name].ready["port"]
        first = session.platform_control.post("/", {}).body["revision"]
        number = session.publish([make_target_change(plan, port, "moved")])
        self.wait_for_ticket(session, number)
        session.platform_control.post("/", {"stale_at": first})
        session.daemons.pop("a1").kill()
        del session.callers["a1"]
        session.start_daemon("a2", "tallinn")
        self.wait_for_ticket(session, number)
        session.platform_control.post("/", {"stale_at": None})
        later = session.publish([make_target_change(plan, port, "again")])
        self.wait_for_ticket(session, later)

    @proof("tickets", "the reader's watch goes silent")
    def test_ticket_spreads_after_frozen_watch(self):
        session = self.start({"a1": "tallinn", "a2": "tallinn"})
        session.platform_control.post("/", {"frozen": True})
        time.sleep(1.0)
        plan = plan_targets(DESK)[0]
        port = session.targets[plan.name].ready["port"]
        number = session.publish([make_target_change(plan, port, "moved")])
        session.platform_control.post("/", {"frozen": False})
        self.wait_for_ticket(session, number)

    def test_malformed_ticket_is_reported_and_not_applied(self):
        session = self.start({"a1": "tallinn"})
        session.platform_control.post(
            "/", {"key": "tickets/9", "value": '{"ticket": 9}'}
        )
        caller = session.callers["a1"]
        session.wait_until(lambda: caller.get("/status").body["tickets"]["refused"])
        tickets = caller.get("/status").body["tickets"]
        assert "changes" in tickets["refused"]["tickets/9"][0]
        assert tickets["highest"] == 1

    def test_value_above_a_megabyte_is_refused(self):
        session = self.start({"a1": "tallinn"})
        body = {"key": "tickets/9", "value": "x" * 1_000_001}
        assert session.platform_control.post("/", body).status == 413


class TestSilentConnections(ProcessTestCase):
    """Connections that stop answering, while new ones work, are replaced."""

    @proof("true coverage", "all open target connections go silent, over processes")
    def test_silent_target_connections_are_replaced(self):
        session = self.start({"a1": "tallinn"})
        caller = session.callers["a1"]
        for _ in range(30):
            caller.post("/v1/search", SEARCH)
        for name in session.targets:
            session.control(name, silence=True)
        body = {**SEARCH, "deadline_ms": 2000}
        caller.post("/v1/search", body)
        session.wait_until(
            lambda: caller.post("/v1/search", body).body["coverage"]["share"] == 1.0
        )

    @proof("cut off", "a peer goes silent")
    def test_silent_peer_is_dropped_and_linked_again(self):
        session = self.start({"a1": "tallinn", "a2": "tallinn"})
        caller = session.callers["a1"]
        session.daemons["a2"].signal(signal.SIGSTOP)

        def links() -> list:
            """Return the links of the VM that is not suspended."""
            return caller.get("/status").body["peers"]["links"]

        session.wait_until(lambda: links() == [])
        assert caller.post("/v1/search", SEARCH).body["coverage"]["share"] == 1.0
        session.daemons["a2"].signal(signal.SIGCONT)
        session.wait_until(
            lambda: caller.get("/status").body["peers"]["links"] == ["a2"]
        )
