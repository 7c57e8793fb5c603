"""Rows, conditions and writes of the platform's table service, as `tables.Tables` uses them."""

from __future__ import annotations

UNREADABLE = b""
"""Placeholder for a value that cannot be decoded. No decoder of this package accepts it."""


class StoredRow:
    """One row. `value` is None if the row was removed; `version` grows with each change."""

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
    """Rows as of one moment. `version` is the store's newest version at that moment."""

    __slots__ = ("rows", "version")

    def __init__(self, rows: list[StoredRow], version: int):
        self.rows = rows
        self.version = version


class Changes(Rows):
    """Rows that changed, in order. `version` is the version to read further changes after."""

    __slots__ = ()
