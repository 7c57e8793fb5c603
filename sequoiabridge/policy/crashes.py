"""Which requests crash the upstreams that run them, counted over the whole fleet.

A request is known by its fingerprint (of its key, or of method, path and body). When an upstream's
connections break, every request that was with it is a suspect in that crash. The blame for a crash
is shared between its suspects by the square of how many upstreams died with each, and with the
crashes around it that a suspect had no part in (the upstreams then seem to die of something else).
A request that was answered since is no suspect any more.

A blocked request is let through once in a while, as a trial: an innocent one is answered and free
again, one that does crash upstreams costs one of them and waits twice as long for its next trial.
"""

from __future__ import annotations

from collections.abc import Iterable

MIN_BLOCK_BLAME = 1.2
"""Blame, summed over distinct upstreams, at which a fingerprint is blocked: 1 for each at most."""

MIN_UPSTREAMS = 2
"""Distinct upstreams that must have died with a blocked request."""

SAME_CRASH_SECONDS = 1.0
"""Seconds within which broken connections of one upstream are one crash."""

NEARBY_SECONDS = 10.0
"""Seconds before and after a crash within which others speak for a common cause."""

CRASH_RETENTION_SECONDS = 3600.0
"""Seconds after which a crash is forgotten."""

TRIAL_DELAY_SECONDS = 5.0
"""Seconds without a crash after which a blocked request gets a trial; each further upstream that
dies with it doubles them. A harmful request then costs at most 10 upstreams an hour (5 s doubled
nine times is 43 minutes); a harmless one is refused for some seconds."""

MAX_CRASHES = 2000
"""Crashes remembered at most; the oldest go first."""


class Crash:
    """One crash of an upstream: `at` is wall time, `learned_at` monotonic time."""

    __slots__ = ("upstream", "at", "learned_at", "suspects", "vms")

    def __init__(self, upstream: str, at: float, learned_at: float):
        self.upstream = upstream
        self.at = at
        self.learned_at = learned_at
        self.suspects: set[str] = set()
        self.vms: set[str] = set()


class CrashSuspect:
    """One suspect as operators see it."""

    __slots__ = ("fingerprint", "blocked", "blame", "upstreams", "vms", "last_crash_at")

    def __init__(self, fingerprint: str, blocked: bool, blame: float, crashes: list[Crash]):
        self.fingerprint = fingerprint
        self.blocked = blocked
        self.blame = blame
        self.upstreams = sorted({crash.upstream for crash in crashes})
        self.vms = sorted({vm for crash in crashes for vm in crash.vms})
        self.last_crash_at = max(crash.at for crash in crashes)


class CrashLedger:
    """Crashes of the upstreams of one service, and the requests that are stopped for them.

    Args:
        min_upstreams: Distinct upstreams that must have died with a request before it is stopped.

    Attributes:
        blocked_fingerprints: Fingerprints of blocked requests.
        last_trial_at: When blocked requests had their latest trial, by fingerprint.
    """

    def __init__(self, min_upstreams: int = MIN_UPSTREAMS):
        self.min_upstreams = min_upstreams
        self.crashes: list[Crash] = []
        self.by_fingerprint: dict[str, list[Crash]] = {}
        self.released_at: dict[str, float] = {}
        self.blocked_fingerprints: set[str] = set()
        self.last_trial_at: dict[str, float] = {}

    def record_crash(self, fingerprint: str, upstream: str, vm: str, at: float, now: float) -> bool:
        """A request was with an upstream when that died; return whether that is news.

        To be called for each request whose connection broke before its answer, here or at another
        VM; `at` is the wall time of the event.
        """
        self._drop_expired(now)
        if at <= self.released_at.get(fingerprint, float("-inf")):
            return False
        crash = self._find_or_add_crash(upstream, at, now)
        crash.vms.add(vm)
        if fingerprint in crash.suspects:
            return False
        crash.suspects.add(fingerprint)
        self.by_fingerprint.setdefault(fingerprint, []).append(crash)
        self._update_blocked(self._affected_suspects(crash))
        return True

    def record_answer(self, fingerprint: str, at: float) -> bool:
        """A request was answered whole at the wall time `at`; return whether it was a suspect."""
        if fingerprint not in self.by_fingerprint:
            return False
        self._clear(fingerprint, at)
        return True

    def release(self, fingerprint: str, at: float) -> bool:
        """It may run again, whatever happened up to `at`; return if it was known.

        The operator says so, or another VM that saw it answered whole.
        """
        known = fingerprint in self.by_fingerprint
        self.released_at[fingerprint] = max(at, self.released_at.pop(fingerprint, at))
        if len(self.released_at) > MAX_CRASHES:
            del self.released_at[next(iter(self.released_at))]
        self._clear(fingerprint, at)
        return known

    def is_blocked(self, fingerprint: str, now: float) -> bool:
        """Return whether a request with the fingerprint must not run."""
        if fingerprint not in self.blocked_fingerprints:
            return False
        self._drop_expired(now)
        return fingerprint in self.blocked_fingerprints

    def take_trial(self, fingerprint: str, now: float) -> bool:
        """Let a blocked request through once if its time has come; return whether it may run."""
        crashes = self.by_fingerprint.get(fingerprint, ())
        last = max((crash.learned_at for crash in crashes), default=now)
        further = self._upstream_count(fingerprint) - self.min_upstreams
        due = (
            max(last, self.last_trial_at.get(fingerprint, last)) + TRIAL_DELAY_SECONDS * 2**further
        )
        if now < due:
            return False
        self.last_trial_at[fingerprint] = now
        return True

    def blame(self, fingerprint: str) -> float:
        """Return the blame that the fingerprint carries, at most 1 for each distinct upstream."""
        shares: dict[str, float] = {}
        for crash in self.by_fingerprint.get(fingerprint, ()):
            share = self._blame_share(fingerprint, crash)
            shares[crash.upstream] = max(share, shares.get(crash.upstream, 0.0))
        return sum(shares.values())

    def list_suspects(self, now: float) -> list[CrashSuspect]:
        """Return all suspects, the most blamed first."""
        self._drop_expired(now)
        rows = [
            CrashSuspect(f, f in self.blocked_fingerprints, self.blame(f), crashes)
            for f, crashes in self.by_fingerprint.items()
        ]
        return sorted(rows, key=lambda row: -row.blame)

    def _blame_share(self, fingerprint: str, crash: Crash) -> float:
        own = self._upstream_count(fingerprint) ** 2
        suspects = sum(self._upstream_count(suspect) ** 2 for suspect in crash.suspects)
        elsewhere = {
            other.upstream
            for other in self.crashes
            if abs(other.at - crash.at) <= NEARBY_SECONDS and fingerprint not in other.suspects
        }
        return own / (suspects + len(elsewhere - {crash.upstream}) ** 2)

    def _upstream_count(self, fingerprint: str) -> int:
        return len({crash.upstream for crash in self.by_fingerprint.get(fingerprint, ())})

    def _find_or_add_crash(self, upstream: str, at: float, now: float) -> Crash:
        for crash in reversed(self.crashes):
            if crash.upstream == upstream and abs(crash.at - at) <= SAME_CRASH_SECONDS:
                return crash
        crash = Crash(upstream, at, now)
        self.crashes.append(crash)
        self._drop(self.crashes[:-MAX_CRASHES])
        return crash

    def _affected_suspects(self, crash: Crash) -> set[str]:
        """Return the suspects whose blame a change of `crash` can change."""
        near = (c for c in self.crashes if abs(c.at - crash.at) <= NEARBY_SECONDS)
        return {f for c in near for f in c.suspects if len(self.by_fingerprint[f]) > 1}

    def _update_blocked(self, fingerprints: Iterable[str]) -> None:
        for fingerprint in fingerprints:
            enough = self._upstream_count(fingerprint) >= self.min_upstreams
            if enough and self.blame(fingerprint) >= MIN_BLOCK_BLAME:
                self.blocked_fingerprints.add(fingerprint)
            else:
                self._unblock(fingerprint)

    def _unblock(self, fingerprint: str) -> None:
        self.blocked_fingerprints.discard(fingerprint)
        self.last_trial_at.pop(fingerprint, None)

    def _clear(self, fingerprint: str, at: float) -> None:
        """Take the fingerprint out of all crashes up to `at`."""
        kept = []
        for crash in self.by_fingerprint.pop(fingerprint, []):
            if crash.at <= at:
                crash.suspects.discard(fingerprint)
            else:
                kept.append(crash)
        if kept:
            self.by_fingerprint[fingerprint] = kept
        self._unblock(fingerprint)
        self._update_blocked([fingerprint] if kept else [])

    def _drop_expired(self, now: float) -> None:
        if self.crashes and self.crashes[0].learned_at < now - CRASH_RETENTION_SECONDS:
            self._drop([c for c in self.crashes if c.learned_at < now - CRASH_RETENTION_SECONDS])

    def _drop(self, crashes: list[Crash]) -> None:
        for crash in crashes:
            self.crashes.remove(crash)
            for fingerprint in crash.suspects:
                self.by_fingerprint[fingerprint].remove(crash)
                if not self.by_fingerprint[fingerprint]:
                    del self.by_fingerprint[fingerprint]
                self._update_blocked([fingerprint])
