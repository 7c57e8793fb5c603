"""Takes in changed settings while the daemon runs."""

from __future__ import annotations

from pathlib import Path

from ..balancing.route_stats import RouteStats
from ..config.gateway_settings import GatewaySettings
from ..config.problem import Invalid
from .decisions import DecisionLog


class SettingsReloader:
    """Reads the settings again after a signal, or when their file is another one.

    Bounds, costs and the store's address are taken over at once; where the daemon listens changes
    with a restart. Settings that are not valid are refused, and the old ones stay.

    Args:
        settings: Those that the daemon works by; changed in place.
        store: The client of the platform's store, whose `address` is set.

    Attributes:
        reload_requested: A signal has asked for it.
    """

    def __init__(
        self, settings: GatewaySettings, route_stats: RouteStats, store, decisions: DecisionLog
    ):
        self.settings = settings
        self.route_stats = route_stats
        self.store = store
        self.decisions = decisions
        self.reload_requested = False
        self.last_modified = modified_ns(settings.source)

    def poll(self) -> None:
        """Look whether there is anything new; the timers call it."""
        modified = modified_ns(self.settings.source)
        if not self.reload_requested and modified == self.last_modified:
            return
        self.reload_requested, self.last_modified = False, modified
        try:
            fresh = GatewaySettings.load(self.settings.source)
        except Invalid as error:
            self.decisions.event("reload-refused", why=str(error))
            return
        self.settings.bounds = fresh.bounds
        self.route_stats.transfer_cost_per_mb = fresh.choice.far_megabyte
        self.store.address = fresh.store.address
        self.decisions.event("reload", store=fresh.store.address)


def modified_ns(path: str) -> int:
    """Return when a file was changed last, in nanoseconds; 0 if it is not there."""
    try:
        return Path(path).stat().st_mtime_ns
    except OSError:
        return 0
