"""Compression of large configuration changes.

Only the version of a large change is disseminated. A VM that cannot read the change from the
table fetches it compressed from a peer. Older daemons ignore the compressed field and read the
table.
"""

from bz2 import BZ2Decompressor, compress

from .base import ConfigurationItem

MAX_CHANGE_BYTES = 12_000
"""Maximum size of a change that is disseminated, and of a compressed change that is kept."""
COMPRESSION_LEVEL = 1
"""bz2 level: blocks of 100 kB, which hold most changes and use little memory."""
MAX_UNPACKED_BYTES = 4_000_000
"""Maximum size of a decompressed change."""


def pack_change(item: ConfigurationItem) -> ConfigurationItem:
    """Return an item as stored: with its change, compressed, or only its version if too large."""
    if len(item.change) <= MAX_CHANGE_BYTES:
        return item
    compressed = compress(item.change, COMPRESSION_LEVEL)
    return ConfigurationItem(
        item.version, b"", compressed if len(compressed) <= MAX_CHANGE_BYTES else b""
    )


def to_announcement(item: ConfigurationItem) -> ConfigurationItem:
    """Return a stored item as disseminated: without its change if that is compressed."""
    return ConfigurationItem(item.version, b"") if item.packed else item


def has_change(item: ConfigurationItem) -> bool:
    """Return True if an item contains its change, compressed or not."""
    return bool(item.change or item.packed)


def unpack_change(item: ConfigurationItem) -> bytes:
    """Return the encoded change, or b"" if the item has none or it cannot be decompressed."""
    if not item.packed:
        return item.change
    decompressor = BZ2Decompressor()
    try:
        change = decompressor.decompress(item.packed, MAX_UNPACKED_BYTES)
    except OSError:
        return b""
    return change if decompressor.eof else b""
