"""The platform's table of requests that crash upstreams, which outlives all daemons.

A blocked request has a row with the time of the block and the number of trials that were taken. A
trial is taken by a conditional write, so that the whole fleet takes no more than intended. A
request that has crashed two upstreams or more has a row for each of them, so that a fleet whose
daemons have all started again weighs the same evidence.
"""

from __future__ import annotations

import json
from collections.abc import Iterable, Sequence

from ..exceptions import BadEntry, ConditionFailed
from ..policy.crashes import CRASH_RETENTION_SECONDS
from ..store.rows import Condition, StoredRow, Write
from ..store.tables import Tables
from ..timers import Clock
from ..untrusted_json import as_integer, as_number, as_object, parse_json

TABLE = "crashing_requests"

SEPARATOR = "/"
"""Stands between fingerprint and upstream in the key of a crash."""

AFTER_SEPARATOR = chr(ord(SEPARATOR) + 1)
"""Ends the range of the keys of a request and its crashes."""

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
        trial_age: Seconds since the latest one, 0 if the row does not tell.
    """

    __slots__ = ("fingerprint", "age", "trials", "trial_age")

    def __init__(self, fingerprint: str, age: float, trials: int, trial_age: float):
        self.fingerprint = fingerprint
        self.age = age
        self.trials = trials
        self.trial_age = trial_age


class StoredCrash:
    """A crash in the table.

    Attributes:
        fingerprint: Fingerprint of the request.
        upstream: Name of the lifetime of the upstream.
        age: Seconds since the crash.
        answered_age: Seconds since the latest answered run was sent, None if none is known.
    """

    __slots__ = ("fingerprint", "upstream", "age", "answered_age")

    def __init__(self, fingerprint: str, upstream: str, age: float, answered_age: float | None):
        self.fingerprint = fingerprint
        self.upstream = upstream
        self.age = age
        self.answered_age = answered_age


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
        """Add crashes of a request to those that are stored."""
        writes = [
            Write(TABLE, "", crash_key(one.fingerprint, one.upstream), self._encode_crash(one))
            for one in crashes
        ]
        if writes:
            await self.tables.transact([], writes[:MAX_WRITES])

    async def withdraw_crashes(
        self, fingerprint: str, upstreams: Iterable[str], ends_block: bool
    ) -> None:
        """Remove the crashes of some upstreams, and the block of the request if it has ended."""
        keys = [crash_key(fingerprint, upstream) for upstream in upstreams]
        keys += [fingerprint] if ends_block else []
        await self.tables.transact([], [Write(TABLE, "", key, None) for key in keys[:MAX_WRITES]])

    async def add(self, fingerprint: str, age: float) -> None:
        """Add a request that was blocked `age` seconds ago, unless it is there."""
        try:
            await self._write(fingerprint, 0, self.clock.wall() - age, 0)
        except ConditionFailed:
            return  # Another VM has added it.

    async def remove(self, fingerprint: str) -> None:
        """Remove a request that is not blocked any more, and its crashes."""
        writes = [Write(TABLE, "", key, None) for key in await self._keys(fingerprint)]
        if writes:
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

    async def _keys(self, fingerprint: str) -> list[str]:
        """Return the keys of the rows of a request and of its crashes."""
        end = fingerprint + AFTER_SEPARATOR
        return [row.key for row in (await self.tables.rows(TABLE, start=fingerprint, end=end)).rows]

    async def _row(self, fingerprint: str) -> StoredRow | None:
        rows = (await self.tables.rows(TABLE, start=fingerprint, limit=1)).rows
        return rows[0] if rows and rows[0].key == fingerprint else None

    async def _write(self, fingerprint: str, version: int, blocked_at: float, trials: int) -> None:
        fields = {"blocked_at": blocked_at, "trials": trials}
        if trials:
            fields["tried_at"] = self.clock.wall()
        value = json.dumps(fields).encode()
        condition = Condition(TABLE, "", fingerprint, version)
        await self.tables.transact([condition], [Write(TABLE, "", fingerprint, value)])

    def _encode_crash(self, crash: StoredCrash) -> bytes:
        now = self.clock.wall()
        fields = {"at": now - crash.age}
        if crash.answered_age is not None:
            fields["answered_at"] = now - crash.answered_age
        return json.dumps(fields).encode()

    def _decode_crash(self, row: StoredRow) -> StoredCrash | None:
        """Return the crash of a row, None if the row is invalid."""
        fingerprint, _, upstream = row.key.partition(SEPARATOR)
        try:
            fields = as_object(parse_json(row.value or b""), "the row")
            age = self._age(fields.get("at"), "at")
            answered_at = fields.get("answered_at")
            answered_age = None if answered_at is None else self._age(answered_at, "answered_at")
        except BadEntry:
            return None
        return StoredCrash(fingerprint, upstream, age, answered_age)

    def _age(self, value: object, name: str) -> float:
        """Return the seconds since a Unix time in a row."""
        return max(0.0, self.clock.wall() - as_number(value, name, 0.0, MAX_TIME))

    def _decode(self, row: StoredRow) -> StoredBlock | None:
        """Return the block of a row, None if the row is invalid."""
        try:
            fields = as_object(parse_json(row.value or b""), "the row")
            age = self._age(fields.get("blocked_at"), "blocked_at")
            trials = as_integer(fields.get("trials"), "trials", 0, MAX_TRIAL_COUNT)
            tried_at = fields.get("tried_at")
            trial_age = 0.0 if tried_at is None else self._age(tried_at, "tried_at")
        except BadEntry:
            return None
        return StoredBlock(row.key, age, trials, trial_age)


def crash_key(fingerprint: str, upstream: str) -> str:
    """Return the key of the row of a crash."""
    return f"{fingerprint}{SEPARATOR}{upstream}"
