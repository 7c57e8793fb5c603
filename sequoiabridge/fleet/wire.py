"""Wire format of the messages between daemons.

A frame is one byte of format version, a truncated HMAC-SHA256 and the message in MessagePack. The
HMAC also covers the receiver's address, which is not sent, so that a recorded message cannot be
replayed to another VM. Structs are encoded as arrays; newer versions may append fields.
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
"""Length of the truncated HMAC: half of SHA-256, the minimum of RFC 2104."""
HEADER_BYTES = 1 + MAC_BYTES
PACKET_BYTES = 1_200
"""Size up to which frames are filled, to fit one TCP segment."""
MAX_FRAME_BYTES = 16_384
"""Maximum size of a frame, for example with a large configuration change."""
MAX_KEYS = 2
MIN_KEY_BYTES = 16
"""Minimum length of a key."""


class Kind(IntEnum):
    """Kind of a message."""

    PING = 0
    ACK = 1
    PING_REQUEST = 2
    """Requests a ping of the VM at `target` on behalf of the sender."""
    INDIRECT_ACK = 3
    """Answers `PING_REQUEST`: the VM at `target` answered."""
    GOSSIP = 4
    """Carries updates and items; needs no answer."""
    DIGEST = 5
    """Requests the state that differs from `digest`."""
    STATE = 6
    """Carries differing state; with a `digest`, requests the receiver's differing state."""
    FETCH = 7
    """Requests the configuration changes from version `number` to `until`, inclusive."""
    SNAPSHOT_REQUEST = 8
    """Requests a piece of the configuration in force, from byte `number`."""
    SNAPSHOT = 9
    """Answers `SNAPSHOT_REQUEST` with one `piece`."""


class DropReason(Enum):
    """Reason why a message or an item was dropped."""

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
    """State of a VM as known to the sender; `state` is a `MemberState`."""

    name: str
    address: str
    data_centre: str
    incarnation: int
    state: int


class Parcel(msgspec.Struct, array_like=True, frozen=True):
    """Encoded item with the VM that published it and its age when sent."""

    item: msgspec.Raw
    origin: str
    age_ms: int = 0


class Piece(msgspec.Struct, array_like=True, frozen=True):
    """Part of a compressed configuration; `checksum` is the CRC-32 of the whole."""

    version: int
    offset: int
    total: int
    checksum: int
    data: bytes


class Message(msgspec.Struct, array_like=True):
    """Message between daemons.

    Attributes:
        sequence: Sequence number, unique in the sending process.
        to_incarnation: Incarnation of the receiver as known to the sender, 0 if unknown.
        version: Configuration version in force at the sender.
        number: Number of the ping that is sent, answered or requested; first version or byte
            offset of other requests.
        target: Address (IP:port) of the VM of an indirect ping.
        until: Last version of a `FETCH`.
        retry: Whether the message retries on a new connection after an unanswered one.
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
    """Return the keys of the setting: one, or two separated by white space during key rotation."""
    keys = [word.encode() for word in text.split()]
    check_keys(keys)
    return keys


def check_keys(keys: Sequence[bytes]) -> None:
    """Raise `ConfigurationError` unless there are one or two keys of sufficient length."""
    if not 1 <= len(keys) <= MAX_KEYS:
        raise ConfigurationError(
            f"[fleet] key: set one key, or two during key rotation; found {len(keys)}"
        )
    if any(len(key) < MIN_KEY_BYTES for key in keys):
        raise ConfigurationError(
            f"[fleet] key: a key is too short; use {MIN_KEY_BYTES} bytes or more"
        )


class Codec:
    """Encodes, signs, verifies and decodes frames.

    The first key signs; any key is accepted. To rotate keys, add the new key second on every VM,
    then put it first on every VM, then remove the old key.
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
        """Return the signed frame of a message for the VM that listens on `to`."""
        body = self.encoder.encode(message)
        return bytes([WIRE_VERSION]) + sign(self.keys[0], to, body) + body

    def decode(self, frame: bytes) -> Result[Message, DropReason]:
        """Return the message of a frame, or the reason to drop it."""
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
        """Return the encoding of an item for a `Parcel`."""
        return msgspec.Raw(self.encoder.encode(item))

    def decode_item(self, raw: msgspec.Raw) -> Result[AnyItem, DropReason]:
        """Return the item of a `Parcel`; unknown kinds of item are an error."""
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
    """Return the urgency with which an item is forwarded."""
    return URGENCIES[type(item).__name__]


URGENCIES = {
    "ConfigurationItem": Urgency.CONFIGURATION,
    "DrainItem": Urgency.DRAIN,
    "CrashItem": Urgency.CRASH,
    "RetryItem": Urgency.RETRY,
    "LoadItem": Urgency.LOAD,
}
