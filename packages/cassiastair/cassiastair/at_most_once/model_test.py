"""A model of non-idempotent requests: VMs are replaced, frozen, cut off, woken late.

Hypothesis interleaves callers' tries and repeats through any VM with losses of
messages, replacements at the same address and late wake-ups. After every step no
id may have run twice, and nothing that a caller was told may turn out false.
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
from .issuer import RequestIdIssuer, _Slot
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
FIND_ONLY = settings(CI, phases=[Phase.generate], max_examples=1000)


class SteppedClient(TargetClient):
    """Client whose writes wait for the model to say what becomes of them."""

    def __init__(self):
        self.waiting: list[tuple[Event, str]] = []
        self.executions: dict[str, int] = {}

    def write(self, target, attempt, request_id: str) -> dict:
        """Wait for the model's word, then run, refuse or fail."""
        event = Event()
        self.waiting.append((event, request_id))
        fate = event.wait()
        if fate in ("run", "run_lost"):
            self.executions[request_id] = self.executions.get(request_id, 0) + 1
        if fate == "run":
            return {"noted": True}
        if fate == "connect":
            raise ConnectFailure("refused")
        if fate == "shed":
            raise RefusedFailure("shed", "shed", "run-1")
        raise BrokenFailure("lost")

    def read(self, target, attempt):
        """Not used."""
        raise NotImplementedError

    def cancel(self, target, attempt) -> None:
        """Not used."""

    def fetch_report(self, target, timeout):
        """Not used."""
        raise NotImplementedError


class ModelVm:
    """One incarnation of a VM: its issuer and writer."""

    def __init__(self, name: str, run: int, world: "World"):
        bench = world.bench
        self.name = name
        self.dead = False
        self.pauses = PauseDetector(world.clock)
        self.issuer = RequestIdIssuer(name, f"run{run}", world.clock)
        self.writer = Writer(
            registry=bench.fleet,
            client=world.client,
            chooser=PowerOfTwoChooser(random.Random(1)),
            observer=TargetObserver(bench.held, bench.leaving),
            pauses=self.pauses,
            tracer=NoOpTracer(),
            clock=world.clock,
            rng=random.Random(2),
        )


class World:
    """The VMs, the targets, and what callers were told."""

    def __init__(self, clock):
        self.clock = clock
        self.bench = EngineBench(clock)
        self.bench.set_up(services=1, replicas=0)
        targets = [make_target("s0", n, slots=1000) for n in range(2)]
        self.bench.apply(2, *targets)
        self.client = SteppedClient()
        self.runs = 0
        self.vms: dict[str, ModelVm] = {}
        self.told: list[tuple[str, Outcome]] = []
        for name in VM_NAMES:
            self.replace(name)

    def replace(self, name: str) -> None:
        """Replace a VM; what the old incarnation has under way goes on or dies."""
        self.runs += 1
        if name in self.vms:
            self.vms[name].dead = True
        self.vms[name] = ModelVm(name, self.runs, self)

    def send(self, entry: str, request_id, cut: bool) -> None:
        """Send a request through a VM, which forwards it unless it is cut off."""
        vm = self.vms[entry]
        issuer_vm = self.vms[request_id.vm]
        if vm is not issuer_vm and cut:
            self.told.append((str(request_id), Outcome.UNKNOWN))
            return
        if not issuer_vm.issuer.owns(request_id):
            self.told.append((str(request_id), Outcome.UNKNOWN))
            return
        eventlet.spawn(self._run, issuer_vm, request_id)

    def _run(self, vm: ModelVm, request_id) -> None:
        """Run a request at its issuer and tell the caller."""
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
            self.told.append((str(request_id), Outcome(error.outcome)))
            return
        if not vm.dead:  # a replaced VM tells nobody
            self.told.append((str(request_id), result.outcome))


class AtMostOnceModel(RuleBasedStateMachine):
    """Interleavings of tries, repeats, losses, replacements and pauses."""

    ids = Bundle("ids")

    def __init__(self):
        super().__init__()
        self.world = World(ManualClock())

    @rule(target=ids, vm=st.sampled_from(VM_NAMES))
    def issue(self, vm):
        """Issue an id."""
        try:
            return self.world.vms[vm].issuer.issue()
        except CassiastairError:
            return multiple()

    @rule(request_id=ids, entry=st.sampled_from(VM_NAMES), cut=st.integers(0, 3))
    def send(self, request_id, entry, cut):
        """Try or repeat a request through any VM, in one of four cases cut off."""
        self.world.send(entry, request_id, cut == 3)
        eventlet.sleep(0)

    @rule(
        position=st.integers(0, 5),
        fate=st.sampled_from(["run", "run_lost", "lost", "connect", "shed"]),
    )
    def resolve(self, position, fate):
        """Decide what becomes of a write that is under way, in any order."""
        waiting = self.world.client.waiting
        if waiting:
            event, _ = waiting.pop(position % len(waiting))
            event.send(fate)
            eventlet.sleep(0)
            eventlet.sleep(0)

    @rule(vm=st.sampled_from(VM_NAMES), really=st.integers(0, 3))
    def replace(self, vm, really):
        """Replace a VM at the same address, in one of four cases."""
        if really == 3:
            self.world.replace(vm)

    @rule(seconds=st.sampled_from([0.1, 0.1, 0.1, 0.1, 2.0, 1000.0]))
    def pause(self, seconds):
        """Let time pass for everybody, as if all were frozen and woken late."""
        self.world.clock.advance(seconds)

    @rule()
    def confirm(self):
        """Let all VMs hear from a peer after a pause."""
        for vm in self.world.vms.values():
            vm.pauses.check()
            vm.pauses.record_contact()

    @invariant()
    def nothing_ran_twice(self):
        """No id has run more than once."""
        assert all(count == 1 for count in self.world.client.executions.values())

    @invariant()
    def what_was_told_is_true(self):
        """Done means that it ran, not_run that it did not and never will."""
        for request_id, outcome in self.world.told:
            count = self.world.client.executions.get(request_id, 0)
            if outcome is Outcome.DONE:
                assert count == 1
            elif outcome is Outcome.NOT_RUN:
                assert count == 0


def run_model(profile: settings = PROFILE) -> None:
    """Explore the model in virtual time."""
    run_in_virtual_time(
        lambda clock: run_state_machine_as_test(AtMostOnceModel, settings=profile)
    )


def expect_violation(test: TestCase) -> None:
    """Check that the model finds a protection missing."""
    test.assertRaises(AssertionError, run_model, FIND_ONLY)


class TestAtMostOnce(TestCase):
    """The chosen protocol, and that the model finds its protections missing."""

    @pytest.mark.proof(
        promise="at most once",
        failure="repeats anywhere, VMs replaced, frozen, cut off; answers lost",
    )
    @pytest.mark.proof(
        promise='"not run" is true', failure="refusals, lost answers, late wake-ups"
    )
    def test_model(self):
        run_model()

    def test_model_finds_a_retry_after_silence(self):
        with mock.patch.object(BrokenFailure, "proves_not_run", True):
            expect_violation(self)

    def test_model_finds_an_issuer_without_memory(self):
        def run_again(issuer, request_id, body, run):
            return run()

        with mock.patch.object(RequestIdIssuer, "run_once", run_again):
            expect_violation(self)

    def test_model_finds_a_false_not_run(self):
        with mock.patch.object(WriteUnknownError, "outcome", "not_run"):
            expect_violation(self)

    def test_model_finds_replacements_that_run_foreign_ids(self):
        def find_or_make(issuer, request_id):
            return issuer._slots.setdefault(request_id.sequence, _Slot(0.0))

        with (
            mock.patch.object(RequestIdIssuer, "owns", lambda *_: True),
            mock.patch.object(RequestIdIssuer, "_find", find_or_make),
        ):
            expect_violation(self)
