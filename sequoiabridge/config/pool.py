"""A pool: upstreams of one service with common defaults."""

from .fields import Integer, Name
from .section import Section


class Pool(Section):
    """`[pool NAME]`: default limits of its upstreams."""

    heading = "pool"

    service = Name("Service to which the pool belongs.")
    slots = Integer(
        "Number of requests that one upstream runs at the same time.", 2, minimum=1, maximum=10_000
    )
    connections = Integer(
        "Number of connections that one upstream accepts from all VMs together.",
        220,
        minimum=1,
        maximum=100_000,
    )
