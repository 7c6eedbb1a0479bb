"""Runs the entry daemon from a source tree whose packages are not installed."""

import signal

# Blocked first of all, until `SignalInbox` receives them.
signal.pthread_sigmask(signal.SIG_BLOCK, (signal.SIGHUP, signal.SIGINT, signal.SIGTERM))

import os  # noqa: E402
import sys  # noqa: E402

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
for package_root in ("packages/cassiastair", "packages/cassiastaird", "platform"):
    sys.path.insert(0, os.path.join(ROOT, package_root))

from cassiastair_platform.__main__ import main  # noqa: E402

if __name__ == "__main__":
    main()
