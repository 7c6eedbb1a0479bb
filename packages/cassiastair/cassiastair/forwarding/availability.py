"""Which targets can take a request now, and when a refused caller should return."""

import math
from collections.abc import Collection

from ..targets.failures import ConnectionLimitFailure
from .dependencies import ForwardingDependencies
from .send import Send
from .target_stats import RoutedTargetStats
from .unsent_reason import UnsentReason

MIN_RETRY_AFTER_S = 0.05
MAX_LIMIT_WAIT_S = 2.0  # room under a limit may also come from other VMs


def find_untried(
    deps: ForwardingDependencies, service: str, tried: Collection[str], extra: bool
) -> list[RoutedTargetStats]:
    """Return the untried targets of a service that may get a request now.

    If possible these are the ones with free connections.

    Parameters
    ----------
    deps : ForwardingDependencies
        Collaborators.
    service : str
        Name of the service.
    tried : collection of str
        Names of the targets to leave out.
    extra : bool
        Whether the request is a hedge or a retry.
    """
    now = deps.clock.now()
    may_send = deps.limits.may_send
    candidates = [
        c
        for c in deps.registry.candidates(service)
        if c.target.name not in tried
        and c.paused_until <= now
        and not (c.in_doubt and c.find_trial_wait(now))
        and may_send(c.target.name, extra)
    ]
    has_free_connection = deps.transport.has_free_connection
    return [c for c in candidates if has_free_connection(c.target)] or candidates


def explain_no_untried(
    deps: ForwardingDependencies, service: str, tried: Collection[str], last: Send
) -> UnsentReason:
    """Return why `find_untried` has found no target for a hedge or a retry.

    Parameters
    ----------
    deps : ForwardingDependencies
        Collaborators.
    service : str
        Name of the service.
    tried : collection of str
        Names of the targets that were left out.
    last : Send
        Latest send of the request to the service.
    """
    now = deps.clock.now()
    untried = [
        c for c in deps.registry.candidates(service) if c.target.name not in tried
    ]
    if untried:
        if all(c.paused_until > now for c in untried):
            return UnsentReason.TARGET_PAUSED
        if all(c.find_trial_wait(now) for c in untried):
            return UnsentReason.TARGET_IN_DOUBT
        return UnsentReason.TARGET_LIMIT
    if isinstance(last.outcome, ConnectionLimitFailure):
        return UnsentReason.CONNECTION_BOUND
    return UnsentReason.NO_UNTRIED_TARGET


def find_service_wait(deps: ForwardingDependencies, service: str) -> float:
    """Return the seconds until a target of a service may get a request.

    Returns
    -------
    float
        Zero if a reachable target wants requests, its limit leaves room and it has no
        trial in progress; infinity if no target is in reach or other VMs share the
        limits.
    """
    now = deps.clock.now()
    shortest = math.inf
    for candidate in deps.registry.candidates(service):
        if candidate.unreachable:
            continue
        wait = deps.limits.find_wait(candidate.target.name, extra=False)
        if MAX_LIMIT_WAIT_S < wait < math.inf:
            wait = MAX_LIMIT_WAIT_S
        wait = max(wait, candidate.paused_until - now, candidate.find_trial_wait(now))
        if wait <= 0:
            return 0.0
        shortest = min(shortest, wait)
    return shortest


def find_retry_after(wait: float, default: float) -> float:
    """Return the seconds after which a refused caller should return.

    Parameters
    ----------
    wait : float
        Seconds until a target may get a request, or infinity.
    default : float
        Result if no wait is known: none is needed, or no target is in sight.
    """
    if wait <= 0 or math.isinf(wait):
        return default
    return max(wait, MIN_RETRY_AFTER_S)
