"""Ways in which a subrequest to a target fails."""

from ..data import HeldVersions, MissingReason


class TargetFailure(Exception):
    """Base of all failures of one subrequest.

    Parameters
    ----------
    message : str
        What went wrong.

    Attributes
    ----------
    reason : MissingReason
        What is told of the shard if no other target answers.
    proves_not_run : bool
        Whether the failure proves that the target did not run the request.
    """

    reason = MissingReason.UNREACHABLE
    proves_not_run = False

    def __init__(self, message: str):
        super().__init__(message)
        self.message = message


class ConnectFailure(TargetFailure):
    """No connection was made, so no byte of the request was handed over."""

    proves_not_run = True


class BrokenFailure(TargetFailure):
    """The connection broke after the request was handed over."""


class BadAnswerFailure(TargetFailure):
    """The answer was malformed or answered another attempt."""

    reason = MissingReason.BAD_ANSWER


class RefusedFailure(TargetFailure):
    """The target said itself that it did not run the request.

    Parameters
    ----------
    message : str
        The target's words.
    code : str
        ``shed``, ``draining``, ``expired`` or ``cancelled``.
    incarnation : str
        Run of the target that refused.
    """

    reason = MissingReason.OVERLOADED
    proves_not_run = True

    def __init__(self, message: str, code: str, incarnation: str):
        super().__init__(message)
        self.code = code
        self.incarnation = incarnation


class NotHeldFailure(TargetFailure):
    """The target does not hold the snapshot.

    Parameters
    ----------
    message : str
        The target's words.
    held : tuple of HeldVersions
        What it holds.
    """

    reason = MissingReason.NOT_HELD
    proves_not_run = True

    def __init__(self, message: str, held: tuple[HeldVersions, ...]):
        super().__init__(message)
        self.held = held
