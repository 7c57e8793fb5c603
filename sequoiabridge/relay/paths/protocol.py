"""The protocol by which a peer opens a connection to an upstream: HTTP's CONNECT with a token.

The request names the upstream's address and carries a token made with the fleet's key. After a
200, the connection carries the bytes to and from the upstream; any other status says why it was not
opened.
"""

from __future__ import annotations

from enum import IntEnum

import h11

AUTHORIZATION = b"authorization"
BEARER = b"Bearer "

MAX_HEAD_BYTES = 2048
"""Maximum size in bytes of the request's head, and of the answer's."""


class PeerStatus(IntEnum):
    """Status of the answer.

    Attributes:
        OPENED: The connection is open.
        MALFORMED: The bytes are no such request.
        FORBIDDEN: The token is wrong, or the address is that of no listed upstream.
        REFUSED: Nothing listens at the upstream's address.
        NO_PATH: The peer cannot help: it has no path itself, stops, or carries too many.
        TIMED_OUT: The upstream did not answer the peer.
    """

    OPENED = 200
    MALFORMED = 400
    FORBIDDEN = 403
    REFUSED = 502
    NO_PATH = 503
    TIMED_OUT = 504


def encode_request(address: str, token: str) -> bytes:
    """Return the request for a connection to `address` ("IP:port")."""
    headers = [("Host", address), ("Authorization", f"Bearer {token}")]
    request = h11.Request(method="CONNECT", target=address, headers=headers)
    return h11.Connection(h11.CLIENT).send(request)


def encode_answer(status: PeerStatus, message: str) -> bytes:
    """Return an answer; `message` says why no connection was opened, and what to do."""
    if status is PeerStatus.OPENED:
        return b"HTTP/1.1 200 Opened\r\n\r\n"
    body = message.encode() + b"\n"
    lines = [
        f"HTTP/1.1 {status.value} {status.name.replace('_', ' ').capitalize()}",
        "Content-Type: text/plain; charset=utf-8",
        f"Content-Length: {len(body)}",
        "Connection: close",
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body
