"""Decoded request of a caller."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """Request of a caller, independent of the format in which it arrived.

    Parameters
    ----------
    attempt_id : str
        ID that the caller gave to this attempt.
    host : str
        Host in lower case, without a port.
    path : str
        Path without the query.
    caller_timeout : float or None
        Seconds that the caller waits for the answer; None if it did not say.
    received_at : float
        Time at which the whole request had been read, in seconds of the clock.
    caller_rtt : float
        Round trip to the caller in seconds.
    head : bytes
        Start of the encoded request, the same for each target.
    body : bytes
        Body of the encoded request, the same for each target.
    """

    attempt_id: str
    host: str
    path: str
    caller_timeout: float | None
    received_at: float
    caller_rtt: float = 0.0
    head: bytes = b""
    body: bytes = b""
