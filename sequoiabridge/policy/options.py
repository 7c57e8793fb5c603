"""Service options that affect the choice of an upstream."""


class PoolOptions:
    """Service options that affect the choice of an upstream.

    Attributes:
        eject_cap: Maximum share of the upstreams that may be ejected at once.
        tail_weight: 0 favours few probes, 1 favours low tail latency.
        probes_per_1000: Probes allowed per 1,000 calls.
    """

    __slots__ = ("eject_cap", "tail_weight", "probes_per_1000")

    def __init__(
        self, eject_cap: float = 0.3, tail_weight: float = 0.5, probes_per_1000: float = 0.0
    ):
        self.eject_cap = eject_cap
        self.tail_weight = tail_weight
        self.probes_per_1000 = probes_per_1000
