"""Large changes on the wire: compressed, and of the largest only the version.

An older daemon does not know the field of a compressed change: to it, the change is one of which
only the version is spread, and it reads the table.
"""

from zlib import compress, decompressobj
from zlib import error as zlib_error

from .base import ConfigurationItem

MAX_CHANGE = 12_000
"""Bytes of the largest change that is spread, compressed if it is larger as it is."""
MAX_UNPACKED = 4_000_000
"""Bytes of the largest change that is taken out of a compressed one."""


def packed(item: ConfigurationItem) -> ConfigurationItem:
    """Return an item as it is spread: whole, compressed, or empty if it is too large for both."""
    if len(item.change) <= MAX_CHANGE:
        return item
    small = compress(item.change)
    return ConfigurationItem(item.version, b"", small if len(small) <= MAX_CHANGE else b"")


def change_of(item: ConfigurationItem) -> bytes:
    """Return the encoded change, b"" if only the version is spread or it can't be read."""
    if not item.packed:
        return item.change
    reader = decompressobj()
    try:
        change = reader.decompress(item.packed, MAX_UNPACKED)
    except zlib_error:
        return b""
    return change if reader.eof else b""
