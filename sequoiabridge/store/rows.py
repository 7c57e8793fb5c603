"""Rows of the platform's table service, as plain values."""

from __future__ import annotations

UNREADABLE = b""
"""Stands for a value whose bytes cannot be read; no reader of this package takes an empty value."""


class StoredRow:
    """One row; `value` is None for a row that was removed, `version` grows with each change."""

    __slots__ = ("table", "part", "key", "value", "version")

    def __init__(self, table: str, part: str, key: str, value: bytes | None, version: int):
        self.table = table
        self.part = part
        self.key = key
        self.value = value
        self.version = version


class Condition:
    """Holds if the row's version is `version`; 0 means that the row does not exist."""

    __slots__ = ("table", "part", "key", "version")

    def __init__(self, table: str, part: str, key: str, version: int):
        self.table = table
        self.part = part
        self.key = key
        self.version = version


class Write:
    """Sets a row to `value`, or removes it when `value` is None."""

    __slots__ = ("table", "part", "key", "value")

    def __init__(self, table: str, part: str, key: str, value: bytes | None):
        self.table = table
        self.part = part
        self.key = key
        self.value = value


class Rows:
    """Rows as of one moment; `version` is the store's newest at that moment."""

    __slots__ = ("rows", "version")

    def __init__(self, rows: list[StoredRow], version: int):
        self.rows = rows
        self.version = version


class Changes(Rows):
    """Rows that changed, in order; `version` is where to go on from."""

    __slots__ = ()
