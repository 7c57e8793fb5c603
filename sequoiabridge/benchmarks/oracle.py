"""Judges a trial from the outside: what upstreams ran, and what each caller was told.

It knows nothing of the code under test. Its evidence is the upstreams' own record (`Run`), what
callers were told (`Told`), which versions of the configuration were accepted and seen in force,
and which upstreams were leaving from when on.
"""

from collections import defaultdict
from collections.abc import Iterable
from enum import Enum

import msgspec

from ..tests.standins.upstream_record import Run


class Kind(Enum):
    """What a caller asked for."""

    READ = "read"
    APPROVAL = "approval"
    UPLOAD = "upload"


class Told(msgspec.Struct, kw_only=True):
    """One sending of one piece of work, and what its caller was told.

    `status` is 0 if no whole answer head came. `whole` is true if the answer ended cleanly.
    `gone` says that the caller left before it was told anything.
    `outcome` is the outcome header of an answer that the system made itself, else empty.
    Times are on the clock of the upstreams' record, in seconds.
    """

    kind: Kind
    nonce: str
    attempt: str
    caller: str = ""
    key: str = ""
    digest: str = ""
    began: float = 0.0
    ended: float = 0.0
    window: float = 0.0
    status: int = 0
    whole: bool = False
    outcome: str = ""
    reason: str = ""
    request: str = ""
    answer_nonce: str = ""
    answer_digest: str = ""
    answer_intact: bool = False
    error: str = ""
    gone: bool = False

    @property
    def good(self) -> bool:
        """True if the work was done as asked, as far as the caller can tell."""
        return self.whole and 200 <= self.status < 300


class Leaving(msgspec.Struct, kw_only=True):
    """An upstream was leaving from `since` until `until`; new work may come for `limit` more."""

    upstream: str
    since: float
    limit: float
    until: float = float("inf")


class Accepted(msgspec.Struct, kw_only=True):
    """An operator was told at `at` that a version of the configuration is accepted.

    `mark` is something in its content that no other change sets.
    """

    version: int
    at: float
    mark: int = 0


class InForce(msgspec.Struct, kw_only=True):
    """A VM that said it was ready had a version in force at `at`."""

    vm: str
    version: int
    at: float
    mark: int = 0


class Measuring(msgspec.Struct, kw_only=True):
    """What was spent on probes of one service against its budget."""

    service: str
    probes: int
    calls: int
    per_1000: float
    burst: float


class Promise(Enum):
    """What must always hold."""

    AT_MOST_ONCE = "unrepeatable work ran at most once"
    NOT_RUN = "told not-run means it did not run"
    OWN_ANSWER = "each answer is whole and its caller's own"
    KEY = "a caller that keeps its key to one body is not told otherwise"
    UPLOADS = "no accepted upload is lost"
    LEAVING = "no new work to a leaving upstream after its limit"
    CONFIGURATION = "an accepted configuration is in force in time and never older"
    MEASURING = "measuring stays inside its budget"
    STOP = "a planned stop cuts off nothing and comes to its end"
    WHOLE = "without a fault that breaks connections, every call gets a whole answer"
    CRASHES = "a request that crashes upstreams is stopped after two"
    NO_ERROR = "no call meets an error of the daemon's own"
    RECOVERY = "once the fault is over, calls are answered well again"


class Violation:
    """A promise that did not hold, with the evidence in one line."""

    __slots__ = ("promise", "detail")

    def __init__(self, promise: Promise, detail: str):
        self.promise = promise
        self.detail = detail

    def __repr__(self) -> str:
        return f"{self.promise.value}: {self.detail}"


class Evidence:
    """All that is known of one trial from the outside.

    `committed` are the accepted versions that the platform's table has in the end, as they were
    accepted; None if nobody looked.
    """

    __slots__ = ("runs", "told", "leaving", "accepted", "in_force", "measuring")
    __slots__ += ("after", "whole", "in_force_limit", "committed")

    def __init__(
        self,
        runs: list[Run],
        told: list[Told],
        leaving: Iterable[Leaving] = (),
        accepted: Iterable[Accepted] = (),
        in_force: Iterable[InForce] = (),
        measuring: Iterable[Measuring] = (),
        after: Iterable[Told] = (),
        whole: bool = False,
        in_force_limit: float = 4.0,
        committed: set[int] | None = None,
    ):
        self.runs = runs
        self.told = told
        self.leaving = list(leaving)
        self.accepted = list(accepted)
        self.in_force = list(in_force)
        self.measuring = list(measuring)
        self.after = list(after)
        self.whole = whole
        self.in_force_limit = in_force_limit
        self.committed = committed


def judge(evidence: Evidence) -> list[Violation]:
    """Return everything that breaks a promise; an empty list means that all hold."""
    checks = (at_most_once, not_run, own_answers, uploads, leaving, configuration, measuring)
    checks += (recovery, whole_answers, internal_errors, keys, committed)
    return [violation for check in checks for violation in check(evidence)]


def at_most_once(evidence: Evidence) -> Iterable[Violation]:
    """Each approval ran at most once, however often it was sent."""
    runs = runs_by_work(evidence.runs)
    works = {work_of(told) for told in evidence.told if told.kind is Kind.APPROVAL}
    for work in sorted(works):
        count = len(runs[work])
        if count > 1:
            places = ", ".join(run.upstream for run in runs[work])
            yield Violation(Promise.AT_MOST_ONCE, f"{work} ran {count} times, at {places}")


def not_run(evidence: Evidence) -> Iterable[Violation]:
    """A sending told `not-run` did not run; work told only `not-run` ran nowhere."""
    runs = {run.attempt for run in evidence.runs if run.attempt}
    works = told_by_work(evidence.told)
    for told in evidence.told:
        if told.outcome != "not-run" or told.attempt not in runs:
            continue
        if not overtaken(told, works[work_of(told)]):
            yield Violation(Promise.NOT_RUN, f"{told.attempt} ({told.reason}) ran")
    by_work = runs_by_work(evidence.runs)
    for work, all_told in works.items():
        if all(told.outcome == "not-run" for told in all_told) and by_work[work]:
            yield Violation(Promise.NOT_RUN, f"{work} ran, each sending was told not-run")


def overtaken(told: Told, all_told: list[Told]) -> bool:
    """Return whether an upload ran by another sending of it, as its caller was told.

    The record names the sending that began the upload, also when another took it over.
    """
    return told.reason == "upload-conflict" and any(
        other is not told and other.kind is Kind.UPLOAD and other.outcome != "not-run"
        for other in all_told
    )


def own_answers(evidence: Evidence) -> Iterable[Violation]:
    """A good answer that ended cleanly carries its own request's nonce and an intact body."""
    for told in evidence.told:
        if not told.good or (told.kind is Kind.UPLOAD and not told.answer_nonce):
            continue
        if not told.answer_intact:
            yield Violation(Promise.OWN_ANSWER, f"{told.attempt} got a body that is not whole")
        if told.answer_nonce != told.nonce or told.answer_digest != told.digest:
            yield Violation(Promise.OWN_ANSWER, f"{told.attempt} got that of {told.answer_nonce}")


def uploads(evidence: Evidence) -> Iterable[Violation]:
    """Each upload that a caller was told is accepted reached an upstream whole."""
    delivered = {run.digest for run in evidence.runs if run.status < 400}
    for told in evidence.told:
        if told.kind is Kind.UPLOAD and told.good and told.digest not in delivered:
            yield Violation(Promise.UPLOADS, f"{told.attempt} was accepted and reached no upstream")
    sent = {told.digest for told in evidence.told if told.kind is Kind.UPLOAD}
    for run in evidence.runs:
        if run.upload and run.status and run.status < 400 and run.digest not in sent:
            detail = f"{run.upstream} took upload {run.upload} with content that no caller sent"
            yield Violation(Promise.UPLOADS, detail)


def leaving(evidence: Evidence) -> Iterable[Violation]:
    """No run began at a leaving upstream after its limit."""
    for entry in evidence.leaving:
        for run in evidence.runs:
            late = entry.since + entry.limit < run.began < entry.until
            if run.upstream == entry.upstream and late:
                after = run.began - entry.since
                yield Violation(
                    Promise.LEAVING, f"{run.upstream} got {run.attempt} {after:.1f} s after"
                )


def configuration(evidence: Evidence) -> Iterable[Violation]:
    """A ready VM never goes back, and has each accepted version within the limit."""
    newest: dict[str, int] = defaultdict(int)
    for seen in sorted(evidence.in_force, key=lambda seen: seen.at):
        if seen.version < newest[seen.vm]:
            detail = f"{seen.vm} went from {newest[seen.vm]} to {seen.version}"
            yield Violation(Promise.CONFIGURATION, detail)
        newest[seen.vm] = max(newest[seen.vm], seen.version)
        due = [a.version for a in evidence.accepted if a.at + evidence.in_force_limit < seen.at]
        if due and seen.version < max(due):
            detail = f"{seen.vm} is ready with {seen.version}, {max(due)} was due"
            yield Violation(Promise.CONFIGURATION, detail)
        for accepted in evidence.accepted:
            if accepted.version == seen.version and accepted.mark != seen.mark:
                detail = f"{seen.vm} has {seen.mark} in version {seen.version}, not {accepted.mark}"
                yield Violation(Promise.CONFIGURATION, detail)


def measuring(evidence: Evidence) -> Iterable[Violation]:
    """Probes stay inside the operator's budget."""
    for spent in evidence.measuring:
        allowed = spent.burst + spent.calls * spent.per_1000 / 1000
        if spent.probes > allowed:
            detail = f"{spent.service}: {spent.probes} probes, {allowed:.1f} allowed"
            yield Violation(Promise.MEASURING, detail)


def recovery(evidence: Evidence) -> Iterable[Violation]:
    """Calls that were sent after the faults were over are answered well."""
    for told in evidence.after:
        if not told.good:
            detail = f"{told.attempt}: {told.status} {told.outcome} {told.reason} {told.error}"
            yield Violation(Promise.RECOVERY, detail)


def whole_answers(evidence: Evidence) -> Iterable[Violation]:
    """Every call got a whole answer, good or not; asked for by `Evidence.whole`."""
    for told in evidence.told if evidence.whole else ():
        if not (told.whole or told.gone or "refused" in told.error):
            yield Violation(Promise.WHOLE, f"{told.attempt} was cut off: {told.error}")


def internal_errors(evidence: Evidence) -> Iterable[Violation]:
    """No answer says that the daemon itself failed."""
    for told in evidence.told:
        if told.outcome and told.status == 500:
            yield Violation(Promise.NO_ERROR, f"{told.attempt}: {told.reason}")


def keys(evidence: Evidence) -> Iterable[Violation]:
    """No caller is told that it used its key with another body unless it did."""
    bodies: dict[tuple[str, str], set[str]] = defaultdict(set)
    for told in evidence.told:
        bodies[told.caller, told.key].add(told.digest)
    for told in evidence.told:
        if told.reason == "key-reused" and len(bodies[told.caller, told.key]) == 1:
            yield Violation(Promise.KEY, f"{told.attempt} was told that {told.key} was reused")


def committed(evidence: Evidence) -> Iterable[Violation]:
    """Each accepted version is in the platform's table, as it was accepted."""
    if evidence.committed is None:
        return
    for accepted in evidence.accepted:
        if accepted.version not in evidence.committed:
            detail = f"{accepted.version} was accepted and is not in the table"
            yield Violation(Promise.CONFIGURATION, detail)


WorkName = tuple[str, str, str]
"""Caller, key and nonce of one piece of work; of an upload, its digest alone."""


def work_of(told: Told) -> WorkName:
    """Return the name of the work that a sending belongs to."""
    if told.kind is Kind.UPLOAD:
        return ("", "", told.digest)
    if told.key:
        return (told.caller, told.key, "")
    return ("", "", told.nonce)


def runs_by_work(runs: list[Run]) -> dict[WorkName, list[Run]]:
    """Group runs under each name that their work may have."""
    groups: dict[WorkName, list[Run]] = defaultdict(list)
    for run in runs:
        if run.repeat:
            continue
        names = {("", "", run.digest), ("", "", run.nonce)}
        if run.key:
            names.add((run.caller, run.key, ""))
        for name in names:
            groups[name].append(run)
    return groups


def told_by_work(all_told: list[Told]) -> dict[WorkName, list[Told]]:
    """Group what callers were told by the work that they asked for."""
    groups: dict[WorkName, list[Told]] = defaultdict(list)
    for told in all_told:
        groups[work_of(told)].append(told)
    return groups
