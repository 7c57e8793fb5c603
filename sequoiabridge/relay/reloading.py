"""Takes in changed settings while the daemon runs."""

from __future__ import annotations

from pathlib import Path

from ..balancing.route_stats import Costs
from ..config.gateway_settings import GatewaySettings
from ..config.problem import Invalid
from .decisions import DecisionLog


class SettingsWatch:
    """Reads the settings again after a signal, or when their file is another one.

    Bounds, costs and the store's address are taken over at once; where the daemon listens changes
    with a restart. Settings that are not valid are refused, and the old ones stay.

    Args:
        settings: Those that the daemon works by; changed in place.
        store: The client of the platform's store, whose `address` is set.

    Attributes:
        asked: A signal has asked for it.
    """

    def __init__(self, settings: GatewaySettings, costs: Costs, store, decisions: DecisionLog):
        self.settings = settings
        self.costs = costs
        self.store = store
        self.decisions = decisions
        self.asked = False
        self.seen = modified(settings.source)

    def look(self) -> None:
        """Look whether there is anything new; the timers call it."""
        seen = modified(self.settings.source)
        if not self.asked and seen == self.seen:
            return
        self.asked, self.seen = False, seen
        try:
            fresh = GatewaySettings.load(self.settings.source)
        except Invalid as error:
            self.decisions.event("reload-refused", why=str(error))
            return
        self.settings.bounds = fresh.bounds
        self.costs.far_megabyte = fresh.choice.far_megabyte
        self.store.address = fresh.store.address
        self.decisions.event("reload", store=fresh.store.address)


def modified(path: str) -> int:
    """Return when a file was changed last, in nanoseconds; 0 if it is not there."""
    try:
        return Path(path).stat().st_mtime_ns
    except OSError:
        return 0
