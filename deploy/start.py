"""Runs the entry daemon from a source tree whose packages are not installed."""

import os
import sys

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
for package_root in ("packages/cassiastair", "packages/cassiastaird", "platform"):
    sys.path.insert(0, os.path.join(ROOT, package_root))

from cassiastair_platform.__main__ import main  # noqa: E402

if __name__ == "__main__":
    main()
