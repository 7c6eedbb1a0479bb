"""Loads the libraries of the daemon without OpenSSL.

The platform's network is plain TCP, and OpenSSL takes 5 MB in each of thousands of
processes. Libraries load it when they are imported, whether it is used or not; where
it is missing they go without it, and hashes come from Python's own modules.
"""

import sys
from types import ModuleType

OPENSSL_MODULES = ("ssl", "_hashlib")


def load_plain_libraries() -> None:
    """Import eventlet and websockets without OpenSSL, unless it is loaded already.

    An import of a module whose entry is None fails as if it were not installed.
    """
    if "ssl" not in sys.modules:
        for name in OPENSSL_MODULES:
            sys.modules[name] = None
    import eventlet

    eventlet.monkey_patch()
    if sys.modules["ssl"] is None:
        # websockets refers to the module for secure links, which are not used.
        sys.modules["ssl"] = ModuleType("ssl")
        import websockets.sync.client
        import websockets.sync.server  # noqa: F401

        sys.modules["ssl"] = None
