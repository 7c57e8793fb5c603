"""Splits the calls of a route between its services by weight."""

from __future__ import annotations

from random import Random

from .routes import Route


class Splitter:
    """Selects the service of each call by smooth weighted round robin.

    After any number of calls, each service has had its share to within one call. The initial
    credits are random, so that many VMs with few calls each do not all start with the same service.
    """

    __slots__ = ("random", "credits")

    def __init__(self, random: Random):
        self.random = random
        self.credits: dict[str, tuple[tuple, list[float]]] = {}

    def service_for(self, route: Route) -> str:
        """Return the service of the next call of `route`."""
        targets = route.targets
        if len(targets) == 1:
            return targets[0].service
        credits = self._credits(route)
        total = sum(target.weight for target in targets)
        for index, target in enumerate(targets):
            credits[index] += target.weight
        chosen = max(range(len(targets)), key=credits.__getitem__)
        credits[chosen] -= total
        return targets[chosen].service

    def _credits(self, route: Route) -> list[float]:
        """Return the current credit of each service; reset when the targets have changed."""
        weights = tuple((target.service, target.weight) for target in route.targets)
        kept = self.credits.get(route.name)
        if kept is not None and kept[0] == weights:
            return kept[1]
        credits = [self.random.uniform(0.0, target.weight) for target in route.targets]
        self.credits[route.name] = (weights, credits)
        return credits
