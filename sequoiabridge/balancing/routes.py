"""The routing table: matches calls to routes, and holds the settings of routes and services."""

from __future__ import annotations

from collections.abc import Iterable
from urllib.parse import urlsplit


class Target:
    """A service that receives calls of a route, with its weight."""

    __slots__ = ("service", "weight")

    def __init__(self, service: str, weight: float):
        self.service = service
        self.weight = weight


class Route:
    """The settings of the calls to one host whose paths have a common prefix.

    Attributes:
        name: Name given by the operator.
        prefix: Path prefix; ends with a slash.
        idempotent: Whether a call may run more than once.
        timeout: Seconds within which the caller gets a final answer.
        target_latency: Seconds after which an answer is late.
        max_attempts: Maximum number of upstreams that may run one call.
        priority: Priority; 0 is the highest. It decides which calls get permits for upstreams with
            limits, and in which order refused callers return.
        targets: The services that share the calls; at least one.
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
    """The settings of a service.

    Attributes:
        name: Name of the service.
        health_path: Path of the health check of its upstreams.
        max_connections: Maximum number of connections to one upstream from all VMs together.
    """

    __slots__ = ("name", "health_path", "max_connections")

    def __init__(self, name: str, health_path: bytes, max_connections: int):
        self.name = name
        self.health_path = health_path
        self.max_connections = max_connections


class CallLimits:
    """Limits on requests of callers; sizes in bytes, times in seconds."""

    __slots__ = ("max_head", "max_body", "head_timeout", "idle_timeout")

    def __init__(self, max_head: int, max_body: int, head_timeout: float, idle_timeout: float):
        self.max_head = max_head
        self.max_body = max_body
        self.head_timeout = head_timeout
        self.idle_timeout = idle_timeout


class RouteTable:
    """One version of the routing configuration; immutable.

    Args:
        version: Version number; increases, not always by one.
        hosts: Routes by host name in lower case.
        services: Settings of the services by name.
        limits: Limits on requests of callers.
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
    """Return the host name of a Host header in lower case, without the port."""
    return host.strip().lower().partition(b":")[0]


def path_of(target: bytes) -> bytes:
    """Return the path of a request target, which may be an absolute URL (RFC 9112, 3.2.2)."""
    if not target.startswith(b"/"):
        return urlsplit(target).path
    return target.partition(b"?")[0]
