"""What the crash ledger records: crashes, suspects, blocks and withdrawals."""

from __future__ import annotations


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


class Block:
    """The block of one request.

    Attributes:
        at: Time of the block, on the clock of the crashes.
        learned_at: Time since which this daemon knows of it.
        is_certain: Whether there is enough evidence, whatever the blame.
        trials: Number of trials that are known to have been taken.
        last_trial_at: Time of the latest one, None before the first.
        not_before: Time before which no trial is attempted.
        withheld: Number of calls that this VM did not send because of it.
    """

    __slots__ = (
        "at",
        "learned_at",
        "is_certain",
        "trials",
        "last_trial_at",
        "not_before",
        "withheld",
    )

    def __init__(self, at: float, learned_at: float, is_certain: bool):
        self.at = at
        self.learned_at = learned_at
        self.is_certain = is_certain
        self.trials = 0
        self.last_trial_at: float | None = None
        self.not_before = float("-inf")
        self.withheld = 0

    def record_trials(self, count: int, last_at: float) -> None:
        """Record that `count` trials have been taken in all, the latest one at `last_at`."""
        if count > self.trials:
            self.trials = count
            self.last_trial_at = last_at

    def trial_age(self, now: float) -> float:
        """Return the seconds since the latest trial, 0 before the first."""
        return 0.0 if self.last_trial_at is None else now - self.last_trial_at


class Withdrawal:
    """An upstream that had counted as crashed has answered again, so that it was alive till then.

    Attributes:
        until: Time at which what it has answered was sent.
        suspects: Requests that had been suspected of its crash.
    """

    __slots__ = ("until", "suspects")

    def __init__(self, until: float):
        self.until = until
        self.suspects: set[str] = set()
