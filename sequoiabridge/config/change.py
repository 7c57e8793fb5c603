"""Changes and snapshots of the fleet's configuration, and their MessagePack encoding."""

from typing import Any, Self

import msgspec
from expression import Error, Ok, Result

from .problem import Problem

FORMAT_VERSION = 1
"""Version of the encoding; increased when older daemons cannot decode it."""


class SetEntry(msgspec.Struct, frozen=True, array_like=True, tag="s"):
    """Creates an entry or replaces all its options; omitted options take their defaults."""

    kind: str
    name: str
    options: dict[str, str]


class RemoveEntry(msgspec.Struct, frozen=True, array_like=True, tag="r"):
    """Removes an entry; valid only if no remaining entry refers to it."""

    kind: str
    name: str


AnyEntry = SetEntry | RemoveEntry


class Change(msgspec.Struct, frozen=True, array_like=True):
    """Entries to set and to remove, applied atomically."""

    entries: list[AnyEntry] = []
    format: int = FORMAT_VERSION

    def __bool__(self) -> bool:
        return bool(self.entries)

    def encode(self) -> bytes:
        """Return the change as MessagePack."""
        return ENCODER.encode(self)

    @classmethod
    def decode(cls, data: bytes, source: str = "change") -> Result[Self, list[Problem]]:
        """Decode what `encode` wrote, also in a newer release with the same format version."""
        return decode_record(CHANGE_DECODER, data, source)


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """A whole document as it is stored: version, author, time and one `SetEntry` for each entry."""

    version: int
    author: str
    at: float
    entries: list[SetEntry]
    format: int = FORMAT_VERSION


def decode_record(
    decoder: msgspec.msgpack.Decoder, data: bytes, source: str
) -> Result[Any, list[Problem]]:
    """Decode MessagePack and check its format version."""
    try:
        record = decoder.decode(data)
    except (msgspec.DecodeError, RecursionError) as error:
        wrong = f"it cannot be decoded ({error})"
        return Error(
            [Problem(source, "", "", wrong, "write it again with a daemon of this release")]
        )
    if record.format > FORMAT_VERSION:
        wrong = (
            f"its format version is {record.format}; this release supports up to {FORMAT_VERSION}"
        )
        return Error([Problem(source, "", "", wrong, "upgrade this daemon to a newer release")])
    return Ok(record)


ENCODER = msgspec.msgpack.Encoder()
CHANGE_DECODER = msgspec.msgpack.Decoder(Change)
SNAPSHOT_DECODER = msgspec.msgpack.Decoder(Snapshot)
