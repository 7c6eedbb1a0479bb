"""Runs one target stand-in in a process of its own."""

import eventlet

eventlet.monkey_patch()

import sys  # noqa: E402

import orjson  # noqa: E402

from .target_server import TargetServer, parse_settings  # noqa: E402


def main(settings: str, port: str = "0") -> None:
    """Print the ports as one line of JSON and serve until the process is killed."""
    server = TargetServer(parse_settings(settings), port=int(port))
    server.start()
    line = {"port": server.port, "control_port": server.control_port}
    print(orjson.dumps(line).decode(), flush=True)
    while True:
        eventlet.sleep(3600)


if __name__ == "__main__":
    main(*sys.argv[1:])
