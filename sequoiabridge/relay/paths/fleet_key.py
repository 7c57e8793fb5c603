"""The key by which the fleet's daemons recognize each other; it lies in the platform's store.

The key itself is never sent to a peer, only a token made with it.
"""

from __future__ import annotations

import hmac
import re
import secrets

import curio

from ...exceptions import BadEntry, ConditionFailed, StoreUnavailable
from ...store.rows import Condition, Write
from ...store.tables import Tables
from ...timers import Clock
from ..decisions import DecisionLog

TABLE, KEY = "peer_access", "key"
KEY_BYTES = 16
RETRY_SECONDS = 1.0
"""Seconds before a failed attempt to read the key is repeated."""

INVALID_RETRY_SECONDS = 30.0
"""Seconds before a row that holds no key is read again."""

MAX_START_DELAY = 3.0
"""Maximum seconds that a daemon waits on the first start of the whole fleet, so that most daemons
find the key that one of them has written."""

MIN_RELOAD_SECONDS = 5.0
"""Minimum seconds between two times at which the key is read again since it did not match."""


class FleetKey:
    """The key, once it has been read.

    Attributes:
        value: The key; "" before it is known.
        loaded_at: Time at which it was last read, in seconds on the daemon's clock.
    """

    def __init__(self, tables: Tables, decisions: DecisionLog, clock: Clock):
        self.tables = tables
        self.decisions = decisions
        self.clock = clock
        self.value = ""
        self.loaded_at = float("-inf")

    def token(self, peer: str, upstream: str) -> str:
        """Return what proves to a peer that a daemon of the fleet asks for an upstream.

        It is worth nothing at another peer, so that one which only passes for a peer gains nothing.

        Args:
            peer, upstream: Their "IP:port".
        """
        message = f"{peer} {upstream}".encode()
        return hmac.new(self.value.encode(), message, "sha256").hexdigest()

    def matches(self, token: str, peer: str, upstream: str) -> bool:
        """Return whether a token that was presented to `peer` is that of a daemon of the fleet."""
        expected = self.token(peer, upstream).encode()
        return bool(self.value) and hmac.compare_digest(token.encode(), expected)

    async def load(self, delay: float = 0.0) -> None:
        """Read the key after `delay` seconds, and create it if there is none; retry on failure."""
        await curio.sleep(delay)
        while True:
            try:
                self.value = await self._read() or await self._create()
                self.loaded_at = self.clock.now()
                return
            except StoreUnavailable as error:
                self.decisions.event("fleet-key-unknown", why=str(error))
                await curio.sleep(RETRY_SECONDS)
            except BadEntry as error:
                self.decisions.event("fleet-key-invalid", why=str(error))
                await curio.sleep(INVALID_RETRY_SECONDS)

    async def reload(self) -> None:
        """Read the key again since it did not match that of a peer, unless it was just read."""
        if self.clock.now() - self.loaded_at < MIN_RELOAD_SECONDS:
            return
        self.loaded_at = self.clock.now()
        await self.load()

    async def _read(self) -> str:
        """Return the key in the store, "" if there is none.

        Raises:
            BadEntry: The row holds no key.
        """
        rows = (await self.tables.rows(TABLE, start=KEY, limit=1)).rows
        if not rows:
            return ""
        key = (rows[0].value or b"").decode("latin-1")
        if not re.fullmatch("[0-9a-f]+", key):
            raise BadEntry(f"The row {KEY} of {TABLE} is no hexadecimal key. Remove the row.", KEY)
        return key

    async def _create(self) -> str:
        """Write a new key unless another daemon has written one; return the one in force."""
        key = secrets.token_hex(KEY_BYTES)
        try:
            condition = Condition(TABLE, "", KEY, 0)
            await self.tables.transact([condition], [Write(TABLE, "", KEY, key.encode())])
        except ConditionFailed:
            return await self._read()
        return key
