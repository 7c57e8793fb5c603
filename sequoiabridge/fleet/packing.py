"""Large changes: only their version is spread; who can't read the table fetches them compressed.

An older daemon does not know the field of a compressed change: to it, only the version came, and
it reads the table.
"""

from bz2 import BZ2Decompressor, compress

from .base import ConfigurationItem

MAX_CHANGE_BYTES = 12_000
"""Bytes of the largest change that is spread, and of the largest that is kept compressed."""
COMPRESSION_LEVEL = 1
"""Of bz2: blocks of 100 kB, which hold most changes, and little memory."""
MAX_UNPACKED_BYTES = 4_000_000
"""Bytes of the largest change that is taken out of a compressed one."""


def pack_change(item: ConfigurationItem) -> ConfigurationItem:
    """Return an item as it is kept: whole, compressed, or only its version if that is too large."""
    if len(item.change) <= MAX_CHANGE_BYTES:
        return item
    compressed = compress(item.change, COMPRESSION_LEVEL)
    return ConfigurationItem(
        item.version, b"", compressed if len(compressed) <= MAX_CHANGE_BYTES else b""
    )


def to_announcement(item: ConfigurationItem) -> ConfigurationItem:
    """Return a kept item as it is spread: only the version of one that is compressed."""
    return ConfigurationItem(item.version, b"") if item.packed else item


def has_change(item: ConfigurationItem) -> bool:
    """Return True if an item has more than its version."""
    return bool(item.change or item.packed)


def unpack_change(item: ConfigurationItem) -> bytes:
    """Return the encoded change, b"" if only the version is spread or it can't be read."""
    if not item.packed:
        return item.change
    decompressor = BZ2Decompressor()
    try:
        change = decompressor.decompress(item.packed, MAX_UNPACKED_BYTES)
    except OSError:
        return b""
    return change if decompressor.eof else b""
