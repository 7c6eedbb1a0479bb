"""Tests of the plays of a reused address and of their plot."""

import tempfile
from pathlib import Path

from testtools import TestCase

from .play import play_reuse
from .plot import write_plot
from .policies import POLICIES, Asking, Forgetful, Remembering

VM_COUNT = 30


class TestReuse(TestCase):
    """Requests that reach a reused address, by policy."""

    def count(self, policy, seed: int = 1) -> int:
        """Return how many requests reach the address."""
        return play_reuse(policy, VM_COUNT, seed).stray_count

    def test_each_vm_that_remembers_sends_one_request_at_most(self):
        for seed in (1, 2, 3):
            assert self.count(Remembering(), seed) <= VM_COUNT
            assert self.count(Asking(), seed) <= VM_COUNT

    def test_vms_that_back_off_send_more_and_those_that_ask_less(self):
        remembering = self.count(Remembering())
        assert self.count(Forgetful()) > 2 * remembering
        assert self.count(Asking()) < remembering / 2

    def test_the_same_seed_has_the_same_result(self):
        assert self.count(Asking()) == self.count(Asking())


class TestPlot(TestCase):
    """File with the plot."""

    def test_the_plot_is_written(self):
        results = [play_reuse(p, count) for count in (2, 4) for p in POLICIES]
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "reuse.png"
            write_plot(results, path)
            assert path.read_bytes().startswith(b"\x89PNG")
