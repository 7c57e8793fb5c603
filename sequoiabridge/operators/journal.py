"""Bounded in-memory journal of the decisions about calls.

`recent` contains plain calls without notes. `detailed` contains calls that were refused, retried,
hedged or sampled, with their notes; it is limited by count and by size. Notes are strings or steps
of `operators.steps`, which are formatted only when they are read.
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
"""Maximum number of recent entries."""

MAX_DETAILED_CALLS = 1000
"""Maximum number of detailed entries."""

MAX_DETAILED_BYTES = 1_000_000
"""Maximum approximate size of all detailed entries."""

SAMPLE_INTERVAL = 1000
"""Number of calls of which one is sampled: it records its notes in any case."""

ENTRY_BYTES = 300
"""Approximate size of an entry without its notes."""

NOTE_BYTES = 100
"""Approximate size of a note without its text."""

MAX_NOTES = 50
"""Maximum number of notes per call; of more, the first and the last are stored."""


class CallEntry:
    """A finished call; `seconds` is its duration and `ended` its end on the daemon's clock."""

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
        """Return the approximate size of the entry in bytes."""
        return ENTRY_BYTES + sum(NOTE_BYTES + note_size(note) for note in self.notes)


class Journal(Component):
    """The decision journal of a daemon."""

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
        """Count a new call; return True for one in `sample_interval`, which records notes."""
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
        """Add a call that has ended at `now`."""
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
        """Return the newest detailed entry of a request, else its newest recent one, or None."""
        for entry in self.newest_first():
            if entry.id == request_id:
                return entry
        return None

    def newest_first(self) -> Iterator[CallEntry]:
        """Iterate over the detailed entries, then the recent ones, each newest first."""
        yield from reversed(self.detailed)
        yield from reversed(self.recent)

    def explain(self, request_id: str) -> list[str] | None:
        """Return the events of a request, one line each, or None if it has no entry."""
        entry = self.find(request_id)
        if entry is None:
            return None
        return [self._summary(entry), *(str(note) for note in entry.notes), describe_outcome(entry)]

    def refusals(self) -> list[RefusalRow]:
        """Return the recorded refusals, newest first."""
        return [self._refusal_row(entry) for entry in reversed(self.detailed) if entry.refusal]

    def dump(self) -> dict:
        """Return the state of the journal, without its entries, for the state dump."""
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
        # Copied, because an attempt that lost a hedge may still append to the call's list.
        entry.notes = truncate_notes(entry.notes)
        self.detailed.append(entry)
        self.detailed_bytes += entry.size()
        while (
            len(self.detailed) > self.max_detailed_calls
            or self.detailed_bytes > self.max_detailed_bytes
        ):
            self.detailed_bytes -= self.detailed.popleft().size()

    def _summary(self, entry: CallEntry) -> str:
        description = f"{entry.id}: {entry.service or 'no service'}, {entry.kind or 'no kind'}"
        return f"{description}; ended {self._wall_time(entry.ended)} on {self.vm}"

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
    """Return one line that says how a call ended."""
    duration = f"after {entry.seconds * 1000:.1f} ms and {format_count(entry.attempts, 'attempt')}"
    if entry.refusal is None:
        hedged = ", hedged" if entry.hedged else ""
        return f"answered {entry.status} by {entry.upstream or 'this daemon'} {duration}{hedged}"
    refusal = entry.refusal
    cause = f"{refusal.reason.value}, {refusal.outcome.value}"
    return f"refused {refusal.status}, {cause}, {duration}: {refusal}"


def note_size(note: object) -> int:
    """Return the approximate size of a note in bytes."""
    return len(note) if isinstance(note, str) else note.size()


def truncate_notes(notes: Sequence[object]) -> tuple[object, ...]:
    """Return the first and the last notes, with a line that counts the omitted ones."""
    if len(notes) <= MAX_NOTES:
        return tuple(notes)
    half = MAX_NOTES // 2
    omitted = f"({len(notes) - 2 * half} notes omitted)"
    return (*notes[:half], omitted, *notes[-half:])
