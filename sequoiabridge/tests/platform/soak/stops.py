"""Checks that planned stops of daemons lose no call that an upstream got."""

from .record import CallRecord, Record, UpstreamRun

LOSS_SLACK = 0.2
"""Seconds after its last byte within which a call that no upstream got may be closed unanswered."""

LATE_SLACK = 1.0
"""Seconds after the grace period in which calls still count as sent around the stop."""

LAST_REQUEST_SECONDS = 3.0
"""Seconds after the begin of a stop up to which a call may be broken off at its end."""

EXCUSED_SHARE = 5 / 6
"""Share of the grace period after which a call may be broken off while its upstream works on it."""

ANSWER_SECONDS = 1.0
"""Seconds within which an upstream's answer must reach the caller on a busy machine."""


def check_lost_calls(record: Record, runs: dict[str, list[UpstreamRun]]) -> list[str]:
    """Return a message for each call that a planned stop of its daemon lost."""
    if record.grace is None:
        return []
    violations = []
    for began, daemon in record.stops:
        for call in record.calls:
            if call.daemon != daemon or not is_around(record, call, began):
                continue
            what = loss(record, call, runs.get(call.id, []), began)
            if what:
                violations.append(
                    f"{call.id} ({call.kind}): sent {call.sent_at - began:.2f} s after the stop of "
                    f"{daemon} at {began:.2f} began, {what} after {call.ended_at - began:.2f} s"
                )
    return violations


def is_around(record: Record, call: CallRecord, began: float) -> bool:
    """Return whether a call is around a stop: sent whole and open at some time of it."""
    end = began + record.grace + LATE_SLACK
    is_read = call.sent_whole_at > 0.0
    is_open = call.sent_at <= end and call.ended_at >= began
    is_later = any(began < at <= call.sent_at for at, name in record.starts if name == call.daemon)
    return is_read and is_open and not is_later and record.is_fault_free(began, call.ended_at)


def loss(record: Record, call: CallRecord, runs: list[UpstreamRun], began: float) -> str:
    """Return how a call was lost, "" if it was not or the stop is excused."""
    if call.is_complete and (call.is_upstreams_own or not runs):
        return ""
    answered_by = call.ended_at - ANSWER_SECONDS
    if any(run.is_finished and run.worked_until <= answered_by for run in runs):
        return f"its upstream's answer was replaced by {call.status or 'a close'}"
    if call.ended_at - call.sent_at >= call.timeout:
        return ""
    if not runs:
        return "closed unanswered" if call.ended_at > call.sent_whole_at + LOSS_SLACK else ""
    excused_from = began + EXCUSED_SHARE * record.grace
    is_early = call.sent_at <= began + LAST_REQUEST_SECONDS
    if is_early and all(run.worked_until >= excused_from for run in runs):
        return ""
    return f"run and answered with {call.status}" if call.is_complete else "run and closed"
