"""What a stand-in upstream ran: its own append-only record, kept apart from the code under test.

The record lives in memory and, if a file is named, is also appended there one JSON line at a time
by a plain write, so that it outlives a kill of the process.
"""

import os
from itertools import count

import msgspec

from ...timers import Clock, SystemClock


class Run(msgspec.Struct, kw_only=True):
    """One request that began to run; times are wall times in seconds.

    `nonce` names the caller's work and `attempt` one sending of it, both from headers of the
    caller. `repeat` marks the second and later deliveries of an upload that the upstream has
    already, which change nothing there.
    """

    number: int
    upstream: str
    request: str = ""
    nonce: str = ""
    attempt: str = ""
    key: str = ""
    caller: str = ""
    method: str = ""
    path: str = ""
    digest: str = ""
    upload: str = ""
    began: float = 0.0
    ended: float = 0.0
    status: int = 0
    repeat: bool = False


class RunEnd(msgspec.Struct, kw_only=True):
    """The end of run `number`; a run without one was still going when its process ended."""

    number: int
    upstream: str
    ended: float
    status: int


class Record:
    """The append-only list of runs of one stand-in."""

    __slots__ = ("upstream", "runs", "file", "clock", "numbers")

    def __init__(self, upstream: str, path: str = "", clock: Clock | None = None):
        self.upstream = upstream
        self.clock = clock or SystemClock()
        # A process that takes the place of another goes on in the same file.
        self.numbers = count(round(self.clock.wall() * 1e6))
        self.runs: list[Run] = []
        flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT
        self.file = os.open(path, flags, 0o600) if path else None

    def begin(self, **fields) -> Run:
        """Note that a request begins to run; called before anything of it takes effect."""
        number, now = next(self.numbers), self.clock.wall()
        run = Run(number=number, upstream=self.upstream, began=now, **fields)
        self.runs.append(run)
        self._write(run)
        return run

    def end(self, run: Run, status: int) -> None:
        """Note that `run` has ended with `status`."""
        run.ended = self.clock.wall()
        run.status = status
        self._write(
            RunEnd(number=run.number, upstream=self.upstream, ended=run.ended, status=status)
        )

    def _write(self, entry: Run | RunEnd) -> None:
        if self.file is not None:
            os.write(self.file, msgspec.json.encode(entry) + b"\n")


def read_record(path: str) -> list[Run]:
    """Read the runs of a record file, with their ends filled in."""
    runs: dict[tuple[str, int], Run] = {}
    with open(path, "rb") as file:
        for line in file:
            fields = msgspec.json.decode(line)
            place = (fields["upstream"], fields["number"])
            if "began" in fields:
                runs[place] = msgspec.convert(fields, Run)
            elif place in runs:
                runs[place].ended, runs[place].status = fields["ended"], fields["status"]
    return list(runs.values())
