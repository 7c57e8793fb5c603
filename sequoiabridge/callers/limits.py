"""What the daemon takes from callers at most."""

KIB = 1024
MIB = 1024 * KIB


class CallerLimits:
    """Limits on callers; sizes in bytes, times in seconds.

    Args:
        max_head: Size of a request's head.
        max_body: Size of a request's body, unless the pipeline sets another for the request.
        max_connections: Connections open at once.
        idle_timeout: Wait for the next request on an open connection.
        head_timeout: From a request's first byte to the end of its head.
        body_timeout: Longest pause within a request's body, or of a caller that takes no answer.
    """

    __slots__ = (
        "max_head",
        "max_body",
        "max_connections",
        "idle_timeout",
        "head_timeout",
        "body_timeout",
    )

    def __init__(
        self,
        max_head: int = 16 * KIB,
        max_body: int = 1024 * MIB,
        max_connections: int = 2000,
        idle_timeout: float = 60.0,
        head_timeout: float = 10.0,
        body_timeout: float = 30.0,
    ):
        self.max_head = max_head
        self.max_body = max_body
        self.max_connections = max_connections
        self.idle_timeout = idle_timeout
        self.head_timeout = head_timeout
        self.body_timeout = body_timeout
