"""Refusals of callers' requests and the HTTP answers made from them."""

from collections.abc import Callable
from math import ceil

from ..exceptions import Refusal
from ..headers import OUTCOME, REASON, REQUEST_ID
from ..outcome import Outcome, Reason
from ..pipeline.exchange import Answer, BytesBody

RefusalWriter = Callable[[Refusal, str], Answer]
"""Makes the answer for a refusal and a request id."""

NO_MEMORY_RETRY_AFTER = 0.3
"""Seconds in the Retry-After header when memory is short; stalled callers make room meanwhile."""

MIN_RETRY_AFTER_SECONDS = 1
"""Minimum value of Retry-After, which has a resolution of one second."""


def refusal_answer(refusal: Refusal, request_id: str) -> Answer:
    """Return the plain-text answer for `refusal`, with its outcome, reason and request id."""
    body = str(refusal).encode("utf-8", "replace") + b"\n"
    headers = [
        (b"content-type", b"text/plain; charset=utf-8"),
        (OUTCOME, refusal.outcome.value.encode()),
        (REASON, refusal.reason.value.encode()),
        (REQUEST_ID, request_id.encode("ascii", "replace")),
    ]
    if refusal.retry_after is not None:
        seconds = max(MIN_RETRY_AFTER_SECONDS, ceil(refusal.retry_after))
        headers.append((b"retry-after", b"%d" % seconds))
    return Answer(refusal.status, headers, len(body), BytesBody(body))


def bad_request(message: str, status: int = 400) -> Refusal:
    """Return the refusal of a malformed or ambiguous request."""
    reason = Reason.HEAD_TOO_LARGE if status == 431 else Reason.BAD_REQUEST
    return Refusal(status, Outcome.NOT_RUN, reason, message)


def caller_too_slow(what: str, outcome: Outcome = Outcome.NOT_RUN) -> Refusal:
    """Return the refusal of a caller that sent `what` ("head" or "body") too slowly."""
    message = f"The request's {what} did not come in time. Send it again over a faster line."
    return Refusal(408, outcome, Reason.CALLER_TOO_SLOW, message)


def caller_stalled(outcome: Outcome) -> Refusal:
    """Return the refusal of a body that stopped coming while others needed what it occupied."""
    message = "The request's body stopped coming while others waited. Send it without a pause."
    return Refusal(408, outcome, Reason.CALLER_STALLED, message)


def out_of_memory() -> Refusal:
    """Return the refusal of a request for which there is no memory."""
    message = "The daemon has no memory left for this request. Try another VM, or come back later."
    return Refusal(503, Outcome.NOT_RUN, Reason.NO_MEMORY, message, NO_MEMORY_RETRY_AFTER)


def body_too_large(limit: int, outcome: Outcome) -> Refusal:
    """Return the refusal of a body of more than `limit` bytes."""
    message = f"The request's body has more than {limit} bytes. Send a smaller one."
    return Refusal(413, outcome, Reason.BODY_TOO_LARGE, message)


def too_many_connections() -> Refusal:
    """Return the refusal of a connection beyond `max_connections`."""
    message = "The daemon has all the connections that it takes. Try again in a second."
    return Refusal(503, Outcome.NOT_RUN, Reason.NO_CONNECTION, message, MIN_RETRY_AFTER_SECONDS)


def upstream_failed(message: str) -> Refusal:
    """Return the refusal for an upstream failure that the pipeline did not handle."""
    return Refusal(502, Outcome.UNKNOWN, Reason.UPSTREAM_FAILED, message)


def internal_error() -> Refusal:
    """Return the refusal for an unexpected exception in the daemon."""
    message = "The daemon failed at this request. Tell its operator the request's id."
    return Refusal(500, Outcome.UNKNOWN, Reason.INTERNAL, message)
