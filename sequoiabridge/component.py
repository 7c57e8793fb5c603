"""Base class of the daemon's long-lived components."""

from abc import ABC, abstractmethod


class Component(ABC):
    """A component of the daemon that shows its state in the state dump.

    Attributes:
        name: The component's key in the dump.
    """

    name = "part"

    @abstractmethod
    def dump(self) -> dict:
        """Return the current state as dictionaries, lists, strings and numbers.

        Called when an operator requests the dump; the result should be short enough to read.
        """
