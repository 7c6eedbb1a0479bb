"""One request of a caller, as the adapter decoded it."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """What a caller asked.

    Parameters
    ----------
    attempt : str
        The caller's identity of this attempt.
    host : str
        Host in lower case, without a port.
    path : str
        Path without the query.
    patience : float or None
        Seconds that the caller will wait; None if it did not say.
    received : float
        Time in seconds at which the whole request had been read.
    travel : float
        Seconds that the request took to arrive and that its answer will take.
    head : bytes
        Beginning of the request to any target, as the adapter words it.
    body : bytes
        Body of the request to any target.
    """

    attempt_id: str
    host: str
    path: str
    caller_timeout: float | None
    received_at: float
    caller_rtt: float = 0.0
    head: bytes = b""
    body: bytes = b""
