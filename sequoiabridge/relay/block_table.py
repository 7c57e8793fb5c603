"""The platform's table of requests that crash upstreams, which outlives all daemons.

A blocked request has a row with the time of the block and the number of trials that were taken. A
trial is taken by a conditional write, so that the whole fleet takes no more than intended. A
request that has crashed two upstreams has a row for each of them, so that the third crash blocks
it even if all daemons have started again.
"""

from __future__ import annotations

import json
from collections.abc import Sequence

from ..exceptions import BadEntry, ConditionFailed
from ..policy.crashes import CRASH_RETENTION_SECONDS
from ..store.rows import Condition, StoredRow, Write
from ..store.tables import Tables
from ..timers import Clock
from ..untrusted_json import as_integer, as_number, as_object, parse_json

TABLE = "crashing_requests"

SEPARATOR = "/"
"""Stands between fingerprint and upstream in the key of a crash."""

MAX_WRITES = 100
"""Maximum number of rows that the platform changes in one transaction."""

MAX_TRIAL_COUNT = 1000
MAX_TIME = 1e12
"""Maximum number of trials, and maximum Unix time in seconds, that are accepted in a row."""


class StoredBlock:
    """A blocked request in the table.

    Attributes:
        fingerprint: Fingerprint of the request.
        age: Seconds since the block.
        trials: Number of trials that were taken.
    """

    __slots__ = ("fingerprint", "age", "trials")

    def __init__(self, fingerprint: str, age: float, trials: int):
        self.fingerprint = fingerprint
        self.age = age
        self.trials = trials


class StoredCrash:
    """A crash in the table.

    Attributes:
        fingerprint: Fingerprint of the request.
        upstream: Name of the lifetime of the upstream.
        age: Seconds since the crash.
    """

    __slots__ = ("fingerprint", "upstream", "age")

    def __init__(self, fingerprint: str, upstream: str, age: float):
        self.fingerprint = fingerprint
        self.upstream = upstream
        self.age = age


class BlockTable:
    """Reads and writes the table; all methods raise `StoreUnavailable`.

    Args:
        clock: Its wall clock dates the rows.
    """

    def __init__(self, tables: Tables, clock: Clock):
        self.tables = tables
        self.clock = clock

    async def load(self) -> list[StoredBlock | StoredCrash]:
        """Return all blocks and crashes; remove the rows of those that are old or invalid."""
        known, ended = [], []
        for row in (await self.tables.rows(TABLE)).rows:
            entry = self._decode_crash(row) if SEPARATOR in row.key else self._decode(row)
            if entry is None or entry.age > CRASH_RETENTION_SECONDS:
                ended.append(Write(TABLE, "", row.key, None))
            else:
                known.append(entry)
        if ended:
            await self.tables.transact([], ended[:MAX_WRITES])
        return known

    async def add_crashes(self, crashes: Sequence[StoredCrash]) -> None:
        """Add crashes of a request that is not blocked."""
        writes = [
            Write(TABLE, "", crash_key(crash), self._encode_time(crash.age)) for crash in crashes
        ]
        await self.tables.transact([], writes[:MAX_WRITES])

    async def add(self, fingerprint: str, age: float) -> None:
        """Add a request that was blocked `age` seconds ago, unless it is there."""
        try:
            await self._write(fingerprint, 0, self.clock.wall() - age, 0)
        except ConditionFailed:
            return  # Another VM has added it.

    async def remove(self, fingerprint: str, crashes: Sequence[StoredCrash]) -> None:
        """Remove a request that was answered, and its crashes."""
        keys = [fingerprint, *map(crash_key, crashes)]
        writes = [Write(TABLE, "", key, None) for key in keys]
        await self.tables.transact([], writes[:MAX_WRITES])

    async def take_trial(self, fingerprint: str, known: int) -> tuple[bool, int]:
        """Take a trial of a blocked request if the fleet has taken `known` ones so far.

        Returns:
            Whether it was taken, and the number of trials that were taken, this one included.
        """
        row = await self._row(fingerprint)
        block = None if row is None else self._decode(row)
        taken = 0 if block is None else block.trials
        if taken != known:
            return False, taken
        age = 0.0 if block is None else block.age
        version = 0 if row is None else row.version
        await self._write(fingerprint, version, self.clock.wall() - age, taken + 1)
        return True, taken + 1

    async def _row(self, fingerprint: str) -> StoredRow | None:
        rows = (await self.tables.rows(TABLE, start=fingerprint, limit=1)).rows
        return rows[0] if rows and rows[0].key == fingerprint else None

    async def _write(self, fingerprint: str, version: int, blocked_at: float, trials: int) -> None:
        value = json.dumps({"blocked_at": blocked_at, "trials": trials}).encode()
        condition = Condition(TABLE, "", fingerprint, version)
        await self.tables.transact([condition], [Write(TABLE, "", fingerprint, value)])

    def _encode_time(self, age: float) -> bytes:
        return json.dumps({"at": self.clock.wall() - age}).encode()

    def _decode_crash(self, row: StoredRow) -> StoredCrash | None:
        """Return the crash of a row, None if the row is invalid."""
        fingerprint, _, upstream = row.key.partition(SEPARATOR)
        try:
            fields = as_object(parse_json(row.value or b""), "the row")
            at = as_number(fields.get("at"), "at", 0.0, MAX_TIME)
        except BadEntry:
            return None
        return StoredCrash(fingerprint, upstream, max(0.0, self.clock.wall() - at))

    def _decode(self, row: StoredRow) -> StoredBlock | None:
        """Return the block of a row, None if the row is invalid."""
        try:
            fields = as_object(parse_json(row.value or b""), "the row")
            blocked_at = as_number(fields.get("blocked_at"), "blocked_at", 0.0, MAX_TIME)
            trials = as_integer(fields.get("trials"), "trials", 0, MAX_TRIAL_COUNT)
        except BadEntry:
            return None
        return StoredBlock(row.key, max(0.0, self.clock.wall() - blocked_at), trials)


def crash_key(crash: StoredCrash) -> str:
    """Return the key of the row of a crash."""
    return f"{crash.fingerprint}{SEPARATOR}{crash.upstream}"
