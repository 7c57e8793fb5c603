"""Checks that calls keep away from upstreams that asked for rest or said that they leave."""

from .record import Record, RestAsked

DRAIN_SECONDS = 2.0
"""Seconds after which an upstream that leaves must get no more calls."""

TOLD_SECONDS = 0.5
"""Seconds after an answer that asks for rest from which arrivals are counted."""

MAX_REST_ARRIVALS = 2
"""Number of calls from one daemon that may arrive in a rest."""


def check_rests(record: Record) -> list[str]:
    """Return a message for each rest in which too many calls of the daemon arrived."""
    daemon_of = {call.id: call.daemon for call in record.calls}
    violations = []
    for rest in record.rests:
        daemon = daemon_of.get(rest.call_id)
        end = min(rest.at + rest.seconds, next_start(record, rest.upstream, rest.at))
        if daemon is None or daemon in record.disturbed_daemons(rest.at, end):
            continue
        count = arrivals_in_rest(record, rest, daemon, end, daemon_of)
        if count > MAX_REST_ARRIVALS:
            violations.append(
                f"{rest.upstream}: {count} calls of {daemon} in a rest of {rest.seconds} s "
                f"from {rest.at:.2f} on, allowed {MAX_REST_ARRIVALS}"
            )
    return violations


def arrivals_in_rest(
    record: Record, rest: RestAsked, daemon: str, end: float, daemon_of: dict[str, str]
) -> int:
    """Return the number of calls of a daemon that arrived in a rest, from `TOLD_SECONDS` on."""
    return sum(
        arrival.upstream == rest.upstream
        and rest.at + TOLD_SECONDS <= arrival.at < end
        and daemon_of.get(arrival.id) == daemon
        for arrival in record.arrivals
    )


def check_departures(record: Record) -> list[str]:
    """Return a message for each call that reached an upstream long after it said that it leaves.

    A call counts if it was sent to the daemon more than `DRAIN_SECONDS` after that daemon got such
    an answer. Only a restart or a pause of the daemon since then excuses it.
    """
    calls = {call.id: call for call in record.calls}
    told: dict[tuple[str, str], list[float]] = {}
    for at, upstream, call_id in sorted(record.departures):
        if call_id in calls:
            told.setdefault((upstream, calls[call_id].daemon), []).append(at)
    violations = []
    for arrival in record.arrivals:
        call = calls.get(arrival.id)
        if call is None:
            continue
        times = told.get((arrival.upstream, call.daemon), [])
        since = told_since(record, arrival.upstream, call.daemon, times, arrival.at)
        if call.sent_at > since + DRAIN_SECONDS:
            violations.append(
                f"{call.id}: sent at {call.sent_at:.2f}, reached {arrival.upstream}, of which "
                f"{call.daemon} knew from {since:.2f} on that it leaves"
            )
    return violations


def told_since(record: Record, upstream: str, daemon: str, times: list[float], at: float) -> float:
    """Return when a daemon was first told that this lifetime of an upstream leaves.

    It is infinite if the daemon has not been told, or was disturbed later.
    """
    lifetime_start = max(
        (start for start, name in record.upstream_starts if name == upstream and start <= at),
        default=0.0,
    )
    for time in times:
        disturbed = daemon in record.disturbed_daemons(time, at)
        if lifetime_start <= time <= at and not disturbed:
            return time
    return float("inf")


def next_start(record: Record, upstream: str, after: float) -> float:
    """Return the time of an upstream's next start, infinite if there is none."""
    starts = (at for at, name in record.upstream_starts if name == upstream and at > after)
    return min(starts, default=float("inf"))
