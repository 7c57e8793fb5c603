"""A change of the fleet's configuration, as operators make it and as VMs send it to each other."""

from typing import Any, Self

import msgspec
from expression import Error, Ok, Result

from .problem import Problem

FORMAT_VERSION = 1
"""Format of encoded changes and documents; counted up when older daemons cannot read it."""


class SetEntry(msgspec.Struct, frozen=True, array_like=True, tag="s"):
    """Makes an entry or replaces all its options; what is not among them takes its default."""

    kind: str
    name: str
    options: dict[str, str]


class RemoveEntry(msgspec.Struct, frozen=True, array_like=True, tag="r"):
    """Removes an entry; fine only if nothing refers to it afterwards."""

    kind: str
    name: str


AnyEntry = SetEntry | RemoveEntry


class Change(msgspec.Struct, frozen=True, array_like=True):
    """Entries to set and to remove, all together or none."""

    entries: list[AnyEntry] = []
    format: int = FORMAT_VERSION

    def __bool__(self) -> bool:
        return bool(self.entries)

    def encode(self) -> bytes:
        """Return the change as MessagePack."""
        return ENCODER.encode(self)

    @classmethod
    def decode(cls, data: bytes, source: str = "change") -> Result[Self, list[Problem]]:
        """Read what `encode` wrote, also by a newer release of the same format."""
        return decode_record(CHANGE_DECODER, data, source)


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """A whole document as it is stored: what made it, and one `SetEntry` for each entry."""

    version: int
    author: str
    at: float
    entries: list[SetEntry]
    format: int = FORMAT_VERSION


def decode_record(
    decoder: msgspec.msgpack.Decoder, data: bytes, source: str
) -> Result[Any, list[Problem]]:
    """Decode MessagePack of a known format."""
    try:
        record = decoder.decode(data)
    except (msgspec.DecodeError, RecursionError) as error:
        wrong = f"it cannot be decoded ({error})"
        return Error([Problem(source, "", "", wrong, "have a daemon of this release write it")])
    if record.format > FORMAT_VERSION:
        wrong = f"it has format {record.format}, and this release reads up to {FORMAT_VERSION}"
        return Error([Problem(source, "", "", wrong, "replace this daemon by a newer release")])
    return Ok(record)


ENCODER = msgspec.msgpack.Encoder()
CHANGE_DECODER = msgspec.msgpack.Decoder(Change)
SNAPSHOT_DECODER = msgspec.msgpack.Decoder(Snapshot)
