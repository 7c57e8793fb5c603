"""The headers of callers and upstreams on the platform."""

from __future__ import annotations

import json

from ..balancing.load import UpstreamLoad
from ..exceptions import Refusal
from ..pipeline.exchange import Answer, BytesBody, RawHeaders, Request, first_value
from ..relay.dialect import Dialect
from ..relay.metadata import AnswerMetadata, CallMetadata, HealthMetadata
from .names import (
    CALL_ID,
    ENCODING,
    LOAD,
    MEANT_FOR,
    NOT_RUN,
    OTHER_UPSTREAM,
    RETRY_AFTER,
    SIGNATURE,
    TIME_LEFT,
    UPSTREAM_ID,
)

REPLACED = frozenset({TIME_LEFT, MEANT_FOR})
"""Request headers that the balancer writes anew for each upstream."""

MILLISECONDS = 1000.0
PERCENT = 100.0
AS_USUAL = 1.0
LEAST_TIME_MS = 1
OK = 200


class PlatformDialect(Dialect):
    """Reads and writes the platform's headers."""

    def call_metadata(self, request: Request) -> CallMetadata:
        timeout = None
        text = request.header(TIME_LEFT)
        if text is not None and text.strip().isdigit():
            timeout = int(text) / MILLISECONDS
        return CallMetadata(request.header(CALL_ID) or b"", timeout)

    def upstream_headers(
        self, request: Request, upstream: str, time_left: float
    ) -> list[tuple[bytes, bytes]]:
        headers = [field for field in request.headers if field[0] not in REPLACED]
        left = max(LEAST_TIME_MS, int(time_left * MILLISECONDS))
        headers.append((TIME_LEFT, b"%d" % left))
        headers.append((MEANT_FOR, upstream.encode()))
        return headers

    def is_answer_to(self, call_id: bytes, headers: RawHeaders) -> bool:
        named = first_value(headers, CALL_ID)
        return named is None or named == call_id

    def answer_metadata(self, answer: Answer) -> AnswerMetadata:
        headers = answer.headers
        other = answer.status == OTHER_UPSTREAM
        return AnswerMetadata(
            not_run=other or first_value(headers, NOT_RUN) is not None,
            other_upstream=other,
            genuine=first_value(headers, SIGNATURE) is not None
            and first_value(headers, ENCODING) is None,
            load=load_of(headers),
        )

    def health_metadata(self, answer: Answer) -> HealthMetadata:
        upstream = (first_value(answer.headers, UPSTREAM_ID) or b"").decode("latin-1")
        return HealthMetadata(answer.status == OK, upstream, load_of(answer.headers))

    def refusal(self, refusal: Refusal, call_id: str) -> Answer:
        said = {"error": str(refusal), "reason": refusal.reason.value, "id": call_id}
        body = json.dumps(said).encode() + b"\n"
        headers = [(b"content-type", b"application/json")]
        if refusal.retry_after is not None:
            headers.append((RETRY_AFTER, b"%.3f" % refusal.retry_after))
        return Answer(refusal.status, headers, len(body), BytesBody(body))


def load_of(headers: RawHeaders) -> UpstreamLoad | None:
    """Return the load that an answer tells, or None if it tells none that can be read."""
    text = first_value(headers, LOAD)
    if text is None:
        return None
    try:
        figures = [float(part) for part in text.split(b",")]
    except ValueError:
        return None
    if len(figures) < 3 or min(figures) < 0:
        return None
    slowdown = figures[3] / PERCENT if len(figures) > 3 else AS_USUAL
    return UpstreamLoad(int(figures[0]), int(figures[1]), int(figures[2]), slowdown)
