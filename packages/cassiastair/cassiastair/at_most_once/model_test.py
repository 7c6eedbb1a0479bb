"""Stateful model of non-idempotent requests in a cluster of failing VMs.

Hypothesis interleaves tries and repeats of callers through any VM with lost messages,
partitions, replacements of VMs at the same address and pauses of all processes. After
each step, no request may have run twice and each reply to a caller must be true.
"""

import os
import random
from unittest import mock

import eventlet
import pytest
from eventlet.event import Event
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    Bundle,
    RuleBasedStateMachine,
    invariant,
    multiple,
    rule,
    run_state_machine_as_test,
)
from testtools import TestCase

from ..clock import ManualClock
from ..data import Outcome
from ..errors import CassiastairError, WriteUnknownError
from ..pauses import PauseDetector
from ..search.observer import TargetObserver
from ..targets import BrokenFailure, ConnectFailure, PowerOfTwoChooser, RefusedFailure
from ..targets.client import TargetClient
from ..testing.engine_bench import ROOT_TRACE, EngineBench, make_target
from ..testing.virtual_time import run_in_virtual_time
from ..traces import NoOpTracer
from .issuer import RequestIdIssuer, _RequestState
from .writer import Writer, WriteRequest

VM_NAMES = ("vm1", "vm2", "vm3")
DEADLINE_S = 5.0

CI = settings(
    max_examples=150,
    stateful_step_count=40,
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
    report_multiple_bugs=False,
)
EXPLORE = settings(CI, max_examples=5000, derandomize=False)
PROFILE = EXPLORE if os.environ.get("HYPOTHESIS_PROFILE") == "explore" else CI
GENERATE_ONLY = settings(CI, phases=[Phase.generate], max_examples=1000)


class ControlledClient(TargetClient):
    """Client whose writes block until the model decides their result."""

    def __init__(self):
        self.pending: list[tuple[Event, str]] = []
        self.executions: dict[str, int] = {}

    def write(self, target, attempt, request_id: str) -> dict:
        """Wait for the decision of the model, then run, refuse or fail."""
        event = Event()
        self.pending.append((event, request_id))
        result = event.wait()
        if result in ("run", "run_lost"):
            self.executions[request_id] = self.executions.get(request_id, 0) + 1
        if result == "run":
            return {"noted": True}
        if result == "connect":
            raise ConnectFailure("refused")
        if result == "shed":
            raise RefusedFailure("shed", "shed", "run-1")
        raise BrokenFailure("lost")

    def read(self, target, attempt):
        """Not used."""
        raise NotImplementedError

    def cancel(self, target, attempt_id) -> None:
        """Not used."""

    def fetch_report(self, target, timeout):
        """Not used."""
        raise NotImplementedError


class ModelVm:
    """One incarnation of a VM, with its issuer and writer."""

    def __init__(self, name: str, incarnation: int, cluster: "Cluster"):
        bench = cluster.bench
        self.name = name
        self.is_replaced = False
        self.pauses = PauseDetector(cluster.clock)
        self.issuer = RequestIdIssuer(name, f"run{incarnation}", cluster.clock)
        self.writer = Writer(
            registry=bench.registry,
            client=cluster.client,
            chooser=PowerOfTwoChooser(random.Random(1)),
            observer=TargetObserver(bench.held, bench.draining_targets, cluster.clock),
            pauses=self.pauses,
            tracer=NoOpTracer(),
            clock=cluster.clock,
            rng=random.Random(2),
        )


class Cluster:
    """VMs and targets, and the outcomes in the replies to callers."""

    def __init__(self, clock):
        self.clock = clock
        self.bench = EngineBench(clock)
        self.bench.set_up(services=1, replicas=0)
        targets = [make_target("s0", n, slots=1000) for n in range(2)]
        self.bench.apply(2, *targets)
        self.client = ControlledClient()
        self.incarnations = 0
        self.vms: dict[str, ModelVm] = {}
        self.replies: list[tuple[str, Outcome]] = []
        for name in VM_NAMES:
            self.replace(name)

    def replace(self, name: str) -> None:
        """Replace a VM; pending writes of the old incarnation may still run."""
        self.incarnations += 1
        if name in self.vms:
            self.vms[name].is_replaced = True
        self.vms[name] = ModelVm(name, self.incarnations, self)

    def send(self, entry: str, request_id, is_cut_off: bool) -> None:
        """Send a request through a VM, which forwards it to the issuer of its id.

        A VM that is cut off cannot forward and replies that the outcome is unknown.
        """
        vm = self.vms[entry]
        issuer_vm = self.vms[request_id.vm]
        if vm is not issuer_vm and is_cut_off:
            self.replies.append((str(request_id), Outcome.UNKNOWN))
            return
        if not issuer_vm.issuer.has_issued(request_id):
            self.replies.append((str(request_id), Outcome.UNKNOWN))
            return
        eventlet.spawn(self._run, issuer_vm, request_id)

    def _run(self, vm: ModelVm, request_id) -> None:
        """Run a request at its issuer and record the outcome that the caller gets."""
        request = WriteRequest(
            str(request_id),
            self.bench.state.catalogue.services["s0"],
            1,
            {},
            self.clock.now() + DEADLINE_S,
            ROOT_TRACE,
        )
        try:
            result = vm.issuer.run_once(
                request_id, b"x", lambda: vm.writer.run(request)
            )
        except CassiastairError as error:
            self.replies.append((str(request_id), Outcome(error.outcome)))
            return
        if not vm.is_replaced:  # a replaced VM sends no reply
            self.replies.append((str(request_id), result.outcome))


class AtMostOnceModel(RuleBasedStateMachine):
    """Interleavings of tries, repeats, lost messages, replacements and pauses."""

    ids = Bundle("ids")

    def __init__(self):
        super().__init__()
        self.cluster = Cluster(ManualClock())

    @rule(target=ids, vm=st.sampled_from(VM_NAMES))
    def issue(self, vm):
        """Issue a request id."""
        try:
            return self.cluster.vms[vm].issuer.issue()
        except CassiastairError:
            return multiple()

    @rule(request_id=ids, entry=st.sampled_from(VM_NAMES), chance=st.integers(0, 3))
    def send(self, request_id, entry, chance):
        """Try or repeat a request through any VM, which is cut off in 1 of 4 cases."""
        self.cluster.send(entry, request_id, chance == 3)
        eventlet.sleep(0)

    @rule(
        position=st.integers(0, 5),
        result=st.sampled_from(["run", "run_lost", "lost", "connect", "shed"]),
    )
    def resolve(self, position, result):
        """Decide the result of a pending write; writes end in any order."""
        pending = self.cluster.client.pending
        if pending:
            event, _ = pending.pop(position % len(pending))
            event.send(result)
            eventlet.sleep(0)
            eventlet.sleep(0)

    @rule(vm=st.sampled_from(VM_NAMES), chance=st.integers(0, 3))
    def replace(self, vm, chance):
        """Replace a VM at the same address, in 1 of 4 cases."""
        if chance == 3:
            self.cluster.replace(vm)

    @rule(seconds=st.sampled_from([0.1, 0.1, 0.1, 0.1, 2.0, 1000.0]))
    def pause(self, seconds):
        """Advance the clock, as if all processes had been paused."""
        self.cluster.clock.advance(seconds)

    @rule()
    def contact_peers(self):
        """Let each VM detect a pause and then receive a message of a peer."""
        for vm in self.cluster.vms.values():
            vm.pauses.check()
            vm.pauses.record_contact()

    @invariant()
    def no_request_ran_twice(self):
        """Check that no target ran the request of an id a second time."""
        assert all(count == 1 for count in self.cluster.client.executions.values())

    @invariant()
    def replies_are_true(self):
        """Check that a request replied as done ran, and one as not_run did not."""
        for request_id, outcome in self.cluster.replies:
            count = self.cluster.client.executions.get(request_id, 0)
            if outcome is Outcome.DONE:
                assert count == 1
            elif outcome is Outcome.NOT_RUN:
                assert count == 0


def run_model(profile: settings = PROFILE) -> None:
    """Run the model in virtual time."""
    run_in_virtual_time(
        lambda clock: run_state_machine_as_test(AtMostOnceModel, settings=profile)
    )


def expect_violation(test: TestCase) -> None:
    """Check that the model fails while a protection is disabled."""
    test.assertRaises(AssertionError, run_model, GENERATE_ONLY)


class TestAtMostOnce(TestCase):
    """The model holds, and fails as soon as one protection is disabled."""

    @pytest.mark.proof(
        promise="at most once",
        failure="repeats anywhere, VMs replaced, frozen, cut off; answers lost",
    )
    @pytest.mark.proof(
        promise='"not run" is true', failure="refusals, lost answers, late wake-ups"
    )
    def test_model_keeps_its_invariants(self):
        run_model()

    def test_model_detects_a_retry_after_a_lost_answer(self):
        with mock.patch.object(BrokenFailure, "proves_not_run", True):
            expect_violation(self)

    def test_model_detects_an_issuer_without_memory(self):
        def run_again(issuer, request_id, body, run):
            return run()

        with mock.patch.object(RequestIdIssuer, "run_once", run_again):
            expect_violation(self)

    def test_model_detects_a_false_not_run(self):
        with mock.patch.object(WriteUnknownError, "outcome", "not_run"):
            expect_violation(self)

    def test_model_detects_a_replacement_that_runs_foreign_ids(self):
        def find_or_make(issuer, request_id):
            return issuer._states.setdefault(request_id.sequence, _RequestState(0.0))

        with (
            mock.patch.object(RequestIdIssuer, "has_issued", lambda *_: True),
            mock.patch.object(RequestIdIssuer, "_find_state", find_or_make),
        ):
            expect_violation(self)
