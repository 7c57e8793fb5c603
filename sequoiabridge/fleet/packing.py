"""Large changes: only their version is spread; who can't read the table fetches them compressed.

An older daemon does not know the field of a compressed change: to it, only the version came, and
it reads the table.
"""

from bz2 import BZ2Decompressor, compress

from .base import ConfigurationItem

MAX_CHANGE = 12_000
"""Bytes of the largest change that is spread, and of the largest that is kept compressed."""
LEVEL = 1
"""Of bz2: blocks of 100 kB, which hold most changes, and little memory."""
MAX_UNPACKED = 4_000_000
"""Bytes of the largest change that is taken out of a compressed one."""


def packed(item: ConfigurationItem) -> ConfigurationItem:
    """Return an item as it is kept: whole, compressed, or only its version if that is too large."""
    if len(item.change) <= MAX_CHANGE:
        return item
    small = compress(item.change, LEVEL)
    return ConfigurationItem(item.version, b"", small if len(small) <= MAX_CHANGE else b"")


def announced(item: ConfigurationItem) -> ConfigurationItem:
    """Return a kept item as it is spread: only the version of one that is compressed."""
    return ConfigurationItem(item.version, b"") if item.packed else item


def has_change(item: ConfigurationItem) -> bool:
    """Return True if an item has more than its version."""
    return bool(item.change or item.packed)


def change_of(item: ConfigurationItem) -> bytes:
    """Return the encoded change, b"" if only the version is spread or it can't be read."""
    if not item.packed:
        return item.change
    reader = BZ2Decompressor()
    try:
        change = reader.decompress(item.packed, MAX_UNPACKED)
    except OSError:
        return b""
    return change if reader.eof else b""
