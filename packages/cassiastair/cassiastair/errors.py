"""Typed errors with a code, an HTTP status and a remedy.

One base class lets the adapters at the edges turn any of them into an answer.
"""


class CassiastairError(Exception):
    """Base of all errors that callers or operators see.

    Parameters
    ----------
    message : str
        What went wrong.

    Attributes
    ----------
    code : str
        Stable name of the kind of error.
    status : int
        HTTP status of the answer.
    remedy : str
        What the reader can do about it.
    outcome : str
        ``not_run`` if the request provably did not run, else ``unknown``.
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
    """Base of refusals given before any work."""

    outcome = "not_run"


class MalformedRequestError(RefusedError):
    """The request's body cannot be read."""

    code = "malformed_request"
    status = 400
    remedy = "correct the body as the API page describes"


class TooLargeError(RefusedError):
    """The request's body is larger than the limit."""

    code = "too_large"
    status = 413
    remedy = "send a smaller body"


class NotFoundError(RefusedError):
    """No such path, index or service."""

    code = "not_found"
    status = 404
    remedy = "check the name against the services in force (cassiactl state)"


class OverloadedError(RefusedError):
    """The request was refused early because it would miss its deadline."""

    code = "overloaded"
    status = 503
    remedy = "retry after a pause, or with a longer deadline"


class StoppingError(RefusedError):
    """The daemon is stopping and takes no new work."""

    code = "stopping"
    status = 503
    remedy = "retry through another entry VM"


class NotFreshError(RefusedError):
    """The daemon woke from a pause and has not caught up yet."""

    code = "not_fresh"
    status = 503
    remedy = "retry in a second or through another entry VM"


class UnissuedIdError(RefusedError):
    """The request id was not issued by an entry VM."""

    code = "unissued_id"
    status = 400
    remedy = "get an id from POST /v1/ids before the first try and repeat with it"


class ReusedIdError(RefusedError):
    """The request id was used before with another request.

    The refused request did not run; the earlier one under the id may have.
    """

    code = "reused_id"
    status = 409
    remedy = "get a new id for each new request"


class ExpiredIdError(CassiastairError):
    """The issuer no longer knows the request id."""

    code = "expired_id"
    status = 410
    remedy = "check the record; then ask for a new id if the request did not run"


class IssuerGoneError(CassiastairError):
    """The VM that issued the request id cannot be reached."""

    code = "issuer_gone"
    status = 503
    remedy = "check the record before a request under a new id"


class NoSnapshotError(CassiastairError):
    """No snapshot satisfies the caller's lowest version."""

    code = "no_snapshot"
    status = 503
    remedy = "retry after a pause, or with a lower lowest_version"


class LowCoverageError(CassiastairError):
    """The answer covers less than the caller accepts."""

    code = "low_coverage"
    status = 503
    remedy = "retry, or accept a lower coverage"


class DeadlineError(CassiastairError):
    """No answer came within the deadline."""

    code = "deadline"
    status = 504
    remedy = "retry with a longer deadline"


class WriteNotRunError(RefusedError):
    """No target ran the non-idempotent request."""

    code = "not_run"
    status = 503
    remedy = "repeat the request under a new id"


class WriteUnknownError(CassiastairError):
    """A target got the non-idempotent request, but gave no usable answer."""

    code = "outcome_unknown"
    status = 502
    remedy = "check the record before a request under a new id"


class SettingsError(CassiastairError):
    """One or more settings are wrong."""

    code = "bad_settings"
    remedy = "correct the settings that the message names"


class PeerProtocolError(CassiastairError):
    """A peer sent a frame that cannot be read."""

    code = "peer_protocol"
    remedy = "run the same release on all VMs"


class NotConfiguredError(RefusedError):
    """No configuration is known yet."""

    code = "not_configured"
    status = 503
    remedy = "try again after the time given"
    retry_after = 1.0


class NoRouteError(RefusedError):
    """No route takes the request."""

    code = "no_route"
    status = 404
    remedy = "check host and path against the configuration"


class NoTargetError(RefusedError):
    """No target could take the request, and none has run it.

    Parameters
    ----------
    message : str
        What went wrong.
    retry_after : float
        Seconds after which another try may be served.
    """

    code = "no_target"
    status = 503
    remedy = "try again after the time given"

    def __init__(self, message: str, retry_after: float):
        super().__init__(message)
        self.retry_after = retry_after


class RunUnknownError(CassiastairError):
    """Targets failed, and at least one may have run the request."""

    code = "run_unknown"
    status = 502
    remedy = "repeat it only if it may run twice"
