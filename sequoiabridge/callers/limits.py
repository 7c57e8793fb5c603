"""Limits on callers' connections and requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..balancing.routes import CallLimits

KIB = 1024
MIB = 1024 * KIB


class CallerLimits:
    """Limits on callers. Sizes are in bytes, timeouts in seconds.

    Args:
        max_head: Maximum size of a request's head.
        max_body: Maximum size of a request's body, unless the pipeline sets another.
        max_connections: Maximum number of open connections, if the machine has room for them.
        idle_timeout: Maximum wait for the next request on an open connection.
        head_timeout: Maximum time from the first byte of a request to the end of its head.
        body_timeout: Maximum time without progress while a body is received or an answer is sent.

    Attributes:
        allowed_connections: Maximum number of open connections on this machine.
    """

    __slots__ = (
        "max_head",
        "max_body",
        "max_connections",
        "allowed_connections",
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
        self.allowed_connections = max_connections
        self.idle_timeout = idle_timeout
        self.head_timeout = head_timeout
        self.body_timeout = body_timeout

    def allow_connections(self, count: int) -> None:
        """Allow at most `count` open connections, since the machine has no room for more."""
        self.allowed_connections = max(1, min(self.max_connections, count))

    def apply(self, limits: CallLimits) -> None:
        """Apply the limits of a configuration."""
        self.max_head = limits.max_head
        self.max_body = limits.max_body
        self.head_timeout = limits.head_timeout
        self.idle_timeout = limits.idle_timeout
