"""Turns: how much a task does before other tasks run, however fast its input comes.

A task of curio runs until it waits. One that finds input whenever it looks never waits, so that no
other task runs and none of its timeouts takes effect.
"""

from __future__ import annotations

import curio

MAX_STEPS = 32
"""Number of steps of a turn; a step is a read from a socket or the parsing of a few bytes."""


class Turn:
    """Counts the steps of a task."""

    __slots__ = ("steps",)

    def __init__(self) -> None:
        self.steps = 0

    async def step(self) -> None:
        """Count a step; at the end of the turn, let all other ready tasks run."""
        self.steps += 1
        if self.steps >= MAX_STEPS:
            self.steps = 0
            await curio.sleep(0)
