"""The headers that callers and upstreams use on the platform."""

from __future__ import annotations

import json
import re

from ..balancing.load import UpstreamLoad
from ..balancing.request_limit import LimitReport
from ..exceptions import Refusal
from ..pipeline.exchange import Answer, BytesBody, RawHeaders, Request, first_value
from ..relay.dialect import Dialect
from ..relay.metadata import AnswerMetadata, CallMetadata, HealthMetadata
from .names import (
    CALL_ID,
    CONTENT_ENCODING,
    INTENDED_UPSTREAM,
    LOAD,
    MISDIRECTED_REQUEST,
    NOT_RUN,
    REQUEST_LIMIT,
    RETRY_AFTER,
    SIGNATURE,
    TIMEOUT_MS,
    UPSTREAM_ID,
)

REPLACED_HEADERS = frozenset({TIMEOUT_MS, INTENDED_UPSTREAM})
"""Request headers that the daemon sets itself on each attempt."""

MILLISECONDS_PER_SECOND = 1000.0
PERCENT_PER_UNIT = 100.0
NO_SLOWDOWN = 1.0
"""Slowdown of an upstream that does not report one."""

MIN_TIMEOUT_MS = 1
"""Minimum timeout sent to an upstream."""

DECIMAL_NUMBER = re.compile(rb"[0-9]{1,12}(\.[0-9]{1,12})?([eE][+-]?[0-9]{1,2})?")

MAX_LIMIT_RATE = 1e12
"""Maximum limit in requests per second; peers accept no higher one either."""

OK = 200


class PlatformDialect(Dialect):
    """Reads and writes the platform's headers."""

    def call_metadata(self, request: Request) -> CallMetadata:
        timeout = None
        text = request.header(TIMEOUT_MS)
        if text is not None and text.strip().isdigit():
            timeout = int(text) / MILLISECONDS_PER_SECOND
        return CallMetadata(request.header(CALL_ID) or b"", timeout)

    def upstream_headers(
        self, request: Request, upstream: str, time_left: float
    ) -> list[tuple[bytes, bytes]]:
        headers = [field for field in request.headers if field[0] not in REPLACED_HEADERS]
        timeout_ms = max(MIN_TIMEOUT_MS, int(time_left * MILLISECONDS_PER_SECOND))
        headers.append((TIMEOUT_MS, b"%d" % timeout_ms))
        headers.append((INTENDED_UPSTREAM, upstream.encode()))
        return headers

    def is_answer_to(self, call_id: bytes, headers: RawHeaders) -> bool:
        answered_id = first_value(headers, CALL_ID)
        return answered_id is None or answered_id == call_id

    def answer_metadata(self, answer: Answer) -> AnswerMetadata:
        headers = answer.headers
        is_misdirected = answer.status == MISDIRECTED_REQUEST
        return AnswerMetadata(
            not_run=is_misdirected or first_value(headers, NOT_RUN) is not None,
            other_upstream=is_misdirected,
            genuine=first_value(headers, SIGNATURE) is not None
            and first_value(headers, CONTENT_ENCODING) is None,
            load=parse_load(headers),
            limit=parse_limit(headers),
        )

    def health_metadata(self, answer: Answer) -> HealthMetadata:
        upstream = (first_value(answer.headers, UPSTREAM_ID) or b"").decode("latin-1")
        headers = answer.headers
        return HealthMetadata(
            answer.status == OK, upstream, parse_load(headers), parse_limit(headers)
        )

    def refusal(self, refusal: Refusal, call_id: str) -> Answer:
        fields = {"error": str(refusal), "reason": refusal.reason.value, "id": call_id}
        body = json.dumps(fields).encode() + b"\n"
        headers = [(b"content-type", b"application/json")]
        if refusal.retry_after is not None:
            headers.append((RETRY_AFTER, b"%.3f" % refusal.retry_after))
        return Answer(refusal.status, headers, len(body), BytesBody(body))


def parse_load(headers: RawHeaders) -> UpstreamLoad | None:
    """Return the load report in the headers of an answer, or None if it is missing or invalid."""
    text = first_value(headers, LOAD)
    if text is None:
        return None
    try:
        figures = [float(part) for part in text.split(b",")]
    except ValueError:
        return None
    if len(figures) < 3 or min(figures) < 0:
        return None
    slowdown = figures[3] / PERCENT_PER_UNIT if len(figures) > 3 else NO_SLOWDOWN
    return UpstreamLoad(int(figures[0]), int(figures[1]), int(figures[2]), slowdown)


def parse_limit(headers: RawHeaders) -> LimitReport:
    """Return what the headers of an answer say of the upstream's limit on requests.

    Several fields with the same value count as one.
    """
    texts = {value.strip() for name, value in headers if name == REQUEST_LIMIT}
    if not texts:
        return LimitReport(None)
    if len(texts) > 1:
        return LimitReport(None, f"different values: {sorted(texts)[:3]}")
    text = texts.pop()
    if DECIMAL_NUMBER.fullmatch(text) is None:
        return LimitReport(None, f"not a decimal number: {text[:40]}")
    rate = float(text)
    if rate > MAX_LIMIT_RATE:
        return LimitReport(None, f"more than {MAX_LIMIT_RATE:.0e} requests per second: {text}")
    return LimitReport(rate)
