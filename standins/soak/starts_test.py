"""Tests of the cases of starts, and a short run of them."""

import signal
import tempfile
from pathlib import Path

from testtools import TestCase

from .start_cases import MAX_SIGNAL_AGE_S, SIGNALS, draw_cases
from .start_run import StartRun

SEED = 1


class TestStartCases(TestCase):
    """Cases drawn from seeds."""

    def test_same_seed_draws_same_cases(self):
        assert draw_cases(7, 5, 2) == draw_cases(7, 5, 2)
        assert draw_cases(7, 5, 2) != draw_cases(8, 5, 2)

    def test_cases_have_all_signals_over_the_whole_time(self):
        cases = draw_cases(7, 200, 0)
        assert {case.signal_number for case in cases} == set(SIGNALS)
        assert min(case.moment_s for case in cases) < 0.1
        assert max(case.moment_s for case in cases) > MAX_SIGNAL_AGE_S - 0.1

    def test_overlapped_cases_follow_the_others(self):
        cases = draw_cases(7, 3, 2)
        assert [case.is_overlapped for case in cases] == [False] * 3 + [True] * 2
        assert [case.number for case in cases] == list(range(5))
        assert cases[-1].signal_number == signal.SIGTERM


class TestStarts(TestCase):
    """VMs end by request only and are ready afterwards on the newest settings."""

    def test_signals_and_overlaps_at_a_start_end_no_vm(self):
        with tempfile.TemporaryDirectory() as folder:
            results = StartRun(draw_cases(SEED, 6, 2), Path(folder), at_once=3).run()
        failed = [result for result in results if result.violations]
        assert failed == [], f"seed {SEED}"
        assert len(results) == 8
