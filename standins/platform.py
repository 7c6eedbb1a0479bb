"""Runs the stand-in of the platform's configuration service in a process of its own."""

import eventlet

eventlet.monkey_patch()

import sys  # noqa: E402

import orjson  # noqa: E402

from .platform_server import PlatformServer  # noqa: E402


def main(port: str = "0") -> None:
    """Print the ports as one line of JSON and serve until the process is killed."""
    server = PlatformServer(port=int(port))
    server.start()
    line = {"port": server.port, "control_port": server.control_port}
    print(orjson.dumps(line).decode(), flush=True)
    while True:
        eventlet.sleep(3600)


if __name__ == "__main__":
    main(*sys.argv[1:])
