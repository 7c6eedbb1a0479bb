"""Measures the slopes that docs/CAPACITY.md cites, and writes docs/slopes.json."""

import eventlet

eventlet.monkey_patch()

import sys  # noqa: E402
from pathlib import Path  # noqa: E402

import orjson  # noqa: E402
from loguru import logger  # noqa: E402

from . import daemon, limits, links, notices, state  # noqa: E402

MODULES = {
    "state": state,
    "links": links,
    "limits": limits,
    "notices": notices,
    "daemon": daemon,
}
OUTPUT_PATH = Path("docs") / "slopes.json"


def main() -> None:
    """Measure the modules named on the command line, by default all.

    Slopes of the other modules stay in the file as they are.
    """
    logger.remove()
    document = orjson.loads(OUTPUT_PATH.read_bytes()) if OUTPUT_PATH.exists() else {}
    for name in sys.argv[1:] or MODULES:
        slopes = MODULES[name].measure_all()
        document[name] = [slope.to_dict() for slope in slopes]
        for slope in slopes:
            print(f"{slope.slope:12.5g} {slope.base:12.5g}  {slope.name}", flush=True)
    options = orjson.OPT_INDENT_2 | orjson.OPT_SORT_KEYS
    OUTPUT_PATH.write_bytes(orjson.dumps(document, option=options) + b"\n")


if __name__ == "__main__":
    main()
