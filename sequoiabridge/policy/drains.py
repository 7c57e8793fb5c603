"""Which upstreams said that they are leaving, by their own incarnation numbers.

The word may come from any side (an answer, the platform's list, another VM), late or twice, and
before the configuration names the upstream. The highest incarnation wins; at the same one, leaving
wins, so that only the upstream's own newer word undoes a drain.
"""

from __future__ import annotations

from collections.abc import Container

MAX_UNKNOWN_UPSTREAMS = 256
"""Words kept about upstreams that the configuration does not name (yet)."""


class DrainState:
    """An upstream's newest state: whether it is leaving, and its incarnation."""

    __slots__ = ("incarnation", "leaving")

    def __init__(self, incarnation: int, leaving: bool):
        self.incarnation = incarnation
        self.leaving = leaving


class DrainLedger:
    """The newest word of each upstream of a service."""

    def __init__(self):
        self.states: dict[str, DrainState] = {}

    def draining(self, name: str) -> int | None:
        """Return the incarnation with which the upstream is leaving, or None if it stays."""
        state = self.states.get(name)
        return state.incarnation if state is not None and state.leaving else None

    def drain(self, name: str, incarnation: int) -> bool:
        """The upstream is leaving; return whether that is news."""
        state = self.states.get(name)
        if state is not None:
            if incarnation < state.incarnation:
                return False
            if incarnation == state.incarnation and state.leaving:
                return False
        self._store(name, DrainState(incarnation, True))
        return True

    def resume(self, name: str, incarnation: int) -> bool:
        """The upstream is back; return whether that is news."""
        state = self.states.get(name)
        if state is not None and incarnation <= state.incarnation:
            return False
        self._store(name, DrainState(incarnation, False))
        return True

    def forget_unknown(self, known: Container[str]) -> None:
        """Keep only the newest words about upstreams that are not `known`."""
        unknown = [name for name in self.states if name not in known]
        for name in unknown[:-MAX_UNKNOWN_UPSTREAMS]:
            del self.states[name]

    def _store(self, name: str, state: DrainState) -> None:
        self.states.pop(name, None)
        self.states[name] = state
