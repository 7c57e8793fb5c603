"""What a caller is told about a request that got no upstream's answer."""

from enum import Enum


class Outcome(Enum):
    """Whether the request ran.

    `NOT_RUN` is a promise: no byte left for any upstream, or each upstream that got one said
    by its agreed signal that it did not run the request. Everything else is `UNKNOWN`.
    """

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class Reason(Enum):
    """Why the daemon answered by itself; the value of the `Sequoia-Reason` header."""

    BAD_REQUEST = "bad-request"
    HEAD_TOO_LARGE = "head-too-large"
    BODY_TOO_LARGE = "body-too-large"
    CALLER_TOO_SLOW = "caller-too-slow"
    NO_SERVICE = "no-service"
    KEY_REQUIRED = "key-required"
    KEY_REUSED = "key-reused"
    DUPLICATE = "duplicate"
    CRASHES_UPSTREAMS = "crashes-upstreams"
    QUEUE_FULL = "queue-full"
    CANNOT_MEET_WINDOW = "cannot-meet-window"
    CALLER_SHARE = "caller-share"
    NO_UPSTREAM = "no-upstream"
    NO_CONNECTION = "no-connection"
    UPSTREAM_FAILED = "upstream-failed"
    UPSTREAM_SHED = "upstream-shed"
    TIMEOUT = "timeout"
    STORE_DOWN = "store-down"
    UPLOAD_CONFLICT = "upload-conflict"
    NOT_READY = "not-ready"
    INTERNAL = "internal"
