"""Thin first version: requests that were with upstreams when they crashed."""


class CrashEntry:
    """One fingerprint."""

    __slots__ = ("fingerprint", "upstreams", "at")

    def __init__(self, fingerprint: str, at: float):
        self.fingerprint = fingerprint
        self.upstreams: set[str] = set()
        self.at = at

    @property
    def stopped(self) -> bool:
        """Whether it reached two upstreams."""
        return len(self.upstreams) >= 2

    age = 0.0


class CrashLedger:
    """Counts the upstreams that crashed with each fingerprint."""

    def __init__(self):
        self.entries: dict[str, CrashEntry] = {}

    @property
    def is_empty(self) -> bool:
        """Whether nothing is listed."""
        return not self.entries

    def seen(self, fingerprint: str, upstream: str, vm: str, at: float, now: float) -> None:
        """A crash with this request."""
        entry = self.entries.setdefault(fingerprint, CrashEntry(fingerprint, now))
        entry.upstreams.add(upstream)

    def blocked(self, fingerprint: str, now: float) -> bool:
        """Whether the request is stopped."""
        entry = self.entries.get(fingerprint)
        return entry is not None and entry.stopped

    def release(self, fingerprint: str, at: float) -> None:
        """Let it run again."""
        self.entries.pop(fingerprint, None)

    def listed(self, now: float) -> list[CrashEntry]:
        """Return all entries."""
        return list(self.entries.values())
