"""What callers and upstreams saw, and which promises that breaks."""

READ, APPROVE, UPLOAD, MARK = "read", "approve", "upload", "mark"
PROMISED_NOT_RUN = frozenset({408, 421, 429, 503})
MAX_ATTEMPTS = 2
DRAIN_BOUND = 2.0
"""Seconds in which a leaving upstream must stop getting calls, once the store has told."""
APPLY_BOUND = 2.0
"""Seconds in which a configuration must be in force, once the store has told."""
CALM = 3.0
"""Seconds without any fault before a moment at which the bounds in time hold."""
SLACK = 0.5
"""Seconds for the way of a request through busy processes of one machine."""


class Told:
    """One call: what was sent, when, and what came back."""

    def __init__(self, call_id, kind, daemon, sent):
        self.id = call_id
        self.kind = kind
        self.daemon = daemon
        self.sent = sent
        self.ended = 0.0
        self.status = 0
        self.whole = False
        self.body = b""
        self.connected = False


class Run:
    """One call that an upstream began to run."""

    def __init__(self, call_id, upstream, service, at, size):
        self.id = call_id
        self.upstream = upstream
        self.service = service
        self.at = at
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
        self.told: list[Told] = []
        self.runs: list[Run] = []
        self.faults: list[tuple[float, float, str]] = []
        self.drains: dict[str, float] = {}
        self.marks: list[tuple[float, str]] = []
        self.stops: list[tuple[float, str]] = []
        self.body_size: dict[str, int] = {}

    def calm(self, at: float, until: float | None = None) -> bool:
        """Return whether there was no fault from `CALM` seconds before `at` on."""
        end = until or at
        return not any(start <= end and at - CALM <= stop for start, stop, _ in self.faults)


def broken(record: Record) -> list[str]:
    """Return one sentence for each broken promise."""
    runs: dict[str, list[Run]] = {}
    for run in record.runs:
        runs.setdefault(run.id, []).append(run)
    found = []
    for told in record.told:
        found += of_call(record, told, runs.get(told.id, []))
    known = {told.id for told in record.told}
    found += [f"{id}: ran, and nobody sent it" for id in runs if id not in known]
    found += late_work(record)
    found += cut_by_stops(record)
    return found


def of_call(record: Record, told: Told, runs: list[Run]) -> list[str]:
    """Return what is wrong with one call."""
    found = []
    name = f"{told.id} ({told.kind} at {told.daemon}, {told.sent:.2f})"
    if told.kind in (APPROVE, UPLOAD) and len(runs) > 1:
        found.append(f"{name}: ran {len(runs)} times")
    if len({run.upstream for run in runs}) > MAX_ATTEMPTS:
        found.append(f"{name}: ran at {len(runs)} upstreams")
    if told.status in PROMISED_NOT_RUN and told.kind in (APPROVE, UPLOAD) and runs:
        found.append(f"{name}: told {told.status}, and ran")
    if told.status == 200 and told.whole:
        by = told.body.split(b" ")
        if len(by) != 3 or by[1] != told.id.encode():
            found.append(f"{name}: got the answer {told.body[:60]!r}")
        elif not any(run.upstream.encode() == by[0] for run in runs):
            found.append(f"{name}: answered by {by[0]!r}, which did not run it")
    size = record.body_size.get(told.id, 0)
    found += [f"{name}: ran with {r.size} of {size} bytes" for r in runs if r.size != size]
    if told.kind == MARK:
        found += wrong_mark(record, told, runs, name)
    return found


def wrong_mark(record: Record, told: Told, runs: list[Run], name: str) -> list[str]:
    """Return whether a call went by a configuration that was no longer in force."""
    if not record.calm(told.sent, told.ended):
        return []
    allowed = [s for at, s in record.marks if at <= told.ended]
    current = [s for at, s in record.marks if at <= told.sent - APPLY_BOUND - SLACK]
    # From the last change that had to be in force when it was sent, any later one may count.
    allowed = allowed[max(0, len(current) - 1) :]
    return [
        f"{name}: ran at {r.service}, allowed {allowed}" for r in runs if r.service not in allowed
    ]


def late_work(record: Record) -> list[str]:
    """Return calls that reached an upstream long after it was leaving."""
    bound = DRAIN_BOUND + SLACK
    found = []
    for run in record.runs:
        since = run.at - record.drains.get(run.upstream, run.at)
        if since > bound and record.calm(run.at):
            found.append(f"{run.id}: reached {run.upstream} {since:.2f} s after it left")
    return found


def cut_by_stops(record: Record) -> list[str]:
    """Return calls without a whole answer at a daemon that was being stopped as planned."""
    found = []
    for at, daemon in record.stops:
        for told in record.told:
            near = told.daemon == daemon and at - 1.0 <= told.sent <= at + 6.0
            lost = told.connected and not told.whole and told.sent <= at + 2.0
            if near and lost and record.calm(told.sent, told.ended):
                found.append(
                    f"{told.id} ({told.kind}): cut off by the stop of {daemon} at {at:.2f}"
                )
    return found
