"""Outcome and reason in the responses that the daemon generates itself."""

from enum import Enum


class Outcome(Enum):
    """Whether the request ran.

    `NOT_RUN` is a guarantee: no byte was sent to an upstream, or each upstream that received one
    has reported that it did not run the request. Every other case is `UNKNOWN`.
    """

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class Reason(Enum):
    """Why the daemon generated the response; value of the `Sequoia-Reason` header."""

    BAD_REQUEST = "bad-request"
    HEAD_TOO_LARGE = "head-too-large"
    BODY_TOO_LARGE = "body-too-large"
    CALLER_TOO_SLOW = "caller-too-slow"
    CALLER_STALLED = "caller-stalled"
    NO_MEMORY = "no-memory"
    NO_SERVICE = "no-service"
    KEY_REQUIRED = "key-required"
    KEY_REUSED = "key-reused"
    DUPLICATE = "duplicate"
    CRASHES_UPSTREAMS = "crashes-upstreams"
    UPLOAD_CAPACITY = "upload-capacity"
    QUEUE_FULL = "queue-full"
    CANNOT_MEET_WINDOW = "cannot-meet-window"
    CALLER_SHARE = "caller-share"
    NO_UPSTREAM = "no-upstream"
    NO_CONNECTION = "no-connection"
    NO_PATH = "no-path"
    UPSTREAM_FAILED = "upstream-failed"
    UPSTREAM_SHED = "upstream-shed"
    UPSTREAM_LIMIT = "upstream-limit"
    UPSTREAM_REST = "upstream-rest"
    TIMEOUT = "timeout"
    STORE_DOWN = "store-down"
    UPLOAD_CONFLICT = "upload-conflict"
    NOT_READY = "not-ready"
    STOPPING = "stopping"
    INTERNAL = "internal"
