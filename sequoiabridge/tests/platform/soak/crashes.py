"""Checks what became of requests that crash upstreams, and of harmless ones beside them."""

import json
from itertools import pairwise

from .record import CallRecord, Record

CRASHES_BEFORE_BLOCK = 3
"""Number of upstreams that a request may crash before it is blocked."""

STABLE_SECONDS = 3.0
"""Seconds after the last of these crashes in which sends do not count."""

MAX_LATE_SENDS = 3
"""Maximum number of sends after that time."""

MAX_WRONG_BLOCK = 15.0
"""Maximum seconds for which a harmless request may be refused as crashing."""

MAX_REFUSAL_SECONDS = 0.5
"""Maximum seconds that a caller may wait for the refusal of a blocked request."""

CRASHES_UPSTREAMS = "crashes-upstreams"
"""Reason in refusals of blocked requests."""


class CrashCount:
    """What became of one request that crashes upstreams.

    Attributes:
        crashes: Times of the crashes, in order.
        amnesias: Times at which nobody knew of earlier crashes any more.
        noticed: Times of the crashes of which a daemon could learn, in order.
        late: Times of the sends that count as late.
        refused: Number of calls that were refused as crashing.
    """

    def __init__(
        self,
        target: str,
        crashes: list[float],
        sends: list[float],
        refused: int,
        amnesias: list[float],
        noticed: list[float],
    ):
        self.target = target
        self.crashes = crashes
        self.noticed = noticed
        self.refused = refused
        self.late: list[float] = []
        bounds = [float("-inf"), *sorted(amnesias), float("inf")]
        for start, end in pairwise(bounds):
            known = [at for at in noticed if start < at <= end]
            if len(known) >= CRASHES_BEFORE_BLOCK:
                stable_at = known[CRASHES_BEFORE_BLOCK - 1] + STABLE_SECONDS
                self.late += [at for at in sends if stable_at < at <= end]

    def __str__(self):
        sent = f"{len(self.late)} late sends"
        return f"{self.target}: {len(self.crashes)} crashes, {sent}, {self.refused} refused"


def is_noticed(record: Record, at: float, daemon: str) -> bool:
    """Return whether the daemon that sent a request lived to learn of a crash."""
    return not any(
        killed == daemon and at <= killed_at < at + record.notice_seconds
        for killed_at, killed in record.kills
    )


def refusal_reason(call: CallRecord) -> str:
    """Return the reason that the daemon gave for refusing a call, "" if it did not."""
    if call.status in (0, 200) or not call.is_complete:
        return ""
    try:
        return json.loads(call.body).get("reason", "")
    except ValueError:
        return ""


def count_crashes(record: Record) -> list[CrashCount]:
    """Return what became of each request that crashed upstreams."""
    target_by_id = {call.id: call.target for call in record.calls}
    daemon_by_id = {call.id: call.daemon for call in record.calls}
    crashes: dict[str, list[float]] = {}
    noticed: dict[str, list[float]] = {}
    for at, call_id in sorted(record.crashes):
        target = target_by_id[call_id]
        crashes.setdefault(target, []).append(at)
        if is_noticed(record, at, daemon_by_id[call_id]):
            noticed.setdefault(target, []).append(at)
    counts = []
    for target, times in sorted(crashes.items()):
        sends = [a.at for a in record.arrivals if target_by_id.get(a.id) == target]
        calls = [call for call in record.calls if call.target == target]
        refused = sum(refusal_reason(call) == CRASHES_UPSTREAMS for call in calls)
        counts.append(
            CrashCount(
                target, times, sorted(sends), refused, record.amnesias, noticed.get(target, [])
            )
        )
    return counts


def wrong_blocks(record: Record) -> dict[str, tuple[float, float]]:
    """Return the times of the first and the last refusal of each harmless request as crashing."""
    harmful = {count.target for count in count_crashes(record)}
    blocks: dict[str, tuple[float, float]] = {}
    for call in record.calls:
        if call.target not in harmful and refusal_reason(call) == CRASHES_UPSTREAMS:
            first, _ = blocks.get(call.target, (call.ended_at, 0.0))
            blocks[call.target] = (first, call.ended_at)
    return blocks


def check_crashes(record: Record) -> list[str]:
    """Return a message for each request that was sent too often after its third crash, for each
    harmless one that was blocked for long, and for each late refusal of a blocked request."""
    violations = [str(count) for count in count_crashes(record) if len(count.late) > MAX_LATE_SENDS]
    for target, (first, last) in wrong_blocks(record).items():
        if last - first > MAX_WRONG_BLOCK:
            violations.append(f"{target}: harmless, refused as crashing for {last - first:.1f} s")
    for call in record.calls:
        # A call may have waited for an upstream before its request was blocked.
        since = max(call.sent_at, record.blocked_at(call))
        seconds = call.ended_at - since - record.stalled_seconds(since, call.ended_at)
        is_late = call.status == 503 and seconds > MAX_REFUSAL_SECONDS
        if (
            is_late
            and refusal_reason(call) == CRASHES_UPSTREAMS
            and not record.disturbed_daemons(call.sent_at - 1.0, call.ended_at)
        ):
            violations.append(f"{call.id}: refused as crashing only after {seconds:.2f} s")
    return violations
