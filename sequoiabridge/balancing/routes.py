"""The operator's configuration as calls need it: which call goes where, under which terms."""

from __future__ import annotations

from collections.abc import Iterable
from urllib.parse import urlsplit


class Target:
    """One service that a route's calls go to, and its share of them."""

    __slots__ = ("service", "weight")

    def __init__(self, service: str, weight: float):
        self.service = service
        self.weight = weight


class Route:
    """What is said of the calls of one host whose paths begin alike.

    Attributes:
        name: The operator's name of it.
        prefix: How the paths begin; ends with a slash.
        idempotent: A call may run more than once.
        timeout: Seconds after which the caller is to have a final answer.
        target_latency: Seconds within which an answer is worth most.
        max_attempts: Upstreams that may run one call, at most.
        priority: Rank under overload; 0 is the highest. Shown only: a service refuses by what its
            calls can still gain, whichever route they came by.
        targets: The services that share the calls, at least one.
    """

    __slots__ = (
        "name",
        "prefix",
        "idempotent",
        "timeout",
        "target_latency",
        "max_attempts",
        "priority",
        "targets",
    )

    def __init__(
        self,
        name: str,
        prefix: bytes,
        idempotent: bool,
        timeout: float,
        target_latency: float,
        max_attempts: int,
        priority: int,
        targets: tuple[Target, ...],
    ):
        self.name = name
        self.prefix = prefix
        self.idempotent = idempotent
        self.timeout = timeout
        self.target_latency = target_latency
        self.max_attempts = max_attempts
        self.priority = priority
        self.targets = targets


class ServiceSettings:
    """What is said of a service's upstreams.

    Attributes:
        health_path: Path of their health check.
        max_connections: Connections that one of them takes from all VMs together.
    """

    __slots__ = ("name", "health_path", "max_connections")

    def __init__(self, name: str, health_path: bytes, max_connections: int):
        self.name = name
        self.health_path = health_path
        self.max_connections = max_connections


class CallLimits:
    """What callers may send: sizes in bytes, times in seconds."""

    __slots__ = ("max_head", "max_body", "head_timeout", "idle_timeout")

    def __init__(self, max_head: int, max_body: int, head_timeout: float, idle_timeout: float):
        self.max_head = max_head
        self.max_body = max_body
        self.head_timeout = head_timeout
        self.idle_timeout = idle_timeout


class RouteTable:
    """One version of the configuration; never changed once made.

    Args:
        version: Grows with each version, not always by one.
        hosts: The routes of each host name (lower case).
        services: What is said of each service, by name.
        limits: What callers may send.
    """

    __slots__ = ("version", "hosts", "services", "limits")

    def __init__(
        self,
        version: int,
        hosts: dict[bytes, Iterable[Route]],
        services: dict[str, ServiceSettings],
        limits: CallLimits,
    ):
        self.version = version
        self.hosts = {
            host: sorted(routes, key=lambda route: -len(route.prefix))
            for host, routes in hosts.items()
        }
        self.services = services
        self.limits = limits

    def match(self, host: bytes, target: bytes) -> Route | None:
        """Return the route with the longest prefix for a Host header and a request target."""
        path = path_of(target)
        for route in self.hosts.get(bare_host(host), ()):
            if path.startswith(route.prefix):
                return route
        return None

    def routes(self) -> Iterable[Route]:
        """Yield all routes."""
        for routes in self.hosts.values():
            yield from routes


def bare_host(host: bytes) -> bytes:
    """Return a Host header's name in lower case, without its port."""
    return host.strip().lower().partition(b":")[0]


def path_of(target: bytes) -> bytes:
    """Return the path of a request target, which may be a whole URL (RFC 9112, 3.2.2)."""
    if not target.startswith(b"/"):
        return urlsplit(target).path
    return target.partition(b"?")[0]
