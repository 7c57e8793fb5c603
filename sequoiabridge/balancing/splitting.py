"""Shares the calls of a route between its services by their weights."""

from __future__ import annotations

from random import Random

from .routes import Route


class Splitter:
    """Draws the service of each call so that the shares come out even over few calls.

    The weights' error is carried from call to call: after any run of calls each service has had
    its share to within one call (smooth weighted round robin). Each VM begins at a place by chance,
    so that many VMs with few calls each do not all begin with the same service.
    """

    __slots__ = ("random", "credits")

    def __init__(self, random: Random):
        self.random = random
        self.credits: dict[str, tuple[tuple, list[float]]] = {}

    def service_for(self, route: Route) -> str:
        """Return the service of the route's next call."""
        targets = route.targets
        if len(targets) == 1:
            return targets[0].service
        credits = self._credits(route)
        total = sum(target.weight for target in targets)
        for place, target in enumerate(targets):
            credits[place] += target.weight
        chosen = max(range(len(targets)), key=credits.__getitem__)
        credits[chosen] -= total
        return targets[chosen].service

    def _credits(self, route: Route) -> list[float]:
        """Return what each service is owed; anew when the weights have changed."""
        shape = tuple((target.service, target.weight) for target in route.targets)
        kept = self.credits.get(route.name)
        if kept is not None and kept[0] == shape:
            return kept[1]
        credits = [self.random.uniform(0.0, target.weight) for target in route.targets]
        self.credits[route.name] = (shape, credits)
        return credits
