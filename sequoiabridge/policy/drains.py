"""Which upstreams said that they are leaving, by their own incarnation numbers.

The word may come from any side (an answer, the platform's list, another VM), late or twice, and
before the configuration names the upstream. The highest incarnation wins; at the same one, leaving
wins, so that only the upstream's own newer word undoes a drain.
"""

from __future__ import annotations

from collections.abc import Container

REMEMBERED = 256
"""Words kept about upstreams that the configuration does not name (yet)."""


class DrainWord:
    """An upstream's newest word: whether it is leaving, and its incarnation."""

    __slots__ = ("incarnation", "leaving")

    def __init__(self, incarnation: int, leaving: bool):
        self.incarnation = incarnation
        self.leaving = leaving


class DrainLedger:
    """The newest word of each upstream of a service."""

    def __init__(self):
        self.words: dict[str, DrainWord] = {}

    def draining(self, name: str) -> int | None:
        """Return the incarnation with which the upstream is leaving, or None if it stays."""
        word = self.words.get(name)
        return word.incarnation if word is not None and word.leaving else None

    def drain(self, name: str, incarnation: int) -> bool:
        """The upstream is leaving; return whether that is news."""
        word = self.words.get(name)
        if word is not None:
            if incarnation < word.incarnation:
                return False
            if incarnation == word.incarnation and word.leaving:
                return False
        self._put(name, DrainWord(incarnation, True))
        return True

    def resume(self, name: str, incarnation: int) -> bool:
        """The upstream is back; return whether that is news."""
        word = self.words.get(name)
        if word is not None and incarnation <= word.incarnation:
            return False
        self._put(name, DrainWord(incarnation, False))
        return True

    def forget_strangers(self, known: Container[str]) -> None:
        """Keep only the newest words about upstreams that are not `known`."""
        strangers = [name for name in self.words if name not in known]
        for name in strangers[:-REMEMBERED]:
            del self.words[name]

    def _put(self, name: str, word: DrainWord) -> None:
        self.words.pop(name, None)
        self.words[name] = word
