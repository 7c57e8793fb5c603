"""Transfers the whole configuration document between VMs.

A new VM that cannot read the table, or a VM that missed more changes than its peers keep, requests
the compressed document from one peer in pieces. Pieces count as configuration in the sender's byte
bucket. A checksum over the whole document detects pieces of different versions.
"""

from collections.abc import Callable
from random import Random
from zlib import compress, crc32, decompress
from zlib import error as zlib_error

from ..logs import get_log
from .base import Urgency
from .bucket import TRANSPORT_OVERHEAD
from .membership import Membership
from .pinger import message_to, reply_to
from .sender import EMPTY_MESSAGE_BYTES, Sender
from .version_tracker import VersionTracker
from .wire import Kind, Message, Piece

log = get_log("fleet")

PIECE_SIZE = 1_000
"""Maximum bytes of the compressed document in one message."""
REQUEST_TIMEOUT = 0.6
"""Seconds after which a piece is requested again from the same VM, whose byte bucket may have been
empty."""
PROVIDER_TIMEOUT = 5.0
"""Seconds without progress after which the transfer restarts with a VM chosen anew."""
MAX_RECEIVERS = 2
"""Maximum number of VMs that receive the document from this one at the same time."""
RECEIVER_TIMEOUT = 2.0
"""Seconds without a request after which a VM no longer counts as a receiver."""
MAX_COMPRESSED_SIZE = 16_000_000
"""Maximum size of a compressed document that is accepted, in bytes."""

Provider = Callable[[], tuple[int, bytes]]
Consumer = Callable[[int, bytes], None]


class SnapshotExchange:
    """Sends and receives whole configuration documents.

    Attributes:
        provider: Returns the version in force and its encoded document; None before it is set.
        consumer: Called with the version and the encoded document received from a peer.
        provided: Version and compressed document that is being sent to other VMs.
        receivers: Time of the last request of each VM that receives the document.
        source: Name of the VM from which the document is being received, or "".
    """

    def __init__(
        self,
        membership: Membership,
        version_tracker: VersionTracker,
        sender: Sender,
        random: Random,
    ):
        self.membership = membership
        self.version_tracker = version_tracker
        self.sender = sender
        self.random = random
        self.provider: Provider | None = None
        self.consumer: Consumer | None = None
        self.provided: tuple[int, bytes] = (0, b"")
        self.receivers: dict[str, float] = {}
        self.source = ""
        self.pieces: list[Piece] = []
        self.requested_at = self.progress_at = float("-inf")

    def tick(self, now: float) -> None:
        """Start a transfer, or request the next piece again after a timeout."""
        if self.consumer is None or not self.version_tracker.wants_snapshot(now):
            self._reset()
            return
        if now - self.requested_at < REQUEST_TIMEOUT:
            return
        if self.source and now - self.progress_at < PROVIDER_TIMEOUT:
            self._request_piece(now)
            return
        self._reset()
        first = self.version_tracker.in_force + 1
        candidates = [m for m in self.membership.live() if m.version >= first]
        if candidates:
            self.source, self.progress_at = self.random.choice(candidates).name, now
            self._request_piece(now)

    def handle_message(self, message: Message, now: float) -> None:
        """Answer a request for a piece, or process a received piece."""
        if message.kind == Kind.SNAPSHOT_REQUEST:
            self._send_piece(message, now)
        elif message.kind == Kind.SNAPSHOT and message.piece is not None:
            self._add_piece(message.sender, message.piece, now)

    def _request_piece(self, now: float) -> None:
        member = self.membership.roster.get(self.source)
        if member is None:
            return
        self.requested_at = now
        offset = sum(len(piece.data) for piece in self.pieces)
        self.sender.send(message_to(member, Kind.SNAPSHOT_REQUEST, offset), now)

    def _send_piece(self, request: Message, now: float) -> None:
        if self.provider is None or not self._may_receive(request.sender, now):
            return
        room = self.sender.bucket.room(Urgency.CONFIGURATION)
        if room < PIECE_SIZE + EMPTY_MESSAGE_BYTES + TRANSPORT_OVERHEAD:
            return  # The requester retries.
        if request.number == 0 and self.provided[0] != self.version_tracker.in_force:
            version, document = self.provider()
            self.provided = (version, compress(document))
        version, data = self.provided
        chunk = data[request.number : request.number + PIECE_SIZE]
        outgoing = reply_to(request, Kind.SNAPSHOT)
        message = self.sender.message(outgoing)
        message.piece = Piece(version, request.number, len(data), crc32(data), chunk)
        self.sender.send(outgoing, now, message)

    def _may_receive(self, name: str, now: float) -> bool:
        """Return True if a VM is among the receivers, or there are fewer than `MAX_RECEIVERS`."""
        self.receivers = {n: at for n, at in self.receivers.items() if now - at < RECEIVER_TIMEOUT}
        if name not in self.receivers and len(self.receivers) >= MAX_RECEIVERS:
            return False
        self.receivers[name] = now
        return True

    def _add_piece(self, name: str, piece: Piece, now: float) -> None:
        offset = sum(len(chunk.data) for chunk in self.pieces)
        if name != self.source or piece.offset != offset or piece.total > MAX_COMPRESSED_SIZE:
            return
        if not piece.data or (self.pieces and piece.checksum != self.pieces[0].checksum):
            self._reset()
            return
        self.pieces.append(piece)
        self.progress_at = now
        if offset + len(piece.data) < piece.total:
            self._request_piece(now)
            return
        data = b"".join(chunk.data for chunk in self.pieces)
        self._reset()
        self._finish(name, piece, data)

    def _finish(self, name: str, piece: Piece, data: bytes) -> None:
        if crc32(data) != piece.checksum or piece.version <= self.version_tracker.in_force:
            return
        try:
            document = decompress(data)
        except zlib_error:
            log.warning("cannot decompress the configuration from VM %s; requesting it again", name)
            return
        log.info("received configuration version %d from VM %s", piece.version, name)
        self.consumer(piece.version, document)

    def _reset(self) -> None:
        self.source, self.pieces = "", []
        self.requested_at = float("-inf")
