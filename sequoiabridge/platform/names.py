"""Names of the platform's wire format; header names are in lower case."""

CALL_ID = b"x-attempt-id"
"""Id of a call; the upstream repeats it in its answer."""

TIMEOUT_MS = b"x-deadline-ms"
"""Milliseconds for which the sender still waits; a span, not a point in time."""

SIGNATURE = b"x-server-signature"
"""Signature of the upstream over its answer."""

INTENDED_UPSTREAM = b"x-expect-instance"
"""Id of the intended upstream; any other answers 421 and does not run the request."""

LOAD = b"x-instance-load"
"""Load report: running requests, queued requests, slots, optionally the slowdown in percent."""

REQUEST_LIMIT = b"server-limit"
"""Requests per second, a decimal number, that the upstream takes from all VMs together."""

LEAVING = b"server-leaving"
"""Set to 1 in all answers of an upstream that leaves."""

NOT_RUN = b"x-not-executed"
"""Set on the answer to a request that did not run and never will."""

UPSTREAM_ID = b"x-instance-id"
"""Id of the upstream that answered; set on answers to health checks and on status 421."""

RETRY_AFTER = b"retry-after"
"""Seconds until a retry, with fractions. In an upstream's 503, the time for which it wants no
request of this VM."""

CONTENT_ENCODING = b"content-encoding"
"""Encoding of a body; nobody requests one, so an encoded body is not the upstream's own."""

UPSTREAM_HEADERS = frozenset(
    {
        CALL_ID,
        SIGNATURE,
        LOAD,
        REQUEST_LIMIT,
        LEAVING,
        NOT_RUN,
        UPSTREAM_ID,
        RETRY_AFTER,
        CONTENT_ENCODING,
    }
)
"""Headers of upstreams' answers that the daemon reads."""

ORDINARY_HEADERS = frozenset(
    b"accept-ranges age allow cache-control connection content-disposition content-language "
    b"content-length content-location content-range content-type date etag expires keep-alive "
    b"last-modified link location pragma server set-cookie trailer transfer-encoding vary via "
    b"warning www-authenticate".split()
)
"""Headers of HTTP that concern the caller or the connection."""

CONFIGURATION_TABLE = "op"
CONFIGURATION_KEY = "config"
"""Table and key of the row that holds the operator's configuration."""

UPSTREAM_TABLE = "servers"
"""Table of the upstreams' entries, by id."""

MISDIRECTED_REQUEST = 421
"""Status of an answer from another upstream than the intended one."""
