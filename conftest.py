"""Settings of the test run: green sockets, and the marker of proofs."""

import warnings

warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")

import eventlet  # noqa: E402

eventlet.monkey_patch()


def pytest_configure(config) -> None:
    """Declare the marker that docs/PROOFS.md is checked against."""
    config.addinivalue_line("markers", "proof(promise, failure): proves a promise")
