"""Client side of the platform's configuration service, from which tickets are read."""

from .entry import PlatformEntry, PlatformPage
from .reader import PlatformReader
from .source import PlatformError, PlatformSource
from .vm_list import VmList, parse_vm_list

__all__ = [
    "PlatformEntry",
    "PlatformError",
    "PlatformPage",
    "PlatformReader",
    "PlatformSource",
    "VmList",
    "parse_vm_list",
]
