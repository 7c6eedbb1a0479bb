"""A short soak with fixed seeds, and each seed that ever failed."""

import os
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from testtools import TestCase

from .plan import KINDS, VMS, draw_plan, pick
from .soak import Soak

SEEDS = (2, 3)  # a failing store with vanishing targets; two reshards with a stop
# Seeds that failed once, each with its cause in a comment.
REGRESSIONS: tuple[int, ...] = ()


class TestPlan(TestCase):
    """Plans are drawn from their seeds."""

    def test_same_seed_same_plan(self):
        assert draw_plan(7) == draw_plan(7)
        assert draw_plan(7) != draw_plan(8)

    def test_all_kinds_come(self):
        drawn = {step.kind for seed in range(60) for step in draw_plan(seed)}
        assert drawn == set(KINDS)

    def test_every_choice_names_something(self):
        """Choices are rounded, so seed 7002 has one of 1.0."""
        assert any(step.choice == 1.0 for step in draw_plan(7002))
        assert pick(["a", "b"], 0.0) == "a"
        assert pick(["a", "b"], 1.0) == "b"


class TestEnds(TestCase):
    """A soak that is ended leaves nothing behind."""

    def test_its_processes_end_with_it(self):
        for number in (signal.SIGINT, signal.SIGTERM):
            soak = subprocess.Popen(
                [sys.executable, "-W", "ignore", "-m", "standins.soak", "--seed", "2"],
                stdout=subprocess.DEVNULL,
                stderr=subprocess.DEVNULL,
                preexec_fn=lambda: signal.signal(signal.SIGINT, signal.SIG_IGN),
            )
            started = wait_for(lambda pid=soak.pid: len(find_children(pid)) == VMS)
            assert started
            children = find_children(soak.pid)
            soak.send_signal(number)
            soak.wait()
            assert wait_for(lambda pids=children: not any(map(is_running, pids)))


class TestSoak(TestCase):
    """The promises hold under faults."""

    def test_seeds(self):
        for seed in (*SEEDS, *REGRESSIONS):
            with tempfile.TemporaryDirectory() as folder:
                assert Soak(seed, Path(folder)).run() == [], f"seed {seed}"


def wait_for(condition, limit: float = 30.0) -> bool:
    """Wait until something holds; tell whether it did within the limit."""
    until = time.monotonic() + limit
    while time.monotonic() < until:
        if condition():
            return True
        time.sleep(0.1)
    return False


def find_children(pid: int) -> list[int]:
    """Return the processes that a process has started."""
    path = Path(f"/proc/{pid}/task/{pid}/children")
    return [int(child) for child in path.read_text().split()]


def is_running(pid: int) -> bool:
    """Tell whether a process runs."""
    try:
        os.kill(pid, 0)
    except ProcessLookupError:
        return False
    return "State:\tZ" not in Path(f"/proc/{pid}/status").read_text()
