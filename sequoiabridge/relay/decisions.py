"""The log of decisions: one JSON line for each, on standard output, bounded and never waited for.

Events of the daemon's life and changes of what it believes are always written, up to a rate that
nothing reaches in ordinary work. Lines of calls have a bucket of their own, and calls that went
badly another one, so that a flood of good calls never hides a bad one. What a full bucket or a
reader that does not read leaves out is counted in the next line.
"""

from __future__ import annotations

import json
import logging
import os
from collections.abc import Callable

from ..timers import Clock

GOOD_CALL_LIMITS = (10.0, 40.0)
"""Lines a second, and at once, for calls that were answered in time: enough for each call of a VM
at the users' present load (5 to 20 a second), a cap on the CPU time of a flood."""

BAD_CALL_LIMITS = (40.0, 200.0)
"""The same for all other calls: they are what people ask about."""

EVENT_LIMITS = (100.0, 500.0)
"""The same for everything else: a list of all upstreams may change at once."""

MAX_PENDING_BYTES = 64 * 1024
"""Bytes that are kept for a reader that does not read; more is left out and counted."""

STDOUT = 1

ENCODER = json.JSONEncoder(separators=(",", ":"), ensure_ascii=True, default=str)


class TokenBucket:
    """Lets through so many lines a second, and so many at once."""

    __slots__ = ("rate", "burst", "tokens", "updated_at", "omitted")

    def __init__(self, limits: tuple[float, float]):
        self.rate, self.burst = limits
        self.tokens = self.burst
        self.updated_at = 0.0
        self.omitted = 0

    def take(self, now: float) -> bool:
        """Return whether one more line may be written; count it if not."""
        self.tokens = min(self.burst, self.tokens + (now - self.updated_at) * self.rate)
        self.updated_at = now
        if self.tokens < 1.0:
            self.omitted += 1
            return False
        self.tokens -= 1.0
        return True


class LineWriter:
    """Writes whole lines to a descriptor without ever waiting for its reader.

    The descriptor must be set to non-blocking.

    Attributes:
        omitted: Lines that were left out because the reader did not read.
    """

    __slots__ = ("fd", "pending", "omitted")

    def __init__(self, fd: int = STDOUT):
        self.fd = fd
        self.pending = b""
        self.omitted = 0

    def write(self, line: bytes) -> None:
        """Write a line, or as much of what waits as the reader takes."""
        if len(self.pending) + len(line) > MAX_PENDING_BYTES:
            self.omitted += 1
        else:
            self.pending += line
        self.flush()

    def flush(self) -> None:
        """Write what waits, as far as the reader takes it."""
        while self.pending:
            try:
                count = os.write(self.fd, self.pending)
            except BlockingIOError:
                return
            except OSError:
                # The reader has gone for good; there is nobody to tell, and calls must go on.
                self.omitted += self.pending.count(b"\n")
                self.pending = b""
                return
            self.pending = self.pending[count:]


class DecisionLog:
    """Writes decisions as JSON lines.

    Args:
        vm: Name of this VM.
        write: Takes each line, with its line end.

    Attributes:
        written: Lines written, by event.
    """

    def __init__(self, vm: str, clock: Clock, write: Callable[[bytes], None]):
        self.vm = vm
        self.clock = clock
        self.write = write
        self.good_calls, self.bad_calls, self.events = (
            TokenBucket(GOOD_CALL_LIMITS),
            TokenBucket(BAD_CALL_LIMITS),
            TokenBucket(EVENT_LIMITS),
        )
        self.written: dict[str, int] = {}

    @property
    def omitted(self) -> int:
        """Return how many lines the buckets left out."""
        return self.good_calls.omitted + self.bad_calls.omitted + self.events.omitted

    def event(self, event: str, **fields: object) -> None:
        """Write that the daemon believes something else now, or an event of its life."""
        self._write_line(self.events, event, fields)

    def call(self, good: bool, fields: dict[str, object]) -> None:
        """Write what was decided about one call."""
        self._write_line(self.good_calls if good else self.bad_calls, "call", fields)

    def _write_line(self, bucket: TokenBucket, event: str, fields: dict[str, object]) -> None:
        now = self.clock.now()
        if not bucket.take(now):
            return
        self.written[event] = self.written.get(event, 0) + 1
        line = {"at": round(self.clock.wall(), 3), "up": round(now, 3), "vm": self.vm}
        line["event"] = event
        line.update(fields)
        if bucket.omitted:
            line["omitted_so_far"] = bucket.omitted
        self.write(ENCODER.encode(line).encode() + b"\n")


class DecisionLogHandler(logging.Handler):
    """Puts the sentences of the parts' logs into the same stream, one JSON line each."""

    def __init__(self, decisions: DecisionLog):
        super().__init__()
        self.decisions = decisions

    def emit(self, record: logging.LogRecord) -> None:
        """Write one sentence."""
        text = record.getMessage()
        if record.exc_info:
            text += "\n" + logging.Formatter().formatException(record.exc_info)
        self.decisions.event("log", level=record.levelname.lower(), text=text)
