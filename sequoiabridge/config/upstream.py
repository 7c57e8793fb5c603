"""An upstream: a server that runs requests."""

from .fields import Boolean, Integer, Name
from .section import Section
from .units import Address


class Upstream(Section):
    """`[upstream NAME]`: its address and the limits that differ from its pool."""

    heading = "upstream"

    pool = Name("Pool to which the upstream belongs.")
    address = Address("Address for requests; unique among upstreams.")
    data_centre = Name("Data centre in which the upstream runs.", "unknown")
    slots = Integer(
        "Number of requests that it runs at the same time; 0 for the value of the pool.",
        0,
        maximum=10_000,
    )
    connections = Integer(
        "Number of connections that it accepts from all VMs together; 0 for the value of the pool.",
        0,
        maximum=100_000,
    )
    drained = Boolean("Whether the upstream is drained: it receives no new requests.", False)
