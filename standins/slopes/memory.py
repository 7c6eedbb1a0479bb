"""Prints the resident memory of this process after it has loaded a state."""

import gc
import json
import sys
from pathlib import Path

PAGE_BYTES = 4096


def main(loader_name: str, count: str) -> None:
    """Load a state and print the resident memory as JSON.

    Parameters
    ----------
    loader_name : str
        Key of `LOADERS` in the module `state`.
    count : str
        Number of targets or VMs in the state.
    """
    from .state import LOADERS

    loaded = LOADERS[loader_name](int(count))
    gc.collect()
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    print(json.dumps({"bytes": pages * PAGE_BYTES}))
    del loaded


if __name__ == "__main__":
    main(*sys.argv[1:])
