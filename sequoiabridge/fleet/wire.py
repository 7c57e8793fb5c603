"""The wire format between daemons: typed, versioned, size-limited, authenticated messages.

A frame is one byte of format version, a truncated HMAC-SHA256 and the message in MessagePack. The
HMAC also covers the receiver's address, which is not sent: a message recorded on its way to one
VM is worthless at another. Structs are arrays on the wire; a newer daemon may append fields.
"""

import hashlib
import hmac
from collections.abc import Sequence
from enum import Enum, IntEnum

import msgspec
from expression import Error, Ok, Result

from ..exceptions import ConfigurationError
from .base import AnyItem, Item, Urgency

WIRE_VERSION = 1
MAC_BYTES = 16
"""Bytes of the HMAC that are kept; half of SHA-256, the shortest length that RFC 2104 advises."""
HEADER_BYTES = 1 + MAC_BYTES
PACKET_BYTES = 1_200
"""Bytes up to which a frame is filled, so that it fits one TCP segment."""
MAX_FRAME_BYTES = 16_384
"""Bytes of the largest frame; only a single large configuration change comes near it."""
MAX_KEYS = 2
MIN_KEY_BYTES = 16
"""Bytes of the shortest key that is accepted."""


class Kind(IntEnum):
    """What a message asks for or answers."""

    PING = 0
    ACK = 1
    PING_REQUEST = 2
    """Ping the VM at `target` for me."""
    INDIRECT_ACK = 3
    """The VM at `target` answered me."""
    GOSSIP = 4
    """Carries updates and items; wants no answer."""
    DIGEST = 5
    """Compare your state with `digest` and send what differs."""
    STATE = 6
    """What differs; with a `digest`, the receiver sends its part back."""
    FETCH = 7
    """Send the configuration changes from version `number` up to and with `until`."""
    SNAPSHOT_REQUEST = 8
    """Send the whole configuration in force, from byte `number` on."""
    SNAPSHOT = 9
    """One `piece` of it."""


class DropReason(Enum):
    """Why a message was dropped."""

    TRUNCATED = "truncated"
    OVERSIZE = "oversize"
    UNKNOWN_VERSION = "unknown-version"
    MAC = "mac"
    MALFORMED = "malformed"
    REPLAYED = "replayed"
    STALE = "stale"
    UNKNOWN_KIND = "unknown-kind"
    UNKNOWN_ITEM = "unknown-item"


class Update(msgspec.Struct, array_like=True, frozen=True):
    """What the sender believes of a VM; `state` is a `MemberState`."""

    name: str
    address: str
    data_centre: str
    incarnation: int
    state: int


class Parcel(msgspec.Struct, array_like=True, frozen=True):
    """An encoded item, the VM that published it, and its age in milliseconds when sent."""

    item: msgspec.Raw
    origin: str
    age_ms: int = 0


class Piece(msgspec.Struct, array_like=True, frozen=True):
    """A part of a compressed configuration; `checksum` is the CRC-32 of the whole."""

    version: int
    offset: int
    total: int
    checksum: int
    data: bytes


class Message(msgspec.Struct, array_like=True):
    """One message; `to_incarnation` is the receiver's as its sender knows it, 0 if it does not.

    Attributes:
        sequence: Counts up with each message of the sending process.
        version: The configuration version in force at the sender.
        number: Number of the ping that this is, answers or asks for.
        retry: True if the last ping to this receiver went unanswered.
    """

    kind: int
    sender: str
    address: str
    data_centre: str
    incarnation: int
    sequence: int
    to_incarnation: int
    version: int = 0
    number: int = 0
    target: str = ""
    until: int = 0
    retry: bool = False
    updates: list[Update] = []
    parcels: list[Parcel] = []
    digest: list[int] = []
    piece: Piece | None = None


def parse_keys(text: str) -> list[bytes]:
    """Return the keys of a setting: one, or two separated by white space while keys are changed."""
    keys = [word.encode() for word in text.split()]
    check_keys(keys)
    return keys


def check_keys(keys: Sequence[bytes]) -> None:
    """Raise `ConfigurationError` unless there are one or two keys of a safe length."""
    if not 1 <= len(keys) <= MAX_KEYS:
        raise ConfigurationError(
            f"[fleet] key: give one key, or two while changing it: {len(keys)}"
        )
    if any(len(key) < MIN_KEY_BYTES for key in keys):
        raise ConfigurationError(
            f"[fleet] key: a key is too short; use {MIN_KEY_BYTES} bytes or more"
        )


class Codec:
    """Encodes and checks frames under the fleet's keys.

    The first key signs; any of them is accepted. To change keys, add the new one second on every
    VM, then put it first on every VM, then drop the old one.
    """

    __slots__ = ("keys", "address", "encoder", "decoder", "item_decoder")

    def __init__(self, keys: Sequence[bytes], address: str):
        check_keys(keys)
        self.keys = list(keys)
        self.address = address
        self.encoder = msgspec.msgpack.Encoder()
        self.decoder = msgspec.msgpack.Decoder(Message)
        self.item_decoder = msgspec.msgpack.Decoder(AnyItem)

    def encode(self, message: Message, to: str) -> bytes:
        """Return the frame of a message for the VM that listens on `to`."""
        body = self.encoder.encode(message)
        return bytes([WIRE_VERSION]) + sign(self.keys[0], to, body) + body

    def decode(self, frame: bytes) -> Result[Message, DropReason]:
        """Return the message of a frame, or why it must be dropped."""
        if len(frame) > MAX_FRAME_BYTES:
            return Error(DropReason.OVERSIZE)
        if len(frame) <= HEADER_BYTES:
            return Error(DropReason.TRUNCATED)
        if frame[0] != WIRE_VERSION:
            return Error(DropReason.UNKNOWN_VERSION)
        mac, body = frame[1:HEADER_BYTES], frame[HEADER_BYTES:]
        if not self._is_authentic(mac, body):
            return Error(DropReason.MAC)
        try:
            return Ok(self.decoder.decode(body))
        except msgspec.MsgspecError:
            return Error(DropReason.MALFORMED)

    def encode_item(self, item: Item) -> msgspec.Raw:
        """Return the encoding of an item, to be put into a `Parcel`."""
        return msgspec.Raw(self.encoder.encode(item))

    def decode_item(self, raw: msgspec.Raw) -> Result[AnyItem, DropReason]:
        """Return the item of a parcel; kinds that this version does not know are an error."""
        try:
            return Ok(self.item_decoder.decode(raw))
        except msgspec.MsgspecError:
            return Error(DropReason.UNKNOWN_ITEM)

    def _is_authentic(self, mac: bytes, body: bytes) -> bool:
        return any(hmac.compare_digest(mac, sign(k, self.address, body)) for k in self.keys)


def sign(key: bytes, to: str, body: bytes) -> bytes:
    """Return the truncated HMAC of a body meant for the VM that listens on `to`."""
    prefix = bytes([WIRE_VERSION]) + to.encode() + b"\0"
    return hmac.digest(key, prefix + body, hashlib.sha256)[:MAC_BYTES]


def urgency_of(item: Item) -> Urgency:
    """Return the urgency at which a daemon forwards an item of this kind."""
    return URGENCIES[type(item).__name__]


URGENCIES = {
    "ConfigurationItem": Urgency.CONFIGURATION,
    "DrainItem": Urgency.DRAIN,
    "CrashItem": Urgency.CRASH,
    "RetryItem": Urgency.RETRY,
    "LoadItem": Urgency.LOAD,
}
