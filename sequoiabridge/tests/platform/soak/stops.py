"""Checks that planned stops and reloads of daemons lose no call."""

from .record import CallRecord, Record, UpstreamRun

LOSS_SLACK = 0.2
"""Seconds after its last byte within which a call that no upstream got may be closed unanswered."""

LATE_SLACK = 1.0
"""Seconds after the grace period in which calls still count as sent around the stop."""

LAST_REQUEST_SECONDS = 3.0
"""Seconds after the begin of a stop up to which a call may be broken off at its end."""

EXCUSED_SHARE = 5 / 6
"""Share of the grace period after which a call may be broken off while its upstream works on it."""

RELOAD_SECONDS = 2.0
"""Seconds after a reload up to which a call may not be cut because of it."""

MIN_SERVED_SHARE = 0.95
"""Minimum share of the calls sent before a stop that are answered by upstreams, without load."""

ANSWER_SECONDS = 1.0
"""Seconds within which an upstream's answer must reach the caller on a busy machine."""


def check_lost_calls(record: Record, runs: dict[str, list[UpstreamRun]]) -> list[str]:
    """Return a message for each call that a planned stop of its daemon lost."""
    if record.grace is None:
        return []
    arrived_ids = {arrival.id for arrival in record.arrivals}
    violations = check_reloads(record, arrived_ids)
    for began, daemon in record.stops:
        for call in record.calls:
            if call.daemon != daemon or not is_around(record, call, began):
                continue
            what = loss(record, call, runs.get(call.id, []), began, call.id in arrived_ids)
            if what:
                violations.append(
                    f"{call.id} ({call.kind}): sent {call.sent_at - began:.2f} s after the stop of "
                    f"{daemon} at {began:.2f} began, {what} after {call.ended_at - began:.2f} s"
                )
    return violations


def check_reloads(record: Record, arrived_ids: set[str]) -> list[str]:
    """Return a message for each call that was cut after a reload of its daemon's settings."""
    return [
        f"{call.id} ({call.kind}): cut after the reload of {daemon} at {at:.2f}"
        for at, daemon in record.reloads
        for call in record.calls
        if call.daemon == daemon
        and call.sent_at <= at + RELOAD_SECONDS
        and call.ended_at >= at
        and is_cut(call, call.id in arrived_ids)
        and not any(name == daemon and began <= call.ended_at for began, name in record.stops)
        and record.is_fault_free(call.sent_at, call.ended_at)
    ]


def check_service(record: Record) -> list[str]:
    """Return a message if too few calls were served that a stop found open and could let end."""
    owed = [
        call
        for began, daemon in record.stops
        for call in record.calls
        if call.daemon == daemon
        and 0.0 < call.sent_whole_at < began <= call.ended_at
        and call.ended_at < began + EXCUSED_SHARE * record.grace
    ]
    served = sum(call.is_complete and call.status == 200 for call in owed)
    if served >= MIN_SERVED_SHARE * len(owed):
        return []
    return [f"only {served} of {len(owed)} calls sent before stops were served"]


def is_cut(call: CallRecord, has_arrived: bool) -> bool:
    """Return whether a call that was sent whole was closed late, or after an upstream got it."""
    if call.is_complete or not call.sent_whole_at:
        return False
    if call.ended_at - call.sent_at >= call.timeout:
        return False
    return has_arrived or call.ended_at > call.sent_whole_at + LOSS_SLACK


def is_around(record: Record, call: CallRecord, began: float) -> bool:
    """Return whether a call is around a stop: sent whole and open at some time of it."""
    end = began + record.grace + LATE_SLACK
    is_read = call.sent_whole_at > 0.0
    is_open = call.sent_at <= end and call.ended_at >= began
    is_later = any(began < at <= call.sent_at for at, name in record.starts if name == call.daemon)
    return (
        is_read
        and is_open
        and not is_later
        and record.is_fault_free(min(began, call.sent_at), call.ended_at)
    )


def loss(
    record: Record, call: CallRecord, runs: list[UpstreamRun], began: float, has_arrived: bool
) -> str:
    """Return how a call was lost, "" if it was not or the loss is excused."""
    if call.is_complete and (call.is_upstreams_own or not runs):
        return ""
    answered_by = call.ended_at - ANSWER_SECONDS
    is_answered = any(run.is_finished and run.worked_until <= answered_by for run in runs)
    if call.is_complete and is_answered:
        return f"its upstream's answer was replaced by {call.status}"
    if call.ended_at - call.sent_at >= call.timeout:
        return ""
    if not runs:
        return "closed unanswered" if is_cut(call, has_arrived) else ""
    excused_from = began + EXCUSED_SHARE * record.grace
    is_early = call.sent_at <= began + LAST_REQUEST_SECONDS
    # An upstream may notice only later that it has been broken off.
    if is_early and all(min(run.worked_until, call.ended_at) >= excused_from for run in runs):
        return ""
    return f"run and answered with {call.status}" if call.is_complete else "run and closed"
