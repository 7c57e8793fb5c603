"""Logs entries of the store that cannot be used, each error once."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable

from ..exceptions import BadEntry
from .decisions import DecisionLog

MAX_REMEMBERED = 200
"""Maximum number of entries whose last error is remembered; an error that was forgotten is logged
again when the entry is read again."""


class EntryErrorLog:
    """Logs each error of an entry once until the error changes.

    Attributes:
        count: Number of errors so far, repeated ones included.
        logged: Last error that was logged, by feed and key of the entry.
    """

    def __init__(self, decisions: DecisionLog):
        self.decisions = decisions
        self.logged: OrderedDict[tuple[str, str], str] = OrderedDict()
        self.count = 0

    def record(self, feed: str, problems: Iterable[BadEntry]) -> None:
        """Count the errors in the entries of a feed and log the new ones."""
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
