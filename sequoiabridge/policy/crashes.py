"""Detects requests that crash the upstreams that run them, from reports of the whole fleet.

A request is identified by a fingerprint (of its key, or of method, path and body). When an
upstream's connections break, each request in flight to it is a suspect. The blame for a crash is
divided among its suspects, weighted by the square of the number of upstreams that crashed with
each. Crashes at about the same time without a suspect lower its blame, since they point to another
cause. A request that has been answered since is no longer a suspect.

A blocked request is let through occasionally as a trial. If it is answered, it is unblocked; if
another upstream crashes, the delay before its next trial doubles.
"""

from __future__ import annotations

from collections.abc import Iterable

MIN_BLOCK_BLAME = 1.2
"""Blame from which a fingerprint is blocked; each distinct upstream adds at most 1."""

MIN_UPSTREAMS = 2
"""Minimum number of distinct upstreams that must have crashed with a blocked request."""

SAME_CRASH_SECONDS = 1.0
"""Maximum time between broken connections of one upstream that count as the same crash."""

NEARBY_SECONDS = 10.0
"""Maximum time between crashes that may have a common cause."""

CRASH_RETENTION_SECONDS = 3600.0
"""Seconds after which a crash is forgotten."""

TRIAL_DELAY_SECONDS = 5.0
"""Seconds without a crash before the first trial of a blocked request; doubles with each further
upstream that crashes. A harmful request then costs at most 10 upstreams an hour; a harmless one is
refused for some seconds."""

MAX_CRASHES = 2000
"""Maximum number of crashes that are kept; the oldest are dropped first."""


class Crash:
    """A crash of an upstream: at wall time `at`, known to this daemon since `learned_at`."""

    __slots__ = ("upstream", "at", "learned_at", "suspects", "vms")

    def __init__(self, upstream: str, at: float, learned_at: float):
        self.upstream = upstream
        self.at = at
        self.learned_at = learned_at
        self.suspects: set[str] = set()
        self.vms: set[str] = set()


class CrashSuspect:
    """A suspect as it is listed for operators."""

    __slots__ = ("fingerprint", "blocked", "blame", "upstreams", "vms", "last_crash_at")

    def __init__(self, fingerprint: str, blocked: bool, blame: float, crashes: list[Crash]):
        self.fingerprint = fingerprint
        self.blocked = blocked
        self.blame = blame
        self.upstreams = sorted({crash.upstream for crash in crashes})
        self.vms = sorted({vm for crash in crashes for vm in crash.vms})
        self.last_crash_at = max(crash.at for crash in crashes)


class CrashLedger:
    """Crashes of the upstreams of one service, and the requests blocked because of them.

    Args:
        min_upstreams: Distinct upstreams that must have crashed with a request before it is
            blocked.

    Attributes:
        blocked_fingerprints: Fingerprints of blocked requests.
        last_trial_at: Time of the latest trial of each blocked request, by fingerprint.
    """

    def __init__(self, min_upstreams: int = MIN_UPSTREAMS):
        self.min_upstreams = min_upstreams
        self.crashes: list[Crash] = []
        self.by_fingerprint: dict[str, list[Crash]] = {}
        self.released_at: dict[str, float] = {}
        self.blocked_fingerprints: set[str] = set()
        self.last_trial_at: dict[str, float] = {}

    def record_crash(self, fingerprint: str, upstream: str, vm: str, at: float, now: float) -> bool:
        """Record that a request was in flight to a crashed upstream; return whether that is new.

        Called for each request whose connection broke before its answer, on this VM or another one;
        `at` is the wall time of the crash.
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
        """Record a complete answer at wall time `at`; return whether the request was a suspect."""
        if fingerprint not in self.by_fingerprint:
            return False
        self._clear(fingerprint, at)
        return True

    def release(self, fingerprint: str, at: float) -> bool:
        """Clear the request of crashes up to `at`; return whether it was a suspect.

        Called when an operator releases the request, or another VM got a complete answer.
        """
        known = fingerprint in self.by_fingerprint
        self.released_at[fingerprint] = max(at, self.released_at.pop(fingerprint, at))
        if len(self.released_at) > MAX_CRASHES:
            del self.released_at[next(iter(self.released_at))]
        self._clear(fingerprint, at)
        return known

    def is_blocked(self, fingerprint: str, now: float) -> bool:
        """Return whether requests with the fingerprint are blocked."""
        if fingerprint not in self.blocked_fingerprints:
            return False
        self._drop_expired(now)
        return fingerprint in self.blocked_fingerprints

    def take_trial(self, fingerprint: str, now: float) -> bool:
        """Return whether a blocked request may run now as a trial; if so, record the trial."""
        crashes = self.by_fingerprint.get(fingerprint, ())
        last_learned_at = max((crash.learned_at for crash in crashes), default=now)
        extra_upstreams = self._upstream_count(fingerprint) - self.min_upstreams
        due = (
            max(last_learned_at, self.last_trial_at.get(fingerprint, last_learned_at))
            + TRIAL_DELAY_SECONDS * 2**extra_upstreams
        )
        if now < due:
            return False
        self.last_trial_at[fingerprint] = now
        return True

    def blame(self, fingerprint: str) -> float:
        """Return the blame of the fingerprint, at most 1 for each distinct upstream."""
        shares: dict[str, float] = {}
        for crash in self.by_fingerprint.get(fingerprint, ()):
            share = self._blame_share(fingerprint, crash)
            shares[crash.upstream] = max(share, shares.get(crash.upstream, 0.0))
        return sum(shares.values())

    def list_suspects(self, now: float) -> list[CrashSuspect]:
        """Return all suspects, highest blame first."""
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
        """Remove the fingerprint from all crashes up to `at`."""
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
