"""Tells of entries that cannot be used: each once, and never more than a log can bear."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable

from ..exceptions import BadEntry
from .decisions import DecisionLog

MOST_REMEMBERED = 200
"""Entries whose latest complaint is remembered; with more, an old one may be told of again. A
foreign writer may leave hundreds, and each is read anew after lost history."""


class Complaints:
    """What is wrong with entries, logged once for each entry and reason.

    Attributes:
        count: Complaints so far, those included that were not told again.
    """

    def __init__(self, decisions: DecisionLog):
        self.decisions = decisions
        self.told: OrderedDict[tuple[str, str], str] = OrderedDict()
        self.count = 0

    def heard(self, feed: str, problems: Iterable[BadEntry]) -> None:
        """Take in what was wrong with the entries of a reading."""
        for problem in problems:
            self._heard(feed, problem)

    def _heard(self, feed: str, problem: BadEntry) -> None:
        self.count += 1
        key, why = (feed, problem.key), str(problem)
        if self.told.get(key) == why:
            return
        self.told[key] = why
        self.told.move_to_end(key)
        if len(self.told) > MOST_REMEMBERED:
            self.told.popitem(last=False)
        self.decisions.event("entry-unusable", feed=feed, key=problem.key, why=why)
