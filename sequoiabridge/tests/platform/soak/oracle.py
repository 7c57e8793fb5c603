"""Records what callers and upstreams observed, and checks it against the daemon's guarantees."""

import json
from bisect import bisect_left

READ, APPROVE, UPLOAD, MARK = "read", "approve", "upload", "mark"
"""Kinds of calls, each with a route of its own; the route of `MARK` alternates between services."""

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses by which the daemon states that a call did not run."""

MAX_ATTEMPTS = 2
"""Maximum number of upstreams that may run one call."""

DRAIN_SECONDS = 2.0
"""Seconds after which a draining upstream must get no more calls."""

APPLY_SECONDS = 2.0
"""Seconds after which a new configuration must be in force."""

SETTLE_SECONDS = 3.0
"""Seconds after a fault during which time limits are not checked."""

DELIVERY_SECONDS = 0.5
"""Seconds that a request may take from a daemon to an upstream on a busy machine."""


ARRIVAL, RUN = "arrival", "run"
"""Kinds of lines in an upstream's log."""

RETRY_RATIO = 0.2
"""Repeats that a service may receive per call, over all daemons."""

RETRY_WINDOW = 10.0
"""Seconds over which calls and repeats are counted."""

SERVICES = {READ: "reads", APPROVE: "approvals", UPLOAD: "approvals"}
"""Service of each kind of call whose route does not change."""


class CallRecord:
    """One call of a caller and its answer."""

    def __init__(self, call_id, kind, daemon, sent_at):
        self.id = call_id
        self.kind = kind
        self.daemon = daemon
        self.sent_at = sent_at
        self.ended_at = 0.0
        self.status = 0
        self.is_complete = False
        self.body = b""
        self.connected = False


class UpstreamRun:
    """One call that an upstream started to run."""

    def __init__(self, call_id, upstream, service, started_at, size):
        self.id = call_id
        self.upstream = upstream
        self.service = service
        self.started_at = started_at
        self.size = size


class Arrival:
    """One call that an upstream received, whether it ran or rejected it."""

    def __init__(self, call_id, service, at):
        self.id = call_id
        self.service = service
        self.at = at


class Record:
    """Events of one soak run; times are in seconds on one clock.

    Attributes:
        retry_slack: Fixed part of the retry limit; repeats are not checked if it is None.
        faults: Start, end and description of each fault.
        drains: Time at which each upstream was listed as draining, by id.
        route_changes: Time and new service of each change of the alternating route.
        stops: Time and daemon of each graceful stop.
        body_sizes: Bytes of the body of each call, by id.
    """

    def __init__(self):
        self.calls: list[CallRecord] = []
        self.runs: list[UpstreamRun] = []
        self.arrivals: list[Arrival] = []
        self.retry_slack: float | None = None
        self.faults: list[tuple[float, float, str]] = []
        self.drains: dict[str, float] = {}
        self.route_changes: list[tuple[float, str]] = []
        self.stops: list[tuple[float, str]] = []
        self.body_sizes: dict[str, int] = {}

    def is_fault_free(self, at: float, until: float | None = None) -> bool:
        """Return whether no fault was active from `SETTLE_SECONDS` before `at` to `until`."""
        end = until or at
        return not any(
            start <= end and at - SETTLE_SECONDS <= stop for start, stop, _ in self.faults
        )


def find_violations(record: Record) -> list[str]:
    """Return a message for each violated guarantee."""
    runs: dict[str, list[UpstreamRun]] = {}
    for run in record.runs:
        runs.setdefault(run.id, []).append(run)
    violations = []
    for call in record.calls:
        violations += check_call(record, call, runs.get(call.id, []))
    sent_ids = {call.id for call in record.calls}
    violations += [f"{id}: ran, but no caller sent it" for id in runs if id not in sent_ids]
    violations += check_drains(record)
    violations += check_stops(record)
    violations += check_repeats(record)
    return violations


def check_call(record: Record, call: CallRecord, runs: list[UpstreamRun]) -> list[str]:
    """Return the violations of one call."""
    violations = []
    label = f"{call.id} ({call.kind} at {call.daemon}, {call.sent_at:.2f})"
    if call.kind in (APPROVE, UPLOAD) and len(runs) > 1:
        violations.append(f"{label}: ran {len(runs)} times")
    if len({run.upstream for run in runs}) > MAX_ATTEMPTS:
        violations.append(f"{label}: ran at {len(runs)} upstreams")
    if call.status in NOT_RUN_STATUSES and call.kind in (APPROVE, UPLOAD) and runs:
        violations.append(f"{label}: answered with {call.status}, but ran")
    if call.status == 200 and call.is_complete:
        fields = call.body.split(b" ")
        if len(fields) != 3 or fields[1] != call.id.encode():
            violations.append(f"{label}: got a wrong answer: {call.body[:60]!r}")
        elif not any(run.upstream.encode() == fields[0] for run in runs):
            violations.append(f"{label}: answered by {fields[0]!r}, which did not run it")
    size = record.body_sizes.get(call.id, 0)
    violations += [f"{label}: ran with {r.size} of {size} bytes" for r in runs if r.size != size]
    if call.kind == MARK:
        violations += check_routing(record, call, runs, label)
    return violations


def check_routing(
    record: Record, call: CallRecord, runs: list[UpstreamRun], label: str
) -> list[str]:
    """Return a message for each run of a call at a service of an outdated configuration."""
    if not record.is_fault_free(call.sent_at, call.ended_at):
        return []
    allowed = [s for at, s in record.route_changes if at <= call.ended_at]
    in_force = [
        s for at, s in record.route_changes if at <= call.sent_at - APPLY_SECONDS - DELIVERY_SECONDS
    ]
    # Allowed: the last change that had to be in force when the call was sent, and later ones.
    allowed = allowed[max(0, len(in_force) - 1) :]
    return [
        f"{label}: ran at {r.service}, allowed {allowed}" for r in runs if r.service not in allowed
    ]


def check_drains(record: Record) -> list[str]:
    """Return a message for each call that reached an upstream too long after its drain started."""
    time_limit = DRAIN_SECONDS + DELIVERY_SECONDS
    violations = []
    for run in record.runs:
        elapsed = run.started_at - record.drains.get(run.upstream, run.started_at)
        if elapsed > time_limit and record.is_fault_free(run.started_at):
            violations.append(
                f"{run.id}: reached {run.upstream} {elapsed:.2f} s after its drain started"
            )
    return violations


def check_stops(record: Record) -> list[str]:
    """Return a message for each call that a graceful stop of its daemon cut off."""
    violations = []
    for at, daemon in record.stops:
        for call in record.calls:
            is_affected = call.daemon == daemon and at - 1.0 <= call.sent_at <= at + 6.0
            is_cut_off = call.connected and not call.is_complete and call.sent_at <= at + 2.0
            if is_affected and is_cut_off and record.is_fault_free(call.sent_at, call.ended_at):
                violations.append(
                    f"{call.id} ({call.kind}): cut off by the graceful stop of {daemon} at {at:.2f}"
                )
    return violations


def check_repeats(record: Record) -> list[str]:
    """Return a message for each service that received more repeats than the fleet may send."""
    if record.retry_slack is None:
        return []
    return [
        f"{service}: {worst}"
        for service, worst in worst_repeats(record).items()
        if worst.excess > 0.0
    ]


def worst_repeats(record: Record) -> dict[str, "RepeatExcess"]:
    """Return the window with the most repeats beyond the limit for each service."""
    worst = {}
    for service in sorted({arrival.service for arrival in record.arrivals}):
        calls = sorted(c.sent_at for c in record.calls if service_of(record, c) == service)
        repeats = repeat_times(record, service)
        windows = [repeat_excess(start, repeats, calls, record.retry_slack) for start in repeats]
        if windows:
            worst[service] = max(windows, key=lambda window: window.excess)
    return worst


class RepeatExcess:
    """The repeats in one window and how many were allowed."""

    def __init__(self, start, count, allowed):
        self.start = start
        self.count = count
        self.allowed = allowed

    @property
    def excess(self) -> float:
        """Return how many repeats were too many; negative if there was room."""
        return self.count - self.allowed

    def __str__(self) -> str:
        return (
            f"{self.count} repeats within {RETRY_WINDOW:.0f} s from {self.start:.2f} on, "
            f"{self.allowed:.0f} allowed"
        )


def repeat_excess(start, repeats, calls, slack) -> RepeatExcess:
    """Return the repeats in the window from `start` on; `repeats` and `calls` are sorted times."""
    counted = max(
        count_between(calls, start - back, start - back + RETRY_WINDOW)
        for back in (0.0, RETRY_WINDOW / 2, RETRY_WINDOW)
    )
    count = count_between(repeats, start, start + RETRY_WINDOW)
    return RepeatExcess(start, count, RETRY_RATIO * counted + slack)


def repeat_times(record: Record, service: str) -> list[float]:
    """Return the sorted times of all arrivals at a service but the first of each call."""
    seen, repeats = set(), []
    for arrival in sorted(record.arrivals, key=lambda one: one.at):
        if arrival.id in seen and arrival.service == service:
            repeats.append(arrival.at)
        seen.add(arrival.id)
    return repeats


def service_of(record: Record, call: CallRecord) -> str:
    """Return the service of a call's route at the time at which the call was sent."""
    if call.kind in SERVICES:
        return SERVICES[call.kind]
    return [service for at, service in record.route_changes if at <= call.sent_at][-1]


def count_between(times: list[float], start: float, end: float) -> int:
    """Return the number of sorted `times` from `start` up to but without `end`."""
    return bisect_left(times, end) - bisect_left(times, start)


def read_upstream_log(record: Record, upstream, clock_start: float) -> None:
    """Add the arrivals and runs in an upstream's log to the record."""
    if not upstream.log.exists():
        return
    for line in upstream.log.read_text().splitlines():
        at, what, call_id, size = json.loads(line)
        at -= clock_start
        if what == ARRIVAL:
            record.arrivals.append(Arrival(call_id, upstream.service, at))
        else:
            record.runs.append(UpstreamRun(call_id, upstream.id, upstream.service, at, size))
