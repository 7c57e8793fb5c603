"""Checks of a request's head that h11 does not make: anything that two parsers read differently.

h11 joins folded lines, merges equal Content-Length fields and lets Transfer-Encoding win over
Content-Length. An intermediary must refuse these (RFC 9112, 5.2 and 6.3), so they are looked for in
the bytes as they came.
"""

import re

import h11

from ..codec import CONTENT_LENGTH, FRAMING, HEAD_END, Head, head_size
from ..headers import OWN
from .refusals import bad_request

DROPPED = FRAMING | OWN
LENGTHS = re.compile(rb"\ncontent-length:([^\n]*)", re.IGNORECASE)


def request_head(event: h11.Request, raw: bytes, max_head: int) -> Head:
    """Return the checked head of a request.

    Args:
        event: The request as h11 parsed it.
        raw: The bytes it was parsed from; they may go on after the head.
        max_head: Most bytes that the head may have.

    Raises:
        Refusal: The head is too large or its framing is ambiguous.
    """
    if len(raw) > max_head and head_size(raw) > max_head:
        raise bad_request(f"The head has more than {max_head} bytes. Send fewer headers.", 431)
    if (b"\n " in raw or b"\n\t" in raw) and _is_folded(raw):
        raise bad_request("A header is folded over two lines. Write it on one.")
    head = Head(event, DROPPED)
    if head.length is not None:
        _check_length(head, raw)
    if event.method == b"CONNECT":
        raise bad_request("CONNECT is not served here. Use another method.", 501)
    return head


def _check_length(head: Head, raw: bytes) -> None:
    if head.chunked:
        raise bad_request("Content-Length and Transfer-Encoding are both given. Send one.")
    lengths = LENGTHS.findall(_head_of(raw))
    if len(lengths) != 1 or b"," in lengths[0]:
        raise bad_request(f"{CONTENT_LENGTH.decode()} is given more than once. Send one.")


def _is_folded(raw: bytes) -> bool:
    head = _head_of(raw)
    return b"\n " in head or b"\n\t" in head


def _head_of(raw: bytes) -> bytes:
    match = HEAD_END.search(raw)
    return raw[: match.end()] if match else raw
