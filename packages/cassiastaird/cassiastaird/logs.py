"""Structured logs on standard error, one JSON object per line."""

import sys

import orjson
from loguru import logger


def write_line(message) -> None:
    """Write a loguru message and its extra fields as one JSON line."""
    record = message.record
    line = {
        "time": record["time"].isoformat(timespec="milliseconds"),
        "level": record["level"].name.lower(),
        "event": record["message"],
        **record["extra"],
    }
    if record["exception"] is not None:
        line["exception"] = repr(record["exception"].value)
    sys.__stderr__.write(orjson.dumps(line, default=str).decode() + "\n")
    sys.__stderr__.flush()


def configure_logging(level: str, vm: str) -> None:
    """Send logs of at least a level to standard error, each with the VM's name."""
    logger.remove()
    logger.add(write_line, level=level.upper())
    logger.configure(extra={"vm": vm})
