"""What callers and upstreams say beside their messages, decoded: the same in every dialect."""

from __future__ import annotations

from ..balancing.load import UpstreamLoad


class CallMetadata:
    """What a caller says of its call.

    Attributes:
        id: Names this attempt of the caller; b"" if it gave none. An upstream repeats it.
        patience: Seconds from now that the caller waits for the answer; None if it did not say.
    """

    __slots__ = ("id", "timeout")

    def __init__(self, id: bytes, timeout: float | None):
        self.id = id
        self.timeout = timeout


class AnswerMetadata:
    """What an upstream's answer says about itself.

    Attributes:
        not_run: The upstream did not run the request and never will.
        other_upstream: The address has gone to another upstream than the one that was meant.
        genuine: The answer bears the upstream's signature and is in no foreign encoding. Only such
            a success may be handed to a caller.
        load: The upstream's load, or None.
    """

    __slots__ = ("not_run", "other_upstream", "genuine", "load")

    def __init__(
        self, not_run: bool, other_upstream: bool, genuine: bool, load: UpstreamLoad | None
    ):
        self.not_run = not_run
        self.other_upstream = other_upstream
        self.genuine = genuine
        self.load = load


class HealthMetadata:
    """What an upstream's health answer says.

    Attributes:
        healthy: The upstream thinks itself well and is not leaving. It may be mistaken.
        upstream: Id of the upstream that answered; "" if it did not say.
        load: Its load, or None.
    """

    __slots__ = ("healthy", "upstream", "load")

    def __init__(self, healthy: bool, upstream: str, load: UpstreamLoad | None):
        self.healthy = healthy
        self.upstream = upstream
        self.load = load
