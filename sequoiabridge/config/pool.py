"""A pool: upstreams of one service that are alike."""

from .fields import Integer, Name
from .section import Section


class Pool(Section):
    """`[pool NAME]`: the defaults of its upstreams."""

    heading = "pool"

    service = Name("Service that it belongs to.")
    slots = Integer("Requests that one upstream runs at a time.", 2, minimum=1, maximum=10_000)
    connections = Integer(
        "Connections that one upstream takes from all VMs together.",
        220,
        minimum=1,
        maximum=100_000,
    )
