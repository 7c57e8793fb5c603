"""Decodes the operator's configuration document."""

from __future__ import annotations

from collections.abc import Mapping

from ..balancing.routes import CallLimits, Route, RouteTable, ServiceSettings, Target

IDEMPOTENT = "idempotent"
"""The only route type whose calls may run more than once."""

DEFAULT_MAX_ATTEMPTS = 1
DEFAULT_TIMEOUT_SECONDS = 30.0
DEFAULT_PRIORITY = 0
DEFAULT_MAX_CONNECTIONS = 100
DEFAULT_HEALTH_PATH = "/health"
"""Values for settings that the document leaves out."""

DEFAULT_LIMITS = CallLimits(
    max_head=16 * 1024, max_body=64 * 1024 * 1024, head_timeout=10.0, idle_timeout=60.0
)
"""Limits on requests of callers for limits that the document leaves out."""


def decode_route_table(document: Mapping) -> RouteTable:
    """Return the route table of a configuration document.

    Raises:
        ValueError, KeyError, TypeError: The document is not valid.
    """
    hosts: dict[bytes, list[Route]] = {}
    for virtual_host in document.get("virtual_hosts", ()):
        host = virtual_host["hostname"].lower().encode()
        hosts.setdefault(host, []).extend(
            _decode_route(path) for path in virtual_host.get("paths", ())
        )
    services = {
        service["name"]: _decode_service(service) for service in document.get("services", ())
    }
    limits = _decode_limits(document.get("limits") or {})
    return RouteTable(int(document["version"]), hosts, services, limits)


def _decode_route(path: Mapping) -> Route:
    return Route(
        name=str(path.get("name") or path["prefix"]),
        prefix=path["prefix"].encode(),
        idempotent=path.get("route_type") == IDEMPOTENT,
        timeout=float(path.get("timeout_s") or DEFAULT_TIMEOUT_SECONDS),
        target_latency=float(path.get("target_latency_s") or path.get("timeout_s") or 1.0),
        max_attempts=int(path.get("max_attempts") or DEFAULT_MAX_ATTEMPTS),
        priority=int(path.get("priority") or DEFAULT_PRIORITY),
        targets=_decode_targets(path),
    )


def _decode_targets(path: Mapping) -> tuple[Target, ...]:
    weighted_services = path.get("weighted_services")
    if not weighted_services:
        return (Target(path["service"], 1.0),)
    return tuple(Target(part["service"], float(part["weight"])) for part in weighted_services)


def _decode_service(service: Mapping) -> ServiceSettings:
    return ServiceSettings(
        name=service["name"],
        health_path=(service.get("health_check_path") or DEFAULT_HEALTH_PATH).encode(),
        max_connections=int(service.get("max_connections") or DEFAULT_MAX_CONNECTIONS),
    )


def _decode_limits(limits: Mapping) -> CallLimits:
    default = DEFAULT_LIMITS
    return CallLimits(
        max_head=int(limits.get("max_header_bytes") or default.max_head),
        max_body=int(limits.get("max_body_bytes") or default.max_body),
        head_timeout=float(limits.get("header_timeout_s") or default.head_timeout),
        idle_timeout=float(limits.get("idle_timeout_s") or default.idle_timeout),
    )
