"""Answers that the daemon makes itself: refusals with outcome, reason and when to come back."""

import math

from .. import headers
from ..exceptions import Refusal
from .exchange import Answer, BytesBody

CONTENT_TYPE = (b"content-type", b"text/plain; charset=utf-8")


def reply(refusal: Refusal, request_id: str) -> Answer:
    """Build the answer for a refusal.

    `Retry-After` is in whole seconds, at least 1, because HTTP has no finer unit.
    """
    text = f"{refusal}\n".encode()
    fields = [
        CONTENT_TYPE,
        (headers.REQUEST_ID, request_id.encode()),
        (headers.OUTCOME, refusal.outcome.value.encode()),
        (headers.REASON, refusal.reason.value.encode()),
    ]
    if refusal.retry_after is not None:
        seconds = max(1, math.ceil(refusal.retry_after))
        fields.append((b"retry-after", str(seconds).encode()))
    return Answer(refusal.status, fields, len(text), BytesBody(text))
