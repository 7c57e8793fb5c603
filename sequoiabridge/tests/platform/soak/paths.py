"""Checks the service of callers whose daemon has lost its paths to all upstreams."""

from .record import CallRecord, Record

STABLE_SECONDS = 3.0
"""Seconds after the begin of a cut, or another disturbance, in which calls are not compared."""

MIN_SERVED_RATIO = 2 / 3
"""Minimum share of calls served at daemons without paths, relative to that at the others."""

FREE_FAILURES = 10
FREE_FAILURE_SHARE = 1 / 50
"""Failures at daemons without paths that are always allowed: a number, and a share of all calls."""

MAX_REFUSAL_SECONDS = 0.5
"""Maximum seconds that a caller may wait for a refusal while no daemon has a path."""

CHECK_SECONDS = 1.5
"""Seconds that a daemon takes to check whether an upstream has crashed."""

NOTICE_SECONDS = 0.5
"""Seconds by which this process may notice the end of an upstream later than a daemon."""


class Cut:
    """Daemons that lost their paths to all upstreams at the same time; `end` is set at its end."""

    def __init__(self, start: float, daemons: frozenset[str]):
        self.start = start
        self.end = float("inf")
        self.daemons = daemons

    def __str__(self):
        return f"cut of {len(self.daemons)} daemons from {self.start:.1f} to {self.end:.1f}"


class ServedCalls:
    """The calls in a cut at one group of daemons, and how many of them were served."""

    def __init__(self, calls: list[CallRecord]):
        self.count = len(calls)
        self.served = sum(call.status == 200 and call.is_complete for call in calls)

    @property
    def share(self) -> float:
        """Return the share of the calls that were served, 1 without calls."""
        return self.served / self.count if self.count else 1.0

    def __str__(self):
        return f"{self.served} of {self.count}"


def compared_calls(record: Record, cut: Cut) -> tuple[ServedCalls, ServedCalls]:
    """Return the calls in a cut at its daemons and at the others.

    Left out are calls at disturbed daemons, and those for which nobody had a way: no daemon with
    paths was undisturbed and could be reached by theirs.
    """
    cut_off, others = [], []
    for call in record.calls:
        if not cut.start + STABLE_SECONDS <= call.sent_at <= call.ended_at <= cut.end:
            continue
        disturbed = record.disturbed_daemons(call.sent_at - STABLE_SECONDS, call.ended_at)
        if call.daemon in disturbed:
            continue
        if call.daemon not in cut.daemons:
            others.append(call)
        elif record.daemons - cut.daemons - disturbed - unreached_peers(record, call):
            cut_off.append(call)
    return ServedCalls(cut_off), ServedCalls(others)


def unreached_peers(record: Record, call: CallRecord) -> set[str]:
    """Return the daemons that a call's daemon could not reach, or that could not reach it."""
    start, end = call.sent_at - STABLE_SECONDS, call.ended_at
    pairs = [pair for begin, stop, pair in record.peer_cuts if begin <= end and start <= stop]
    return {name for pair in pairs if call.daemon in pair for name in pair}


def check_paths(record: Record) -> list[str]:
    """Return a message for each cut in which callers of cut daemons were served far worse."""
    violations = []
    if not record.checks_paths:
        return violations
    for cut in record.cuts:
        cut_off, others = compared_calls(record, cut)
        failures = cut_off.count - cut_off.served
        allowed = FREE_FAILURES + FREE_FAILURE_SHARE * (cut_off.count + others.count)
        is_worse = cut_off.share < MIN_SERVED_RATIO * others.share
        if others.count and is_worse and failures > allowed:
            violations.append(f"{cut}: served {cut_off} there, {others} at the others")
        if cut.daemons == record.daemons:
            violations += check_immediate_refusals(record, cut)
    return violations + check_false_crashes(record)


def check_immediate_refusals(record: Record, cut: Cut) -> list[str]:
    """Return a message if callers wait for their refusals while no daemon has a path."""
    late = [
        call
        for call in record.calls
        if cut.start + STABLE_SECONDS <= call.sent_at <= call.ended_at <= cut.end
        and call.status != 200
        and not record.disturbed_daemons(call.sent_at - STABLE_SECONDS, call.ended_at)
        and call.ended_at - call.sent_at - record.stalled_seconds(call.sent_at, call.ended_at)
        > MAX_REFUSAL_SECONDS
    ]
    if len(late) <= FREE_FAILURES:
        return []
    return [f"{cut}: {len(late)} calls were not refused at once, the first is {late[0].id}"]


def check_false_crashes(record: Record) -> list[str]:
    """Return a message for each crash that a daemon reported of an upstream that did not end.

    An upstream whose process stood still was silent for all daemons, and may count as crashed until
    it answers again; so may any while the process of this soak, which carries all paths, did.
    """
    return [
        f"{daemon} reported at {at:.2f} that {upstream} crashed, but it ran on"
        for at, daemon, upstream in record.reported_crashes
        if not has_ended(record, upstream, at) and not stood_still(record, upstream, at)
    ]


def has_ended(record: Record, upstream: str, at: float) -> bool:
    """Return whether an upstream's process ended before the given time."""
    return any(one == upstream and end - NOTICE_SECONDS <= at for end, one in record.upstream_ends)


def stood_still(record: Record, upstream: str, at: float) -> bool:
    """Return whether an upstream could not answer in the seconds before the given time."""
    stalls = [(start, end) for start, end, one in record.upstream_stalls if one == upstream]
    since = at - CHECK_SECONDS
    return any(start <= at and end >= since for start, end in stalls + record.stalls)
