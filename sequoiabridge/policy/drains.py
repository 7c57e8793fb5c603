"""Drain state of upstreams, ordered by their incarnation numbers.

Updates come from several sources (an answer, the platform's list, another VM). They may be late or
repeated, or precede the configuration of the upstream. The highest incarnation wins; at equal
incarnations draining wins, so that only a newer incarnation of the upstream undoes a drain.
"""

from __future__ import annotations

from collections.abc import Container

MAX_UNKNOWN_UPSTREAMS = 256
"""Maximum number of upstreams outside the configuration whose state is kept."""


class DrainState:
    """Whether an upstream is leaving, and the incarnation that said so."""

    __slots__ = ("incarnation", "leaving")

    def __init__(self, incarnation: int, leaving: bool):
        self.incarnation = incarnation
        self.leaving = leaving


class DrainLedger:
    """Latest drain state of each upstream of a service."""

    def __init__(self):
        self.states: dict[str, DrainState] = {}

    def draining(self, name: str) -> int | None:
        """Return the incarnation that is draining, or None if the upstream is not draining."""
        state = self.states.get(name)
        return state.incarnation if state is not None and state.leaving else None

    def drain(self, name: str, incarnation: int) -> bool:
        """Mark the upstream as draining; return whether that changed its state."""
        state = self.states.get(name)
        if state is not None:
            if incarnation < state.incarnation:
                return False
            if incarnation == state.incarnation and state.leaving:
                return False
        self._store(name, DrainState(incarnation, True))
        return True

    def resume(self, name: str, incarnation: int) -> bool:
        """Mark the upstream as active again; return whether that changed its state."""
        state = self.states.get(name)
        if state is not None and incarnation <= state.incarnation:
            return False
        self._store(name, DrainState(incarnation, False))
        return True

    def forget_unknown(self, known: Container[str]) -> None:
        """Drop all but the newest states of upstreams that are not in `known`."""
        unknown = [name for name in self.states if name not in known]
        for name in unknown[:-MAX_UNKNOWN_UPSTREAMS]:
            del self.states[name]

    def _store(self, name: str, state: DrainState) -> None:
        self.states.pop(name, None)
        self.states[name] = state
