"""The platform's table of blocked requests, which outlives all daemons.

A row has the time of the block and the number of trials that were taken. A trial is taken by a
conditional write, so that the whole fleet takes no more than intended.
"""

from __future__ import annotations

import json

from ..exceptions import BadEntry, ConditionFailed
from ..policy.crashes import CRASH_RETENTION_SECONDS
from ..store.rows import Condition, StoredRow, Write
from ..store.tables import Tables
from ..timers import Clock
from ..untrusted_json import as_integer, as_number, as_object, parse_json

TABLE = "blocked_requests"

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


class BlockTable:
    """Reads and writes the table; all methods raise `StoreUnavailable`.

    Args:
        clock: Its wall clock dates the rows.
    """

    def __init__(self, tables: Tables, clock: Clock):
        self.tables = tables
        self.clock = clock

    async def load(self) -> list[StoredBlock]:
        """Return all blocks, and remove the rows of those that have ended or are invalid."""
        blocks, ended = [], []
        for row in (await self.tables.rows(TABLE)).rows:
            block = self._decode(row)
            if block is None or block.age > CRASH_RETENTION_SECONDS:
                ended.append(Write(TABLE, "", row.key, None))
            else:
                blocks.append(block)
        if ended:
            await self.tables.transact([], ended)
        return blocks

    async def add(self, fingerprint: str, age: float) -> None:
        """Add a request that was blocked `age` seconds ago, unless it is there."""
        try:
            await self._write(fingerprint, 0, self.clock.wall() - age, 0)
        except ConditionFailed:
            return  # Another VM has added it.

    async def remove(self, fingerprint: str) -> None:
        """Remove a request whose block has ended."""
        await self.tables.transact([], [Write(TABLE, "", fingerprint, None)])

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

    def _decode(self, row: StoredRow) -> StoredBlock | None:
        """Return the block of a row, None if the row is invalid."""
        try:
            fields = as_object(parse_json(row.value or b""), "the row")
            blocked_at = as_number(fields.get("blocked_at"), "blocked_at", 0.0, MAX_TIME)
            trials = as_integer(fields.get("trials"), "trials", 0, MAX_TRIAL_COUNT)
        except BadEntry:
            return None
        return StoredBlock(row.key, max(0.0, self.clock.wall() - blocked_at), trials)
