"""A service's options that the choice depends on."""


class PoolOptions:
    """A service's options that the choice depends on.

    Attributes:
        eject_cap: Share of the upstreams that may be ejected at a time.
        tail_weight: 0 = the cost of measuring counts most, 1 = tail latency does.
        probes_per_1000: Probes paid by 1,000 calls.
    """

    __slots__ = ("eject_cap", "tail_weight", "probes_per_1000")

    def __init__(
        self, eject_cap: float = 0.3, tail_weight: float = 0.5, probes_per_1000: float = 0.0
    ):
        self.eject_cap = eject_cap
        self.tail_weight = tail_weight
        self.probes_per_1000 = probes_per_1000
