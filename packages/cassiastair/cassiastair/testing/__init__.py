"""Test support: targets in memory, virtual time, and preassembled engines.

The names exported here are for tests of programs that embed the library. The other
modules serve the library's own tests.
"""

from .fake_targets import FakeTarget, FakeTargets, list_expected_records
from .virtual_time import in_virtual_time, run_in_virtual_time

__all__ = [
    "FakeTarget",
    "FakeTargets",
    "list_expected_records",
    "in_virtual_time",
    "run_in_virtual_time",
]
