"""Tells of entries that cannot be used: each once, and never more than a log can bear."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable

from ..exceptions import BadEntry
from .decisions import DecisionLog

MAX_REMEMBERED = 200
"""Entries whose latest complaint is remembered; with more, an old one may be told of again. A
foreign writer may leave hundreds, and each is read anew after lost history."""


class EntryErrorLog:
    """What is wrong with entries, logged once for each entry and reason.

    Attributes:
        count: Complaints so far, those included that were not told again.
    """

    def __init__(self, decisions: DecisionLog):
        self.decisions = decisions
        self.logged: OrderedDict[tuple[str, str], str] = OrderedDict()
        self.count = 0

    def record(self, feed: str, problems: Iterable[BadEntry]) -> None:
        """Take in what was wrong with the entries of a reading."""
        for problem in problems:
            self._record(feed, problem)

    def _record(self, feed: str, problem: BadEntry) -> None:
        self.count += 1
        key, why = (feed, problem.key), str(problem)
        if self.logged.get(key) == why:
            return
        self.logged[key] = why
        self.logged.move_to_end(key)
        if len(self.logged) > MAX_REMEMBERED:
            self.logged.popitem(last=False)
        self.decisions.event("entry-unusable", feed=feed, key=problem.key, why=why)
