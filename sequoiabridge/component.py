"""What each long-lived part of the daemon offers to operators."""

from abc import ABC, abstractmethod


class Component(ABC):
    """A part of the daemon that shows its state in the dump.

    Hooks:
        name: Fixed word, the part's key in the dump and its prefix in the logs.
        dump: Called on the operator's request; returns plain maps, lists, strings and numbers.
    """

    name = "part"

    @abstractmethod
    def dump(self) -> dict:
        """Describe the present state, small enough to be read by a person."""
