"""The decision log: JSON lines on standard output, rate-limited and never blocking.

Events, calls answered in time and all other calls have a rate limiter each, so that many successful
calls do not displace the failed ones. Omitted lines are counted in the next line of their kind.
"""

from __future__ import annotations

import json
import logging
import os
from collections.abc import Callable

from ..timers import Clock

GOOD_CALL_LIMITS = (10.0, 40.0)
"""Maximum rate in lines per second, and maximum burst in lines, for calls answered in time. They
allow a line for each call of a VM at 5 to 20 calls a second, and bound the CPU time of a flood."""

BAD_CALL_LIMITS = (40.0, 200.0)
"""Maximum rate and burst for calls that failed or were answered late."""

EVENT_LIMITS = (100.0, 500.0)
"""Maximum rate and burst for events; one update may change the whole list of upstreams."""

MAX_PENDING_BYTES = 64 * 1024
"""Maximum number of bytes buffered for a slow reader; further lines are omitted and counted."""

STDOUT = 1

ENCODER = json.JSONEncoder(separators=(",", ":"), ensure_ascii=True, default=str)


class TokenBucket:
    """Limits the rate and the burst of lines, and counts the omitted ones."""

    __slots__ = ("rate", "burst", "tokens", "updated_at", "omitted")

    def __init__(self, limits: tuple[float, float]):
        self.rate, self.burst = limits
        self.tokens = self.burst
        self.updated_at = 0.0
        self.omitted = 0

    def take(self, now: float) -> bool:
        """Return whether a line may be written; count it as omitted if not."""
        self.tokens = min(self.burst, self.tokens + (now - self.updated_at) * self.rate)
        self.updated_at = now
        if self.tokens < 1.0:
            self.omitted += 1
            return False
        self.tokens -= 1.0
        return True


class LineWriter:
    """Writes whole lines to a file descriptor without waiting for its reader.

    The file descriptor must be non-blocking.

    Attributes:
        omitted: Number of lines omitted because the buffer was full or the reader closed.
    """

    __slots__ = ("fd", "pending", "omitted")

    def __init__(self, fd: int = STDOUT):
        self.fd = fd
        self.pending = b""
        self.omitted = 0

    def write(self, line: bytes) -> None:
        """Buffer a line and write as much of the buffer as the reader accepts."""
        if len(self.pending) + len(line) > MAX_PENDING_BYTES:
            self.omitted += 1
        else:
            self.pending += line
        self.flush()

    def flush(self) -> None:
        """Write as much of the buffer as the reader accepts."""
        while self.pending:
            try:
                count = os.write(self.fd, self.pending)
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed the pipe; calls must still be served.
                self.omitted += self.pending.count(b"\n")
                self.pending = b""
                return
            self.pending = self.pending[count:]


class DecisionLog:
    """Writes events and calls as JSON lines.

    Args:
        vm: Name of this VM.
        write: Called with each line, including its line end.

    Attributes:
        written: Number of lines written, by event.
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
        """Return the number of lines omitted by the rate limiters."""
        return self.good_calls.omitted + self.bad_calls.omitted + self.events.omitted

    def event(self, event: str, **fields: object) -> None:
        """Write an event with its fields."""
        self._write_line(self.events, event, fields)

    def call(self, good: bool, fields: dict[str, object]) -> None:
        """Write the fields of a call; `good` says whether it was answered in time."""
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
    """Logging handler that writes log records to the decision log."""

    def __init__(self, decisions: DecisionLog):
        super().__init__()
        self.decisions = decisions

    def emit(self, record: logging.LogRecord) -> None:
        """Write a log record as an event."""
        text = record.getMessage()
        if record.exc_info:
            text += "\n" + logging.Formatter().formatException(record.exc_info)
        self.decisions.event("log", level=record.levelname.lower(), text=text)
