"""What callers and upstreams saw, and which promises that breaks."""

READ, APPROVE, UPLOAD, MARK = "read", "approve", "upload", "mark"
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
MAX_ATTEMPTS = 2
DRAIN_SECONDS = 2.0
"""Seconds in which a leaving upstream must stop getting calls, once the store has told."""
APPLY_SECONDS = 2.0
"""Seconds in which a configuration must be in force, once the store has told."""
SETTLE_SECONDS = 3.0
"""Seconds without any fault before a moment at which the bounds in time hold."""
DELIVERY_SECONDS = 0.5
"""Seconds for the way of a request through busy processes of one machine."""


class CallRecord:
    """One call: what was sent, when, and what came back."""

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
    """One call that an upstream began to run."""

    def __init__(self, call_id, upstream, service, started_at, size):
        self.id = call_id
        self.upstream = upstream
        self.service = service
        self.started_at = started_at
        self.size = size


class Record:
    """All that happened in one soak; times on one clock.

    Attributes:
        faults: (start, end, what) of every fault.
        drains: When each upstream was listed as leaving.
        marks: (when, service) of each change of the route that moves.
        stops: (when, daemon) of each planned stop.
        body_size: Bytes of each call's body.
    """

    def __init__(self):
        self.calls: list[CallRecord] = []
        self.runs: list[UpstreamRun] = []
        self.faults: list[tuple[float, float, str]] = []
        self.drains: dict[str, float] = {}
        self.route_changes: list[tuple[float, str]] = []
        self.stops: list[tuple[float, str]] = []
        self.body_sizes: dict[str, int] = {}

    def is_fault_free(self, at: float, until: float | None = None) -> bool:
        """Return whether there was no fault from `CALM` seconds before `at` on."""
        end = until or at
        return not any(
            start <= end and at - SETTLE_SECONDS <= stop for start, stop, _ in self.faults
        )


def find_violations(record: Record) -> list[str]:
    """Return one sentence for each broken promise."""
    runs: dict[str, list[UpstreamRun]] = {}
    for run in record.runs:
        runs.setdefault(run.id, []).append(run)
    violations = []
    for call in record.calls:
        violations += check_call(record, call, runs.get(call.id, []))
    known = {call.id for call in record.calls}
    violations += [f"{id}: ran, and nobody sent it" for id in runs if id not in known]
    violations += check_drains(record)
    violations += check_stops(record)
    return violations


def check_call(record: Record, call: CallRecord, runs: list[UpstreamRun]) -> list[str]:
    """Return what is wrong with one call."""
    violations = []
    name = f"{call.id} ({call.kind} at {call.daemon}, {call.sent_at:.2f})"
    if call.kind in (APPROVE, UPLOAD) and len(runs) > 1:
        violations.append(f"{name}: ran {len(runs)} times")
    if len({run.upstream for run in runs}) > MAX_ATTEMPTS:
        violations.append(f"{name}: ran at {len(runs)} upstreams")
    if call.status in NOT_RUN_STATUSES and call.kind in (APPROVE, UPLOAD) and runs:
        violations.append(f"{name}: told {call.status}, and ran")
    if call.status == 200 and call.is_complete:
        by = call.body.split(b" ")
        if len(by) != 3 or by[1] != call.id.encode():
            violations.append(f"{name}: got the answer {call.body[:60]!r}")
        elif not any(run.upstream.encode() == by[0] for run in runs):
            violations.append(f"{name}: answered by {by[0]!r}, which did not run it")
    size = record.body_sizes.get(call.id, 0)
    violations += [f"{name}: ran with {r.size} of {size} bytes" for r in runs if r.size != size]
    if call.kind == MARK:
        violations += check_routing(record, call, runs, name)
    return violations


def check_routing(
    record: Record, call: CallRecord, runs: list[UpstreamRun], name: str
) -> list[str]:
    """Return whether a call went by a configuration that was no longer in force."""
    if not record.is_fault_free(call.sent_at, call.ended_at):
        return []
    allowed = [s for at, s in record.route_changes if at <= call.ended_at]
    current = [
        s for at, s in record.route_changes if at <= call.sent_at - APPLY_SECONDS - DELIVERY_SECONDS
    ]
    # From the last change that had to be in force when it was sent, any later one may count.
    allowed = allowed[max(0, len(current) - 1) :]
    return [
        f"{name}: ran at {r.service}, allowed {allowed}" for r in runs if r.service not in allowed
    ]


def check_drains(record: Record) -> list[str]:
    """Return calls that reached an upstream long after it was leaving."""
    time_limit = DRAIN_SECONDS + DELIVERY_SECONDS
    violations = []
    for run in record.runs:
        since = run.started_at - record.drains.get(run.upstream, run.started_at)
        if since > time_limit and record.is_fault_free(run.started_at):
            violations.append(f"{run.id}: reached {run.upstream} {since:.2f} s after it left")
    return violations


def check_stops(record: Record) -> list[str]:
    """Return calls without a whole answer at a daemon that was being stopped as planned."""
    violations = []
    for at, daemon in record.stops:
        for call in record.calls:
            near = call.daemon == daemon and at - 1.0 <= call.sent_at <= at + 6.0
            lost = call.connected and not call.is_complete and call.sent_at <= at + 2.0
            if near and lost and record.is_fault_free(call.sent_at, call.ended_at):
                violations.append(
                    f"{call.id} ({call.kind}): cut off by the stop of {daemon} at {at:.2f}"
                )
    return violations
