"""Test support: targets in memory, virtual time, and preassembled engines.

The names exported here are for tests of programs that embed the library. The other
modules serve the library's own tests.
"""

from .fake_targets import FakeTarget, FakeTargets, find_expected
from .virtual_time import in_virtual_time, run_in_virtual_time

__all__ = [
    "FakeTarget",
    "FakeTargets",
    "find_expected",
    "in_virtual_time",
    "run_in_virtual_time",
]
