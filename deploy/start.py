"""Puts the workspace's packages on the path and runs the entry daemon."""

import os
import sys

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
for part in ("packages/cassiastair", "packages/cassiastaird", "platform"):
    sys.path.insert(0, os.path.join(ROOT, part))

from cassiastair_platform.__main__ import main  # noqa: E402

if __name__ == "__main__":
    main()
