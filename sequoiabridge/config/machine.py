"""Options that say how much of its machine a daemon may use."""

from .fields import Integer
from .section import Section
from .units import Size

MAX_DESCRIPTORS = 10_000_000


class MachineSection(Section):
    """The machine's memory and descriptors, from which the limits for all callers follow."""

    memory = Size("Memory that this daemon may use; 0B is the memory of the machine.", 0)
    descriptors = Integer(
        "Number of descriptors that this daemon may have open; 0 is the limit of the process.",
        0,
        maximum=MAX_DESCRIPTORS,
    )
