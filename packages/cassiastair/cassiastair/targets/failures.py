"""Failures of a request to a target."""

from ..data import HeldVersions, MissingReason
from .notice import NO_NOTICE, TargetNotice


class TargetFailure(Exception):
    """Base class of all failures of one request to a target.

    Parameters
    ----------
    message : str
        What went wrong.

    Attributes
    ----------
    reason : MissingReason
        Reason that the answer states for the shard if no other target answers.
    proves_not_run : bool
        Whether the failure proves that the target did not run the request.
    names_attempt : bool
        Whether the reply, if there was one, named the attempt that it answers.
    notice : TargetNotice
        What the reply, if there was one, says of the target.
    """

    reason = MissingReason.UNREACHABLE
    proves_not_run = False
    names_attempt = True

    def __init__(self, message: str, notice: TargetNotice = NO_NOTICE):
        super().__init__(message)
        self.message = message
        self.notice = notice


class ConnectFailure(TargetFailure):
    """No connection was established, so no byte of the request was sent."""

    proves_not_run = True


class ConnectionLimitFailure(ConnectFailure):
    """The target reset a new connection, as it does when it has too many."""


class BrokenFailure(TargetFailure):
    """The connection broke after the request was sent, perhaps in part."""


class BadAnswerFailure(TargetFailure):
    """The answer was malformed or belonged to another attempt."""

    reason = MissingReason.BAD_ANSWER


class RefusedFailure(TargetFailure):
    """The target answered that it did not run the request.

    Parameters
    ----------
    message : str
        Reason as the target stated it.
    code : str
        ``shed``, ``draining``, ``expired`` or ``cancelled``.
    incarnation : str
        Run of the target that refused the request.
    notice : TargetNotice, optional
        What the refusal says of the target.
    names_attempt : bool, optional
        Whether the refusal named the attempt that it answers.
    """

    reason = MissingReason.OVERLOADED
    proves_not_run = True

    def __init__(
        self,
        message: str,
        code: str,
        incarnation: str,
        notice: TargetNotice = NO_NOTICE,
        names_attempt: bool = True,
    ):
        super().__init__(message, notice)
        self.names_attempt = names_attempt
        self.code = code
        self.incarnation = incarnation


class NotSentFailure(TargetFailure):
    """The request was not sent, because the target wants none for a time."""

    reason = MissingReason.OVERLOADED
    proves_not_run = True


class NotHeldFailure(TargetFailure):
    """The target does not hold the snapshot that was asked for.

    Parameters
    ----------
    message : str
        Reason as the target stated it.
    held_versions : tuple of HeldVersions
        Data versions that the target holds.
    """

    reason = MissingReason.NOT_HELD
    proves_not_run = True

    def __init__(self, message: str, held_versions: tuple[HeldVersions, ...]):
        super().__init__(message)
        self.held_versions = held_versions
