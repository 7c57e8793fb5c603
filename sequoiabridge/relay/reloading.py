"""Reloads the settings file while the daemon runs."""

from __future__ import annotations

from pathlib import Path

from ..balancing.retry_budget import RetryLimit
from ..balancing.route_stats import RouteStats
from ..config.gateway_settings import GatewaySettings
from ..config.problem import Invalid
from .decisions import DecisionLog
from .freshness import Freshness
from .lag_bound import LagBound


class SettingsReloader:
    """Reloads the settings after a signal, or when their file has changed.

    Limits, costs and the store's address take effect at once; addresses to listen on and the size
    of the machine need a restart. Invalid settings are ignored and logged.

    Args:
        settings: Settings of the daemon, changed in place.
        retry_limit: The retry limit in force, changed in place.
        store: Client of the platform's store, whose `address` is set.
        freshness: Its bound is replaced.

    Attributes:
        reload_requested: A signal has requested a reload.
        last_modified: Modification time of the file when it was read last, in nanoseconds.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        route_stats: RouteStats,
        retry_limit: RetryLimit,
        store,
        freshness: Freshness,
        decisions: DecisionLog,
    ):
        self.settings = settings
        self.route_stats = route_stats
        self.retry_limit = retry_limit
        self.store = store
        self.freshness = freshness
        self.decisions = decisions
        self.reload_requested = False
        self.last_modified = modified_ns(settings.source)

    def poll(self) -> None:
        """Reload the settings if requested or if the file has changed; called by a timer."""
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
        self._apply_retry_limit()
        self.freshness.bound = LagBound(fresh.bounds.config_apply, fresh.bounds.drain)
        self.route_stats.transfer_cost_per_mb = fresh.choice.far_megabyte
        self.store.address = fresh.store.address
        self.decisions.event("reload", store=fresh.store.address)

    def _apply_retry_limit(self) -> None:
        bounds, limit = self.settings.bounds, self.retry_limit
        limit.ratio, limit.window = bounds.retry_ratio, bounds.retry_window
        limit.slack = bounds.retry_slack


def modified_ns(path: str) -> int:
    """Return when a file was modified last, in nanoseconds; 0 if it cannot be read."""
    try:
        return Path(path).stat().st_mtime_ns
    except OSError:
        return 0
