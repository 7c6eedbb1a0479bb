"""Phases of a caller's connection."""

from enum import Enum


class Phase(Enum):
    """What a connection waits for."""

    IDLE = "the next request"
    RECEIVING = "the rest of a request"
    WORKING = "the answer"
    SENDING = "the caller to read the answer"
