"""Errors that callers and operators see, with a code, an HTTP status and a remedy.

They share a base class, so that the API can convert any of them into a reply.
"""


class CassiastairError(Exception):
    """Base of all errors that callers or operators see.

    Parameters
    ----------
    message : str
        Description of the failure.

    Attributes
    ----------
    code : str
        Stable name of the kind of error, for programs.
    status : int
        HTTP status of the reply.
    remedy : str
        Advice on what the caller or operator can do.
    outcome : str
        ``not_run`` if the request provably did not run, otherwise ``unknown``.
    """

    code = "internal"
    status = 500
    remedy = "report the request id to the operators"
    outcome = "unknown"

    def __init__(self, message: str):
        super().__init__(message)
        self.message = message

    def to_dict(self) -> dict:
        """Return the JSON form of the error."""
        return {
            "code": self.code,
            "message": self.message,
            "remedy": self.remedy,
            "outcome": self.outcome,
        }


class RefusedError(CassiastairError):
    """Base of errors after which the request provably did not run."""

    outcome = "not_run"


class MalformedRequestError(RefusedError):
    """The request is malformed or has invalid values."""

    code = "malformed_request"
    status = 400
    remedy = "correct the body as the API page describes"


class TooLargeError(RefusedError):
    """The body of the request is larger than the limit."""

    code = "too_large"
    status = 413
    remedy = "send a smaller body"


class NotFoundError(RefusedError):
    """The requested path, index, service, target or trace does not exist."""

    code = "not_found"
    status = 404
    remedy = "check the name against the services in force (cassiactl state)"


class OverloadedError(RefusedError):
    """The request is refused early, because it would miss its deadline."""

    code = "overloaded"
    status = 503
    remedy = "retry after a pause, or with a longer deadline"


class MemoryFullError(RefusedError):
    """The request was not taken in, because the memory for requests is full."""

    code = "memory_full"
    status = 503
    remedy = "try again after the time given, or through another entry VM"
    retry_after = 1.0


class StoppingError(RefusedError):
    """The daemon is stopping and accepts no new requests."""

    code = "stopping"
    status = 503
    remedy = "retry through another entry VM"
    retry_after = 0.0  # the other VMs can serve it now


class NotFreshError(RefusedError):
    """The process was paused and its state may still be out of date."""

    code = "not_fresh"
    status = 503
    remedy = "retry in a second or through another entry VM"


class UnissuedIdError(RefusedError):
    """No entry VM issued the request id."""

    code = "unissued_id"
    status = 400
    remedy = "get an id from POST /v1/ids before the first try and repeat with it"


class ReusedIdError(RefusedError):
    """The request id belongs to an earlier request with another body.

    The refused request did not run. The earlier request may have run.
    """

    code = "reused_id"
    status = 409
    remedy = "get a new id for each new request"


class ExpiredIdError(CassiastairError):
    """The request id has expired, so its issuer does not know its outcome any more."""

    code = "expired_id"
    status = 410
    remedy = "check the record; then ask for a new id if the request did not run"


class IssuerGoneError(CassiastairError):
    """The incarnation that issued the request id is gone or cannot be reached."""

    code = "issuer_gone"
    status = 503
    remedy = "check the record before a request under a new id"


class NoSnapshotError(CassiastairError):
    """No snapshot reaches the lowest version that the caller accepts."""

    code = "no_snapshot"
    status = 503
    remedy = "retry after a pause, or with a lower lowest_version"


class LowCoverageError(CassiastairError):
    """The answer covers less of the key space than the caller accepts."""

    code = "low_coverage"
    status = 503
    remedy = "retry, or accept a lower coverage"


class DeadlineError(CassiastairError):
    """The deadline passed before there was an answer."""

    code = "deadline"
    status = 504
    remedy = "retry with a longer deadline"


class WriteNotRunError(RefusedError):
    """No target ran the non-idempotent request."""

    code = "not_run"
    status = 503
    remedy = "repeat the request under a new id"


class WriteUnknownError(CassiastairError):
    """The non-idempotent request may have run, but there is no usable answer."""

    code = "outcome_unknown"
    status = 502
    remedy = "check the record before a request under a new id"


class SettingsError(CassiastairError):
    """One or more settings are invalid."""

    code = "bad_settings"
    remedy = "correct the settings that the message names"


class PeerProtocolError(CassiastairError):
    """A peer sent a malformed or unexpected message."""

    code = "peer_protocol"
    remedy = "run the same release on all VMs"


class NotConfiguredError(RefusedError):
    """The daemon has not received a configuration yet."""

    code = "not_configured"
    status = 503
    remedy = "try again after the time given"
    retry_after = 1.0


class NoRouteError(RefusedError):
    """No route matches the request."""

    code = "no_route"
    status = 404
    remedy = "check host and path against the configuration"


class NoTargetError(RefusedError):
    """No target accepted the request, and none ran it.

    Parameters
    ----------
    message : str
        Description of the failure.
    retry_after : float
        Seconds after which a retry may succeed.
    """

    code = "no_target"
    status = 503
    remedy = "try again after the time given"

    def __init__(self, message: str, retry_after: float):
        super().__init__(message)
        self.retry_after = retry_after


class RunUnknownError(CassiastairError):
    """The request failed at its targets, and at least one may have run it."""

    code = "run_unknown"
    status = 502
    remedy = "repeat it only if it may run twice"


def release_frames(error: BaseException) -> None:
    """Drop the references of an error to the frames that it has passed.

    Their local variables, such as received bytes, live as long as the error. A frame
    that refers to the error keeps both until a collection of garbage.

    Parameters
    ----------
    error : BaseException
        Error that is kept after it was handled; its text is unchanged.
    """
    error.__traceback__ = error.__cause__ = error.__context__ = None
