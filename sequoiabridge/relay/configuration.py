"""The configuration in force at this daemon."""

from __future__ import annotations

from collections.abc import Callable

from ..balancing.routes import RouteTable
from ..component import Component
from ..logs import get_log
from .decisions import DecisionLog

log = get_log("configuration")

DEFAULT_HEALTH_PATH = b"/health"
"""Path of the health check of services that the configuration does not name."""


class Configuration(Component):
    """Holds the newest route table; older ones are ignored.

    Args:
        on_change: Called with each table that comes into force.

    Attributes:
        table: The table in force, None before the first.
        receives_updates: Returns whether updates of the store reach this daemon.
    """

    name = "configuration"

    def __init__(self, decisions: DecisionLog, on_change: Callable[[RouteTable], None]):
        self.decisions = decisions
        self.on_change = on_change
        self.table: RouteTable | None = None
        self.receives_updates: Callable[[], bool] = lambda: False

    @property
    def version(self) -> int:
        """Return the version in force, 0 before the first."""
        return self.table.version if self.table else 0

    @property
    def is_current(self) -> bool:
        """Return whether the table is the newest as far as this daemon can know."""
        return self.table is not None and self.receives_updates()

    def offer(self, table: RouteTable) -> bool:
        """Put a table into force if it is newer than the present one; return whether it is."""
        if table.version <= self.version:
            return False
        previous, self.table = self.version, table
        self.decisions.event("configuration", version=table.version, was=previous)
        self.on_change(table)
        return True

    def health_path(self, service: str) -> bytes:
        """Return the path of a service's health check."""
        terms = self.table.services.get(service) if self.table else None
        return terms.health_path if terms else DEFAULT_HEALTH_PATH

    def dump(self) -> dict:
        """Describe the configuration for the state dump."""
        if self.table is None:
            return {"version": 0}
        routes = {
            route.name: {
                "prefix": route.prefix.decode("latin-1"),
                "timeout": route.timeout,
                "idempotent": route.idempotent,
                "max_attempts": route.max_attempts,
                "priority": route.priority,
                "targets": {target.service: target.weight for target in route.targets},
            }
            for route in self.table.routes()
        }
        return {"version": self.version, "current": self.is_current, "routes": routes}
