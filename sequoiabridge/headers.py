"""Names of the HTTP headers that the project reads and writes, lower case, as bytes.

The caller guide and the upstream guide document each of them.
"""

REQUEST_ID = b"sequoia-request-id"
"""On each answer, and on each request to an upstream."""

OUTCOME = b"sequoia-outcome"
"""On each answer the daemon makes itself: `not-run` or `unknown`."""

REASON = b"sequoia-reason"
"""On each answer the daemon makes itself: the fixed word of the reason."""

CALLER = b"sequoia-caller"
"""From callers: the caller's identity, set by the platform's balancer."""

DEADLINE = b"sequoia-deadline-ms"
"""From callers and to upstreams: milliseconds that remain until the answer is of no use."""

IDEMPOTENCY_KEY = b"idempotency-key"
"""From callers: names one piece of work; the same key never runs twice."""

REPLAYED = b"sequoia-replayed"
"""On an answer given again from the stored outcome of the same key."""

LOAD = b"sequoia-load"
"""From upstreams: `in_flight=N;slots=N;age_ms=N`, their load when they answered."""

DRAIN = b"sequoia-drain"
"""From upstreams: their incarnation number, when they are leaving."""

INCARNATION = b"sequoia-incarnation"
"""From upstreams: their incarnation number; a newer one than that of a drain ends the drain."""

NOT_RUN = b"sequoia-not-run"
"""From upstreams: `1` when the request was refused before it ran (load shedding)."""

UPLOAD_ID = b"sequoia-upload-id"
"""To upstreams and callers: names one upload from its first byte to its delivery."""

UPLOAD_OFFSET = b"sequoia-upload-offset"
"""From and to callers: the next byte of an upload that is expected."""

UPLOAD_DIGEST = b"sequoia-upload-digest"
"""To upstreams: SHA-256 of the whole upload, in hexadecimal."""

RESERVED = frozenset({REQUEST_ID, OUTCOME, REASON, REPLAYED, LOAD, DRAIN, INCARNATION, NOT_RUN})
"""Headers that a caller may not send; the daemon strips them."""

HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
    }
)
"""Headers that concern one connection only and are never passed on (RFC 9110, 7.6.1)."""
