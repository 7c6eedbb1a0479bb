"""Fakes for tests of programs that embed the library."""

from .fake_targets import FakeTarget, FakeTargets, find_expected
from .virtual_time import in_virtual_time, run_in_virtual_time

__all__ = [
    "FakeTarget",
    "FakeTargets",
    "find_expected",
    "in_virtual_time",
    "run_in_virtual_time",
]
