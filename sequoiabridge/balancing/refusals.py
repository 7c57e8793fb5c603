"""Builds the daemon's own error answers. Each states whether the call may have run."""

from __future__ import annotations

from ..exceptions import Refusal, SequoiaError
from ..outcome import Outcome, Reason
from .call import Call

SHORT_RETRY_AFTER = 0.02
"""Retry-After in seconds if upstreams refused the call although the service is not overloaded. Each
further 0.1 s makes more callers late: where 55 calls in 100 were refused for 8 s, 0.759 of the
worth came in instead of 0.736 (means of three runs)."""

MIN_OVERLOAD_RATIO = 0.05
"""Overload ratio above which a refusal by upstreams is attributed to overload."""

RETRY_AFTER = 0.15
"""Retry-After in seconds if the service has no capacity or no upstream. A slot becomes free within
the time of one piece of work, and callers wait at most a third of the time they have left."""

NO_PATH_RETRY_AFTER = 0.3
"""Retry-After in seconds while no way leads to the upstreams. Paths are lost for seconds; a later
try reaches another VM, which may have one."""


NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses by which callers are promised that a call has not run and never will."""


def broken_body(call: Call, error: SequoiaError) -> SequoiaError:
    """Return the error of a call whose body broke off while it was being forwarded.

    Once a part has been sent, the call may have run, which some refusals deny.
    """
    denies_run = isinstance(error, Refusal) and error.status in NOT_RUN_STATUSES
    if not denies_run or not call.possible_runs:
        return error
    message = f"{error} A part of it was forwarded, so the request may have run."
    return Refusal(502, Outcome.UNKNOWN, error.reason, message)


def too_many_uploads() -> Refusal:
    """Return the refusal of a long upload while others are forwarded that are not whole."""
    message = "Too many long uploads are coming in for this service. Try another VM."
    return Refusal(503, Outcome.NOT_RUN, Reason.UPLOAD_CAPACITY, message, RETRY_AFTER)


def no_path(call: Call) -> Refusal:
    """Return the refusal of a call whose upstreams neither this VM nor its peers can reach."""
    if call.possible_runs:
        message = "The connection to the upstream was lost. The request may have run."
        return Refusal(502, Outcome.UNKNOWN, Reason.NO_PATH, message)
    message = "Neither this VM nor a peer that it asked reaches an upstream now. Try another VM."
    return Refusal(503, Outcome.NOT_RUN, Reason.NO_PATH, message, NO_PATH_RETRY_AFTER)


def no_upstream(call: Call) -> Refusal:
    """Return the refusal of a call whose service has no upstream that accepts calls."""
    message = "No upstream of the service takes work now. Come back later."
    return Refusal(503, Outcome.NOT_RUN, Reason.NO_UPSTREAM, message, RETRY_AFTER)


def timed_out(call: Call) -> Refusal:
    """Return the refusal of a call whose deadline has passed."""
    if call.possible_runs:
        message = "No upstream answered in time. Whether the request ran is not known."
        return Refusal(504, Outcome.UNKNOWN, Reason.TIMEOUT, message)
    message = "No upstream took the request in time; it did not run. Come back later."
    return Refusal(503, Outcome.NOT_RUN, Reason.TIMEOUT, message, RETRY_AFTER)


def stopping(call: Call) -> Refusal:
    """Return the refusal of a call that this VM cannot answer before it stops."""
    if call.possible_runs:
        message = "This VM stops before an upstream has answered. The request may have run."
        return Refusal(502, Outcome.UNKNOWN, Reason.STOPPING, message)
    message = "This VM stops; the request did not run. Try another VM at once."
    return Refusal(503, Outcome.NOT_RUN, Reason.STOPPING, message, retry_after=0.0)


def no_attempt_left(call: Call, why: str, overload_ratio: float) -> Refusal:
    """Return the refusal of a call that cannot be sent again.

    Args:
        call: The call.
        why: Reason why the last attempt failed.
        overload_ratio: Share of recent new calls of the service that found no capacity.
    """
    if call.possible_runs:
        message = f"The upstream gave no usable answer ({why}). The request may have run."
        return Refusal(502, Outcome.UNKNOWN, Reason.UPSTREAM_FAILED, message)
    message = "No upstream took the request; it did not run. Come back later."
    retry_after = RETRY_AFTER if overload_ratio > MIN_OVERLOAD_RATIO else SHORT_RETRY_AFTER
    return Refusal(503, Outcome.NOT_RUN, Reason.UPSTREAM_SHED, message, retry_after)


def overloaded(call: Call) -> Refusal:
    """Return the refusal of a call for which no upstream has capacity."""
    message = "All upstreams of the service are too busy now. Come back later."
    return Refusal(503, Outcome.NOT_RUN, Reason.QUEUE_FULL, message, RETRY_AFTER)


def at_limit(retry_after: float) -> Refusal:
    """Return the refusal of a call whose upstreams take no more requests.

    Args:
        retry_after: Seconds until the caller may find an upstream that does.
    """
    message = "The upstreams of the service have limits, which are used up. Come back later."
    return Refusal(503, Outcome.NOT_RUN, Reason.UPSTREAM_LIMIT, message, retry_after)


def resting(retry_after: float) -> Refusal:
    """Return the refusal of a call whose upstreams have all asked this VM for rest.

    Args:
        retry_after: Seconds until the first of them takes calls again.
    """
    message = "The upstreams of the service want no requests from this VM now. Come back later."
    return Refusal(503, Outcome.NOT_RUN, Reason.UPSTREAM_REST, message, retry_after)


def internal_error(call: Call) -> Refusal:
    """Return the refusal of a call that failed because of an internal error of the daemon."""
    message = "The daemon failed at this request. Tell its operator the request's id."
    if call.possible_runs:
        return Refusal(500, Outcome.UNKNOWN, Reason.INTERNAL, message)
    return Refusal(503, Outcome.NOT_RUN, Reason.INTERNAL, message, RETRY_AFTER)
