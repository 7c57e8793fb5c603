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

BLOCK_BLAME = 1.2
"""Blame, summed over distinct upstreams, at which a fingerprint is blocked: 1 for each at most."""

FEWEST_UPSTREAMS = 2
"""Distinct upstreams that must have died with a blocked request."""

CRASH_TIME = 1.0
"""Seconds within which broken connections of one upstream are one crash."""

NEARBY = 10.0
"""Seconds before and after a crash within which others speak for a common cause."""

FORGET_AFTER = 3600.0
"""Seconds after which a crash is forgotten."""

TRIAL_PAUSE = 5.0
"""Seconds without a crash after which a blocked request gets a trial; each further upstream that
dies with it doubles them. A harmful request then costs at most 10 upstreams an hour (5 s doubled
nine times is 43 minutes); a harmless one is refused for some seconds."""

MOST_CRASHES = 2000
"""Crashes remembered at most; the oldest go first."""


class Crash:
    """One death of an upstream: `at` is its wall time, `heard` when this daemon learned of it."""

    __slots__ = ("upstream", "at", "heard", "suspects", "vms")

    def __init__(self, upstream: str, at: float, heard: float):
        self.upstream = upstream
        self.at = at
        self.heard = heard
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
        fewest: Distinct upstreams that must have died with a request before it is stopped.

    Attributes:
        blocked_fingerprints: Fingerprints of blocked requests.
        tried: When blocked requests had their latest trial, by fingerprint.
    """

    def __init__(self, fewest: int = FEWEST_UPSTREAMS):
        self.fewest = fewest
        self.crashes: list[Crash] = []
        self.by_fingerprint: dict[str, list[Crash]] = {}
        self.released: dict[str, float] = {}
        self.blocked_fingerprints: set[str] = set()
        self.tried: dict[str, float] = {}

    def record_crash(self, fingerprint: str, upstream: str, vm: str, at: float, now: float) -> bool:
        """A request was with an upstream when that died; return whether that is news.

        To be called for each request whose connection broke before its answer, here or at another
        VM; `at` is the wall time of the event.
        """
        self._forget(now)
        if at <= self.released.get(fingerprint, float("-inf")):
            return False
        crash = self._crash(upstream, at, now)
        crash.vms.add(vm)
        if fingerprint in crash.suspects:
            return False
        crash.suspects.add(fingerprint)
        self.by_fingerprint.setdefault(fingerprint, []).append(crash)
        self._judge(self._touched_by(crash))
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
        self.released[fingerprint] = max(at, self.released.pop(fingerprint, at))
        if len(self.released) > MOST_CRASHES:
            del self.released[next(iter(self.released))]
        self._clear(fingerprint, at)
        return known

    def is_blocked(self, fingerprint: str, now: float) -> bool:
        """Return whether a request with the fingerprint must not run."""
        if fingerprint not in self.blocked_fingerprints:
            return False
        self._forget(now)
        return fingerprint in self.blocked_fingerprints

    def take_trial(self, fingerprint: str, now: float) -> bool:
        """Let a blocked request through once if its time has come; return whether it may run."""
        crashes = self.by_fingerprint.get(fingerprint, ())
        last = max((crash.heard for crash in crashes), default=now)
        further = self._count(fingerprint) - self.fewest
        due = max(last, self.tried.get(fingerprint, last)) + TRIAL_PAUSE * 2**further
        if now < due:
            return False
        self.tried[fingerprint] = now
        return True

    def blame(self, fingerprint: str) -> float:
        """Return the blame that the fingerprint carries, at most 1 for each distinct upstream."""
        shares: dict[str, float] = {}
        for crash in self.by_fingerprint.get(fingerprint, ()):
            share = self._share(fingerprint, crash)
            shares[crash.upstream] = max(share, shares.get(crash.upstream, 0.0))
        return sum(shares.values())

    def list_suspects(self, now: float) -> list[CrashSuspect]:
        """Return all suspects, the most blamed first."""
        self._forget(now)
        rows = [
            CrashSuspect(f, f in self.blocked_fingerprints, self.blame(f), crashes)
            for f, crashes in self.by_fingerprint.items()
        ]
        return sorted(rows, key=lambda row: -row.blame)

    def _share(self, fingerprint: str, crash: Crash) -> float:
        own = self._count(fingerprint) ** 2
        suspects = sum(self._count(suspect) ** 2 for suspect in crash.suspects)
        elsewhere = {
            other.upstream
            for other in self.crashes
            if abs(other.at - crash.at) <= NEARBY and fingerprint not in other.suspects
        }
        return own / (suspects + len(elsewhere - {crash.upstream}) ** 2)

    def _count(self, fingerprint: str) -> int:
        return len({crash.upstream for crash in self.by_fingerprint.get(fingerprint, ())})

    def _crash(self, upstream: str, at: float, now: float) -> Crash:
        for crash in reversed(self.crashes):
            if crash.upstream == upstream and abs(crash.at - at) <= CRASH_TIME:
                return crash
        crash = Crash(upstream, at, now)
        self.crashes.append(crash)
        self._drop(self.crashes[:-MOST_CRASHES])
        return crash

    def _touched_by(self, crash: Crash) -> set[str]:
        """Return the suspects whose blame a change of `crash` can change."""
        near = (c for c in self.crashes if abs(c.at - crash.at) <= NEARBY)
        return {f for c in near for f in c.suspects if len(self.by_fingerprint[f]) > 1}

    def _judge(self, fingerprints: Iterable[str]) -> None:
        for fingerprint in fingerprints:
            enough = self._count(fingerprint) >= self.fewest
            if enough and self.blame(fingerprint) >= BLOCK_BLAME:
                self.blocked_fingerprints.add(fingerprint)
            else:
                self._unblock(fingerprint)

    def _unblock(self, fingerprint: str) -> None:
        self.blocked_fingerprints.discard(fingerprint)
        self.tried.pop(fingerprint, None)

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
        self._judge([fingerprint] if kept else [])

    def _forget(self, now: float) -> None:
        if self.crashes and self.crashes[0].heard < now - FORGET_AFTER:
            self._drop([c for c in self.crashes if c.heard < now - FORGET_AFTER])

    def _drop(self, crashes: list[Crash]) -> None:
        for crash in crashes:
            self.crashes.remove(crash)
            for fingerprint in crash.suspects:
                self.by_fingerprint[fingerprint].remove(crash)
                if not self.by_fingerprint[fingerprint]:
                    del self.by_fingerprint[fingerprint]
                self._judge([fingerprint])
