"""Detects requests that crash the upstreams that run them, from reports of the whole fleet.

A request is identified by a fingerprint. When an upstream crashes, each request in flight to it is
a suspect. The evidence against a request is the number of distinct upstreams that crashed with it
since it was last answered. A crash is weaker evidence if another request on that upstream is
already blocked, or if the request had been answered shortly before; what else crashes at the same
time does not weaken it. Once there is enough evidence, only an answer, an operator or time ends the
block.

With few crashes, a request is blocked earlier if its blame is high. The blame for a crash is
divided among its suspects, and is lower if other upstreams crash at about the same time. Such a
block ends when the blame falls.

A blocked request is let through occasionally as a trial. If it is answered, it is unblocked; if
another upstream crashes, the delay before its next trial doubles.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import KeysView

from .crash_records import Block, Crash, CrashSuspect, Withdrawal

MIN_BLOCK_BLAME = 1.2
"""Blame from which a fingerprint is blocked; each distinct upstream adds at most 1."""

MIN_UPSTREAMS = 2
"""Minimum number of distinct upstreams that must have crashed with a blocked request."""

CERTAIN_UPSTREAMS = 6
"""Number of distinct upstreams after whose crashes a request is blocked, whatever its blame."""

CRASH_WEIGHT = 10
"""Weight of a crash that nothing else explains."""

EXPLAINED_WEIGHT = 6
"""Weight of a crash of an upstream that also had a blocked request. It is not 0, since two harmful
requests may always run on the same upstreams."""

ANSWERED_WEIGHT = 4
"""Weight of a crash shortly after the request was answered. It is not 0, since a request may begin
to crash upstreams."""

ANSWERED_SECONDS = 60.0
"""Seconds after an answer in which a crash counts only `ANSWERED_WEIGHT`."""

MAX_ANSWERED = 1000
"""Maximum number of requests whose latest answer is remembered."""

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


class CrashLedger:
    """Crashes of the upstreams of one service, and the requests blocked because of them.

    Args:
        min_upstreams: Distinct upstreams that must have crashed with a request before it is
            blocked.
        certain_upstreams: Distinct upstreams after whose crashes it is blocked whatever its blame.

    Attributes:
        crashes: All known crashes.
        by_upstream: The same by upstream.
        by_fingerprint: The crashes that each request is suspected of.
        blocks: The blocked requests, by fingerprint.
        answered_at: Time at which the latest answered run of a request was sent.
        withdrawals: Upstreams that turned out to be alive after a crash had been recorded.
        unblocked_at: Time up to which blocks of a request have ended although it was not answered.
    """

    def __init__(
        self, min_upstreams: int = MIN_UPSTREAMS, certain_upstreams: int = CERTAIN_UPSTREAMS
    ):
        self.min_upstreams = min_upstreams
        self.certain_upstreams = certain_upstreams
        self.crashes: list[Crash] = []
        self.by_upstream: dict[str, list[Crash]] = {}
        self.by_fingerprint: dict[str, list[Crash]] = {}
        self.released_at: dict[str, float] = {}
        self.answered_at: OrderedDict[str, float] = OrderedDict()
        self.withdrawals: OrderedDict[str, Withdrawal] = OrderedDict()
        self.unblocked_at: OrderedDict[str, float] = OrderedDict()
        self.blocks: dict[str, Block] = {}

    @property
    def blocked_fingerprints(self) -> KeysView[str]:
        """Return the fingerprints of blocked requests."""
        return self.blocks.keys()

    def record_crash(self, fingerprint: str, upstream: str, vm: str, at: float, now: float) -> bool:
        """Record that a request was in flight to a crashed upstream; return whether that is new.

        Called for each request that was left unanswered, on this VM or another one; `at` is the
        time of the crash.
        """
        self._drop_expired(now)
        if at <= self.released_at.get(fingerprint, float("-inf")):
            return False
        if upstream in self.withdrawals and at <= self.withdrawals[upstream].until:
            return False
        crash = self._find_or_add_crash(upstream, at, now)
        crash.vms.add(vm)
        if fingerprint in crash.suspects:
            return False
        crash.suspects.add(fingerprint)
        self.by_fingerprint.setdefault(fingerprint, []).append(crash)
        self._update_block(fingerprint, at, now)
        if self._uses_blame:
            self._update_blames(crash, now)
        return True

    def record_block(self, fingerprint: str, at: float, now: float) -> bool:
        """Block a request that another daemon blocked at `at`; return whether that is new."""
        cleared_at = max(
            self.released_at.get(fingerprint, float("-inf")),
            self.answered_at.get(fingerprint, float("-inf")),
            self.unblocked_at.get(fingerprint, float("-inf")),
        )
        if at <= cleared_at or fingerprint in self.blocks:
            return False
        self.blocks[fingerprint] = Block(at, now, is_certain=True)
        return True

    def record_answer(self, fingerprint: str, at: float) -> bool:
        """Record a complete answer to a run that was sent at `at`; return whether it cleared it."""
        self.remember_answer(fingerprint, at)
        return self._clear(fingerprint, at)

    def remember_answer(self, fingerprint: str, at: float) -> None:
        """Remember that a run that was sent at `at` was answered, without clearing the request."""
        self.answered_at[fingerprint] = max(at, self.answered_at.pop(fingerprint, at))
        if len(self.answered_at) > MAX_ANSWERED:
            self.answered_at.popitem(last=False)

    def release(self, fingerprint: str, at: float) -> bool:
        """Clear the request of crashes up to `at`; return whether it was a suspect.

        Called when an operator releases the request, or another VM got a complete answer.
        """
        self.released_at[fingerprint] = max(at, self.released_at.pop(fingerprint, at))
        if len(self.released_at) > MAX_CRASHES:
            del self.released_at[next(iter(self.released_at))]
        return self._clear(fingerprint, at)

    def withdraw_crashes(self, upstream: str, until: float, now: float) -> dict[str, Block | None]:
        """Forget that an upstream crashed up to `until`, since it has answered something later.

        A block of which this daemon was told without enough evidence of its own is kept.

        Returns:
            The requests that were suspected of the crashes, each with the block that has ended.
        """
        crashes = [crash for crash in self.by_upstream.get(upstream, ()) if crash.at <= until]
        suspects = {fingerprint for crash in crashes for fingerprint in crash.suspects}
        proved = {one for one in suspects if one in self.blocks and self.has_enough_evidence(one)}
        self._drop(crashes)
        self._remember_withdrawal(upstream, until).suspects |= suspects
        return {one: self.unblock(one, now) if one in proved else None for one in suspects}

    def unblock(self, fingerprint: str, at: float) -> Block | None:
        """End a block that began up to `at`, unless the evidence is enough; return it if it ended.

        The crashes of the request still count.
        """
        if self.has_enough_evidence(fingerprint):
            return None
        self.unblocked_at[fingerprint] = max(at, self.unblocked_at.pop(fingerprint, at))
        if len(self.unblocked_at) > MAX_CRASHES:
            self.unblocked_at.popitem(last=False)
        block = self.blocks.get(fingerprint)
        if block is None or block.at > at:
            return None
        return self.blocks.pop(fingerprint)

    def withdrawn_upstreams(self, fingerprint: str) -> dict[str, Withdrawal]:
        """Return the upstreams that did not crash although a request was suspected of it."""
        return {
            upstream: withdrawal
            for upstream, withdrawal in self.withdrawals.items()
            if fingerprint in withdrawal.suspects
        }

    def is_blocked(self, fingerprint: str, now: float) -> bool:
        """Return whether requests with the fingerprint are blocked."""
        if fingerprint not in self.blocks:
            return False
        self._drop_expired(now)
        return fingerprint in self.blocks

    def take_trial(self, fingerprint: str, now: float) -> bool:
        """Return whether a blocked request may run now as a trial; if so, record the trial."""
        block = self.blocks[fingerprint]
        crashes = self.by_fingerprint.get(fingerprint, ())
        last_learned_at = max((crash.learned_at for crash in crashes), default=block.learned_at)
        extra_upstreams = max(0, self._upstream_count(fingerprint) - self.min_upstreams)
        since = max(last_learned_at, block.last_trial_at or last_learned_at)
        if now < since + TRIAL_DELAY_SECONDS * 2**extra_upstreams:
            return False
        block.record_trials(block.trials + 1, now)
        return True

    def answered_age(self, fingerprint: str, now: float) -> float | None:
        """Return the seconds since the latest answered run of a request was sent, or None."""
        answered_at = self.answered_at.get(fingerprint)
        return None if answered_at is None else now - answered_at

    def evidence(self, fingerprint: str) -> int:
        """Return the weight of the crashes that a request is suspected of."""
        weights: dict[str, int] = {}
        for crash in self.by_fingerprint.get(fingerprint, ()):
            weight = self._weight(fingerprint, crash)
            weights[crash.upstream] = max(weight, weights.get(crash.upstream, 0))
        return sum(weights.values())

    def has_enough_evidence(self, fingerprint: str) -> bool:
        """Return whether the evidence alone is enough to block a request."""
        return self.evidence(fingerprint) >= CRASH_WEIGHT * self.certain_upstreams

    def blame(self, fingerprint: str) -> float:
        """Return the blame of the fingerprint, at most 1 for each distinct upstream."""
        shares: dict[str, float] = {}
        for crash in self.by_fingerprint.get(fingerprint, ()):
            if self._is_explained(fingerprint, crash):
                continue
            share = self._blame_share(fingerprint, crash)
            shares[crash.upstream] = max(share, shares.get(crash.upstream, 0.0))
        return sum(shares.values())

    def list_suspects(self, now: float) -> list[CrashSuspect]:
        """Return all suspects, highest blame first."""
        self._drop_expired(now)
        rows = [
            CrashSuspect(f, f in self.blocks, self.blame(f), crashes)
            for f, crashes in self.by_fingerprint.items()
        ]
        return sorted(rows, key=lambda row: -row.blame)

    @property
    def _uses_blame(self) -> bool:
        return self.min_upstreams < self.certain_upstreams

    def _update_block(self, fingerprint: str, at: float, now: float) -> None:
        """Block a request if there is enough against it; end a block that depends on the blame."""
        block = self.blocks.get(fingerprint)
        if block is not None and block.is_certain:
            return
        is_certain = self.has_enough_evidence(fingerprint)
        if not is_certain and not self._has_enough_blame(fingerprint):
            self.blocks.pop(fingerprint, None)
        elif block is None:
            self.blocks[fingerprint] = Block(at, now, is_certain)
        else:
            block.is_certain = is_certain

    def _update_blames(self, crash: Crash, now: float) -> None:
        """Update the blocks of the requests whose blame a change of `crash` can change."""
        near = (c for c in self.crashes if abs(c.at - crash.at) <= NEARBY_SECONDS)
        for fingerprint in {f for c in near for f in c.suspects}:
            if len(self.by_fingerprint[fingerprint]) > 1:
                self._update_block(fingerprint, crash.at, now)

    def _has_enough_blame(self, fingerprint: str) -> bool:
        if not self._uses_blame or self._upstream_count(fingerprint) < self.min_upstreams:
            return False
        return self.blame(fingerprint) >= MIN_BLOCK_BLAME

    def _weight(self, fingerprint: str, crash: Crash) -> int:
        answered_at = self.answered_at.get(fingerprint, float("-inf"))
        if crash.at - answered_at <= ANSWERED_SECONDS:
            return ANSWERED_WEIGHT
        return EXPLAINED_WEIGHT if self._is_explained(fingerprint, crash) else CRASH_WEIGHT

    def _is_explained(self, fingerprint: str, crash: Crash) -> bool:
        """Return whether another request on the crashed upstream is known to crash upstreams."""
        return any(other != fingerprint and other in self.blocks for other in crash.suspects)

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
        known = self.by_upstream.setdefault(upstream, [])
        for crash in reversed(known):
            if abs(crash.at - at) <= SAME_CRASH_SECONDS:
                return crash
        crash = Crash(upstream, at, now)
        known.append(crash)
        self.crashes.append(crash)
        self._drop(self.crashes[:-MAX_CRASHES])
        return crash

    def _remember_withdrawal(self, upstream: str, until: float) -> Withdrawal:
        withdrawal = self.withdrawals.setdefault(upstream, Withdrawal(until))
        withdrawal.until = max(until, withdrawal.until)
        if len(self.withdrawals) > MAX_CRASHES:
            self.withdrawals.popitem(last=False)
        return withdrawal

    def _clear(self, fingerprint: str, at: float) -> bool:
        """Remove a request from all crashes up to `at`; return whether there was any, or a block.

        It stays blocked if the evidence of later crashes is enough.
        """
        known = self.by_fingerprint.get(fingerprint, [])
        kept = [crash for crash in known if crash.at > at]
        for crash in known:
            if crash.at <= at:
                crash.suspects.discard(fingerprint)
        if kept:
            self.by_fingerprint[fingerprint] = kept
        else:
            self.by_fingerprint.pop(fingerprint, None)
        block = self.blocks.get(fingerprint)
        ends_block = block is not None and (block.at <= at or len(kept) < len(known))
        if ends_block and not self.has_enough_evidence(fingerprint):
            del self.blocks[fingerprint]
            return True
        return len(kept) < len(known)

    def _drop_expired(self, now: float) -> None:
        oldest = now - CRASH_RETENTION_SECONDS
        if self.crashes and self.crashes[0].learned_at < oldest:
            self._drop([crash for crash in self.crashes if crash.learned_at < oldest])
        ended = [f for f, block in self.blocks.items() if block.learned_at < oldest]
        for fingerprint in ended:
            del self.blocks[fingerprint]

    def _drop(self, crashes: list[Crash]) -> None:
        for crash in crashes:
            self.crashes.remove(crash)
            self.by_upstream[crash.upstream].remove(crash)
            if not self.by_upstream[crash.upstream]:
                del self.by_upstream[crash.upstream]
            for fingerprint in crash.suspects:
                self.by_fingerprint[fingerprint].remove(crash)
                if not self.by_fingerprint[fingerprint]:
                    del self.by_fingerprint[fingerprint]
