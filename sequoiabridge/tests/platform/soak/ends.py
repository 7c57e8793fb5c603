"""Checks that callers get an end: after their timeout, and when they call late in a stop."""

from .record import CallRecord, Record, UpstreamRun

END_SECONDS = 0.5
"""Seconds after its timeout within which a call must have ended."""

DELIVERY_SECONDS = 0.5
"""Seconds that a call and its answer may take beside that on a busy machine."""

GRACE = 6.0
"""Grace period in seconds of a planned stop."""

LAST_REQUEST_SECONDS = 3.0
"""Seconds after the begin of a stop up to which a call may be cut off at its end."""


def check_ends(record: Record) -> list[str]:
    """Return a message for each call that had no end soon after its timeout."""
    if not record.checks_ends:
        return []
    return [
        f"{call.id} ({call.kind} at {call.daemon}, {call.sent_at:.2f}): no end after "
        f"{call.ended_at - call.sent_at:.2f} s, its timeout was {call.timeout:.1f} s"
        for call in record.calls
        if ended_late(record, call)
    ]


def ended_late(record: Record, call: CallRecord) -> bool:
    """Return whether a call ended too late although nothing disturbed its daemon."""
    if call.daemon in record.disturbed_daemons(call.sent_at - DELIVERY_SECONDS, call.ended_at):
        return False
    seconds = call.ended_at - call.sent_at - record.stalled_seconds(call.sent_at, call.ended_at)
    return seconds > call.timeout + END_SECONDS + DELIVERY_SECONDS


def check_late_calls(record: Record, runs: dict[str, list[UpstreamRun]]) -> list[str]:
    """Return a message for each call that ran and got no answer because of a planned stop."""
    if not record.checks_late_calls:
        return []
    violations = []
    for at, daemon in record.stops:
        restarts = [time for time, name in record.starts if name == daemon and time > at]
        end = min([at + GRACE, *restarts])
        for call in record.calls:
            if call.daemon != daemon or not at <= call.sent_at < end:
                continue
            if call.is_complete and call.status == 200 or not runs.get(call.id):
                continue
            if call.ended_at - call.sent_at >= call.timeout:
                continue
            is_excused = call.sent_at <= at + LAST_REQUEST_SECONDS
            if is_excused and call.ended_at >= at + GRACE * 5 / 6:
                continue
            violations.append(
                f"{call.id} ({call.kind}): sent {call.sent_at - at:.2f} s after the stop of "
                f"{daemon} began, run, and not answered"
            )
    return violations
