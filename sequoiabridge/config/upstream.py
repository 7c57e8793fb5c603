"""An upstream: one server that runs requests."""

from .fields import Boolean, Integer, Name
from .section import Section
from .units import Address


class Upstream(Section):
    """`[upstream NAME]`: its address, and what differs from its pool."""

    heading = "upstream"

    pool = Name("Pool that it belongs to.")
    address = Address("Where it takes requests; no other upstream may have the same.")
    data_centre = Name("Data centre in which it runs.", "unknown")
    slots = Integer("Requests that it runs at a time; 0 for the pool's figure.", 0, maximum=10_000)
    connections = Integer(
        "Connections that it takes from all VMs together; 0 for the pool's figure.",
        0,
        maximum=100_000,
    )
    drained = Boolean("Whether the operator keeps new work away from it.", False)
