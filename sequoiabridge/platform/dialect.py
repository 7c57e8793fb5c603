"""The headers that callers and upstreams use on the platform."""

from __future__ import annotations

import json
import re

from ..balancing.departure import DepartureReport
from ..balancing.load import UpstreamLoad
from ..balancing.request_limit import LimitReport
from ..balancing.rest import RestReport
from ..exceptions import Refusal
from ..pipeline.exchange import Answer, BytesBody, RawHeaders, Request, first_value
from ..relay.dialect import NO_CALL, Dialect
from ..relay.metadata import AnswerMetadata, CallMetadata, HealthMetadata
from .names import (
    CALL_ID,
    CONTENT_ENCODING,
    INTENDED_UPSTREAM,
    LEAVING,
    LOAD,
    MISDIRECTED_REQUEST,
    NOT_RUN,
    ORDINARY_HEADERS,
    REQUEST_LIMIT,
    RETRY_AFTER,
    SIGNATURE,
    TIMEOUT_MS,
    UPSTREAM_HEADERS,
    UPSTREAM_ID,
)

KNOWN_HEADERS = UPSTREAM_HEADERS | ORDINARY_HEADERS
"""Headers that an answer of an upstream may have without being reported as unknown."""

REPLACED_HEADERS = frozenset({TIMEOUT_MS, INTENDED_UPSTREAM})
"""Request headers that the daemon sets itself on each attempt."""

MILLISECONDS_PER_SECOND = 1000.0
PERCENT_PER_UNIT = 100.0
NO_SLOWDOWN = 1.0
"""Slowdown of an upstream that does not report one."""

MIN_TIMEOUT_MS = 1
"""Minimum timeout sent to an upstream."""

MAX_TIMEOUT_MS = 86_400_000
"""Maximum timeout of a caller that is applied; a longer one is taken for this."""

MAX_LOAD_FIGURE = 1e6
"""Maximum figure of a load report; peers accept no higher one either."""

DECIMAL_NUMBER = re.compile(rb"[0-9]{1,12}(\.[0-9]{1,12})?([eE][+-]?[0-9]{1,2})?")

MAX_LIMIT_RATE = 1e12
"""Maximum limit in requests per second; peers accept no higher one either."""

MAX_REST_SECONDS = 86_400.0
"""Maximum rest in seconds that is applied; a longer one is taken for this."""

OK = 200
UNAVAILABLE = 503


class PlatformDialect(Dialect):
    """Reads and writes the platform's headers."""

    def call_metadata(self, request: Request) -> CallMetadata:
        return CallMetadata(request.header(CALL_ID) or b"", parse_timeout(request))

    def upstream_headers(
        self, request: Request, upstream: str, time_left: float
    ) -> list[tuple[bytes, bytes]]:
        headers = [field for field in request.headers if field[0] not in REPLACED_HEADERS]
        timeout_ms = max(MIN_TIMEOUT_MS, int(time_left * MILLISECONDS_PER_SECOND))
        headers.append((TIMEOUT_MS, b"%d" % timeout_ms))
        headers.append((INTENDED_UPSTREAM, upstream.encode()))
        return headers

    def is_answer_to(self, call_id: bytes, headers: RawHeaders) -> bool:
        return (first_value(headers, CALL_ID) or NO_CALL) == call_id

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
            rest=parse_rest(answer),
            departure=parse_departure(headers),
            unknown=[name for name, _ in headers if name not in KNOWN_HEADERS],
        )

    def health_metadata(self, answer: Answer) -> HealthMetadata:
        upstream = (first_value(answer.headers, UPSTREAM_ID) or b"").decode("latin-1")
        headers = answer.headers
        return HealthMetadata(
            answer.status == OK,
            upstream,
            parse_load(headers),
            parse_limit(headers),
            parse_rest(answer),
            parse_departure(headers),
        )

    def refusal(self, refusal: Refusal, call_id: str) -> Answer:
        fields = {"error": str(refusal), "reason": refusal.reason.value, "id": call_id}
        body = json.dumps(fields).encode() + b"\n"
        headers = [(b"content-type", b"application/json")]
        if refusal.retry_after is not None:
            headers.append((RETRY_AFTER, b"%.3f" % refusal.retry_after))
        return Answer(refusal.status, headers, len(body), BytesBody(body))


def parse_timeout(request: Request) -> float | None:
    """Return the seconds that a caller waits, or None if it does not say so in a valid way."""
    text = (request.header(TIMEOUT_MS) or b"").strip()
    if not text.isdigit():
        return None
    digits = text.lstrip(b"0") or b"0"
    too_long = len(digits) > len(str(MAX_TIMEOUT_MS))
    milliseconds = MAX_TIMEOUT_MS if too_long else min(MAX_TIMEOUT_MS, int(digits))
    return milliseconds / MILLISECONDS_PER_SECOND


def parse_load(headers: RawHeaders) -> UpstreamLoad | None:
    """Return the load report in the headers of an answer, or None if it is missing or invalid."""
    text = first_value(headers, LOAD)
    if text is None:
        return None
    try:
        figures = [float(part) for part in text.split(b",")]
    except ValueError:
        return None
    if len(figures) < 3 or not all(0.0 <= figure <= MAX_LOAD_FIGURE for figure in figures):
        return None
    slowdown = figures[3] / PERCENT_PER_UNIT if len(figures) > 3 else NO_SLOWDOWN
    return UpstreamLoad(int(figures[0]), int(figures[1]), int(figures[2]), slowdown)


def parse_limit(headers: RawHeaders) -> LimitReport:
    """Return what the headers of an answer say of the upstream's limit on requests."""
    texts = field_values(headers, REQUEST_LIMIT)
    if not texts:
        return LimitReport(None)
    problem = decimal_problem(texts)
    if problem:
        return LimitReport(None, problem)
    rate = float(texts[0])
    if rate > MAX_LIMIT_RATE:
        return LimitReport(None, f"more than {MAX_LIMIT_RATE:.0e} requests per second: {texts[0]}")
    return LimitReport(rate)


def parse_rest(answer: Answer) -> RestReport:
    """Return what an answer says of a rest; only one with status 503 asks for one."""
    texts = field_values(answer.headers, RETRY_AFTER)
    if not texts or answer.status != UNAVAILABLE:
        return RestReport(None)
    problem = decimal_problem(texts)
    if problem:
        return RestReport(None, problem)
    return RestReport(min(MAX_REST_SECONDS, float(texts[0])))


def parse_departure(headers: RawHeaders) -> DepartureReport:
    """Return what the headers of an answer say of the upstream's leaving."""
    texts = field_values(headers, LEAVING)
    if texts == [b"1"]:
        return DepartureReport(True)
    problem = f"neither 1 nor absent: {texts[:3]}" if texts and texts != [b"0"] else ""
    return DepartureReport(False, problem)


def field_values(headers: RawHeaders, name: bytes) -> list[bytes]:
    """Return the different values of a header field, in alphabetical order."""
    return sorted({value.strip() for field, value in headers if field == name})


def decimal_problem(texts: list[bytes]) -> str:
    """Return why the values of a field are not one decimal number, "" if they are."""
    if len(texts) > 1:
        return f"different values: {texts[:3]}"
    if DECIMAL_NUMBER.fullmatch(texts[0]) is None:
        return f"not a decimal number: {texts[0][:40]}"
    return ""
