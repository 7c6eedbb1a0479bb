"""Entry VMs in processes, and a store that comes back from an older copy."""

import signal

import eventlet
import pytest

from .back_end import BackEndSpec
from .cluster import make_desk_route
from .cluster_test import SHARDS, VMS, WAIT_TIMEOUT_S, ClusterTestCase

HEARTBEAT_MS = 30_000  # so that no record is taken for one of a live target meanwhile
LOST_CHANGES = 30  # changes that the copy lacks
REQUEST_COUNT = 20  # requests to each VM that show which targets it uses


class TestRestoredStore(ClusterTestCase):
    """Changes that are written once the store is back."""

    def setUp(self):
        super().setUp()
        for vm in self.cluster.vms.values():
            vm.write_settings(heartbeat_ms=HEARTBEAT_MS)
        self.cluster.start_all()
        self.copy = self.cluster.store.take_copy()
        self.write_others(LOST_CHANGES)
        self.wait_for_news()

    def write_others(self, count: int) -> None:
        """Write a key that concerns no VM."""
        for number in range(count):
            self.cluster.store.put("other/key", number)

    def read_gauge(self, vm: str, name: str) -> float:
        """Return the value of a gauge of a VM."""
        lines = self.cluster.read_metrics(vm).splitlines()
        prefix = f"cassiastair_{name} "
        return next(float(x[len(prefix) :]) for x in lines if x.startswith(prefix))

    def wait_for_news(self) -> None:
        """Wait until all VMs know the store's last change."""
        revision = self.cluster.store.revision
        for vm in VMS:
            self.wait_until(
                lambda vm=vm: self.read_gauge(vm, "news_revision") == revision
            )

    def add_route(self) -> None:
        """Configure a route that no VM knows."""
        new_route = make_desk_route(name="new", prefix="/new/")
        self.cluster.configure([*self.routes, new_route], [*SHARDS, "desk"])

    def check_new_route(self) -> None:
        """Check that all VMs serve the new route in the end."""
        for vm in VMS:
            address = self.cluster.vms[vm].caller_address
            self.wait_until(
                lambda address=address: (
                    self.caller.call(address, "/new/x", method="POST").status == 200
                )
            )

    def check_unused(self, name: str) -> None:
        """Check that no request reaches a target of the desk."""
        back_end = self.cluster.back_ends[name]
        count = len(back_end.requests)
        for vm in VMS:
            for _ in range(REQUEST_COUNT):
                assert self.send_note(vm).status == 200
        assert len(back_end.requests) == count

    def test_configuration_below_the_known_revision_comes_into_force(self):
        self.cluster.store.restore(self.copy)
        self.add_route()
        self.check_new_route()

    @pytest.mark.proof(
        promise="tickets",
        failure="store: comes back from an older copy, over processes",
    )
    def test_configuration_before_the_revision_has_passed_comes_into_force(self):
        self.cluster.store.faults[""] = "reset"
        self.cluster.store.restore(self.copy)
        self.add_route()
        self.write_others(LOST_CHANGES + 10)
        eventlet.sleep(0.2)
        self.cluster.store.faults.clear()
        self.check_new_route()

    @pytest.mark.proof(
        promise="leaving targets",
        failure="store: comes back from an older copy, then they drain, over processes",
    )
    def test_target_that_drains_after_the_return_is_not_used(self):
        self.cluster.store.restore(self.copy)
        count = self.read_gauge("vm0", "targets")
        self.cluster.back_ends["desk-0"].register("draining")
        for vm in VMS:
            self.wait_until(lambda vm=vm: self.read_gauge(vm, "targets") == count - 1)
        self.check_unused("desk-0")

    @pytest.mark.proof(
        promise="leaving targets",
        failure="store: comes back from an older copy that shows them, over processes",
    )
    def test_targets_that_had_left_before_the_return_stay_unused(self):
        count = self.read_gauge("vm0", "targets")
        self.cluster.back_ends["desk-0"].register("draining")
        self.cluster.back_ends["desk-1"].deregister()
        self.wait_for_news()
        self.cluster.store.restore(self.copy)
        self.add_route()
        self.check_new_route()
        for vm in VMS:
            assert self.read_gauge(vm, "targets") == count - 2
        self.check_unused("desk-0")
        self.check_unused("desk-1")

    def test_target_that_the_copy_lacks_serves_on_and_goes_if_it_stays_so(self):
        added = self.cluster.add_back_end(BackEndSpec("desk-new", "desk", "north"))
        self.wait_for_news()
        count = self.read_gauge("vm0", "targets")
        self.cluster.store.restore(self.copy)
        for vm in VMS:
            self.wait_until(lambda vm=vm: self.read_gauge(vm, "news_era") == 1)
        for vm in VMS:
            self.wait_until(lambda vm=vm: self.read_gauge(vm, "targets") == count - 1)
        added.register_again()
        for vm in VMS:
            self.wait_until(lambda vm=vm: self.read_gauge(vm, "targets") == count)

    def test_vm_that_starts_after_the_return_has_the_configuration_of_its_peers(self):
        self.add_route()
        self.check_new_route()
        self.cluster.store.restore(self.copy)
        for vm in VMS:
            self.wait_until(lambda vm=vm: self.read_gauge(vm, "news_unconfirmed") == 1)
        self.cluster.send_signal("vm2", signal.SIGKILL)
        self.cluster.wait_exit("vm2", WAIT_TIMEOUT_S)
        self.cluster.start("vm2")
        self.cluster.wait_ready("vm2")
        self.check_new_route()

    def test_target_that_starts_after_the_return_is_used(self):
        self.cluster.store.restore(self.copy)
        added = self.cluster.add_back_end(BackEndSpec("desk-new", "desk", "north"))
        for vm in VMS:
            count = len(added.requests)
            self.wait_until(
                lambda vm=vm, count=count: (
                    self.send_note(vm).status == 200 and len(added.requests) > count
                )
            )
