"""Bounded journal of decisions: what was decided about a call, on what evidence, and why.

Two rings. `recent` has one small object for each of the last calls. `kept` has the calls that
were refused, retried, hedged or sampled, with all their notes; it is bounded by count and bytes.
Nothing is formatted before somebody asks: notes may be objects of `operators.steps`, which are
turned into text by `str`.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator, Sequence
from datetime import UTC, datetime

from ..component import Component
from ..exceptions import Refusal
from ..formatting import format_count
from ..timers import Clock
from .rows import RefusalRow

MAX_RECENT_CALLS = 2000
MAX_DETAILED_CALLS = 1000
MAX_DETAILED_BYTES = 1_000_000
SAMPLE_INTERVAL = 1000
"""One call in so many is kept with all its notes though nothing happened to it."""

ENTRY_BYTES = 300
"""What an entry takes without its notes, about."""

NOTE_BYTES = 100
"""What a note takes besides its text, about."""

MAX_NOTES = 50
"""Notes of one call that are kept: the first ones and, after the cut, the last."""


class CallEntry:
    """One call of the journal; `seconds` from its arrival to its end, `ended` on this clock."""

    __slots__ = (
        "id",
        "service",
        "kind",
        "upstream",
        "status",
        "seconds",
        "ended",
        "attempts",
        "hedged",
        "refusal",
        "notes",
    )

    def __init__(
        self,
        request_id: str,
        service: str,
        kind: str,
        upstream: str,
        status: int,
        seconds: float,
        ended: float,
        attempts: int,
        hedged: bool,
        refusal: Refusal | None,
        notes: Sequence[object],
    ):
        self.id = request_id
        self.service = service
        self.kind = kind
        self.upstream = upstream
        self.status = status
        self.seconds = seconds
        self.ended = ended
        self.attempts = attempts
        self.hedged = hedged
        self.refusal = refusal
        self.notes = notes

    def size(self) -> int:
        """Return about how many bytes the entry takes."""
        return ENTRY_BYTES + sum(NOTE_BYTES + note_size(note) for note in self.notes)


class Journal(Component):
    """The journal of one daemon."""

    name = "journal"

    def __init__(
        self,
        clock: Clock,
        vm: str,
        max_recent_calls: int = MAX_RECENT_CALLS,
        max_detailed_calls: int = MAX_DETAILED_CALLS,
        max_detailed_bytes: int = MAX_DETAILED_BYTES,
        sample_interval: int = SAMPLE_INTERVAL,
    ):
        self.clock = clock
        self.vm = vm
        self.recent: deque[CallEntry] = deque(maxlen=max_recent_calls)
        self.detailed: deque[CallEntry] = deque()
        self.max_detailed_calls = max_detailed_calls
        self.max_detailed_bytes = max_detailed_bytes
        self.detailed_bytes = 0
        self.sample_interval = sample_interval
        self.started_calls = 0
        self.recorded = 0

    def should_sample(self) -> bool:
        """Say whether the call that starts now is to note its evidence; one in `sample_every`."""
        self.started_calls += 1
        return self.started_calls % self.sample_interval == 0

    def record(
        self,
        request_id: str,
        service: str,
        kind: str,
        upstream: str,
        status: int,
        seconds: float,
        now: float,
        attempts: int = 1,
        hedged: bool = False,
        refusal: Refusal | None = None,
        notes: Sequence[object] | None = None,
    ) -> None:
        """Add a call that has ended at `now`; cheap unless there is something to keep."""
        entry = CallEntry(
            request_id,
            service,
            kind,
            upstream,
            status,
            seconds,
            now,
            attempts,
            hedged,
            refusal,
            notes or (),
        )
        self.recorded += 1
        if notes or refusal is not None or attempts > 1 or hedged:
            self._keep_details(entry)
        else:
            self.recent.append(entry)

    def find(self, request_id: str) -> CallEntry | None:
        """Return the newest entry of a request, or None if it is not (or no longer) there."""
        for entry in self.newest_first():
            if entry.id == request_id:
                return entry
        return None

    def newest_first(self) -> Iterator[CallEntry]:
        """Go through the kept entries, then the recent ones, each newest first."""
        yield from reversed(self.detailed)
        yield from reversed(self.recent)

    def explain(self, request_id: str) -> list[str] | None:
        """Return the story of one request, a line for each event, or None if it is not here."""
        entry = self.find(request_id)
        if entry is None:
            return None
        return [self._summary(entry), *(str(note) for note in entry.notes), describe_outcome(entry)]

    def refusals(self) -> list[RefusalRow]:
        """Return the refusals that are still here, newest first."""
        return [self._refusal_row(entry) for entry in reversed(self.detailed) if entry.refusal]

    def dump(self) -> dict:
        """Describe the journal for the state dump, not its entries."""
        oldest = min((ring[0].ended for ring in (self.recent, self.detailed) if ring), default=None)
        return {
            "recorded": self.recorded,
            "recent": len(self.recent),
            "kept": len(self.detailed),
            "kept_bytes": self.detailed_bytes,
            "kept_bytes_limit": self.max_detailed_bytes,
            "oldest": None if oldest is None else self._wall_time(oldest),
        }

    def _keep_details(self, entry: CallEntry) -> None:
        # A copy: a late loser of a hedge may still add to the call's own list.
        entry.notes = truncate_notes(entry.notes)
        self.detailed.append(entry)
        self.detailed_bytes += entry.size()
        while (
            len(self.detailed) > self.max_detailed_calls
            or self.detailed_bytes > self.max_detailed_bytes
        ):
            self.detailed_bytes -= self.detailed.popleft().size()

    def _summary(self, entry: CallEntry) -> str:
        what = f"{entry.id}: {entry.service or 'no service'}, {entry.kind or 'no kind'}"
        return f"{what}; ended {self._wall_time(entry.ended)} on {self.vm}"

    def _refusal_row(self, entry: CallEntry) -> RefusalRow:
        refusal = entry.refusal
        return RefusalRow(
            at=self._wall_time(entry.ended),
            request_id=entry.id,
            vm=self.vm,
            service=entry.service,
            kind=entry.kind,
            status=refusal.status,
            reason=refusal.reason.value,
            outcome=refusal.outcome.value,
            message=str(refusal),
        )

    def _wall_time(self, when: float) -> str:
        seconds = self.clock.wall() - (self.clock.now() - when)
        return datetime.fromtimestamp(seconds, UTC).isoformat(timespec="milliseconds")


def describe_outcome(entry: CallEntry) -> str:
    """Say how a call ended."""
    took = f"after {entry.seconds * 1000:.1f} ms and {format_count(entry.attempts, 'attempt')}"
    if entry.refusal is None:
        hedged = ", hedged" if entry.hedged else ""
        return f"answered {entry.status} by {entry.upstream or 'this daemon'} {took}{hedged}"
    refusal = entry.refusal
    words = f"{refusal.reason.value}, {refusal.outcome.value}"
    return f"refused {refusal.status}, {words}, {took}: {refusal}"


def note_size(note: object) -> int:
    """Return about how many bytes a note takes; a step knows its own size."""
    return len(note) if isinstance(note, str) else note.size()


def truncate_notes(notes: Sequence[object]) -> tuple[object, ...]:
    """Return the first and the last notes, with a line for those left out."""
    if len(notes) <= MAX_NOTES:
        return tuple(notes)
    half = MAX_NOTES // 2
    omitted = f"({len(notes) - 2 * half} notes left out)"
    return (*notes[:half], omitted, *notes[-half:])
