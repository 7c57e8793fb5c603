"""Checks of a request's framing that h11 does not make, against request smuggling.

h11 joins folded lines, merges equal Content-Length fields and prefers Transfer-Encoding to
Content-Length. An intermediary must refuse these (RFC 9112, 5.2 and 6.3), so the raw bytes of the
head are checked.
"""

import re

import h11

from ..header_fields import HTTP_11, PER_CONNECTION_FIELDS, MessageHead
from ..headers import RESERVED
from .refusals import bad_request

REMOVED_FIELDS = PER_CONNECTION_FIELDS | RESERVED
CONTENT_LENGTH_LINES = re.compile(rb"\ncontent-length:([^\n]*)", re.IGNORECASE)


def validate_head(event: h11.Request, raw: bytes) -> MessageHead:
    """Return the validated head of a request that h11 parsed from the bytes `raw`.

    Raises:
        Refusal: The framing is ambiguous or the method is not supported.
    """
    if b"\n " in raw or b"\n\t" in raw:
        raise bad_request("A header is folded over two lines. Write it on one.")
    head = MessageHead(event, REMOVED_FIELDS)
    if head.length is not None:
        _validate_length(head, raw)
    if head.chunked and event.http_version != HTTP_11:
        raise bad_request("HTTP/1.0 knows no Transfer-Encoding. Send a Content-Length.")
    if event.method == b"CONNECT":
        raise bad_request("CONNECT is not served here. Use another method.", 501)
    return head


def _validate_length(head: MessageHead, raw: bytes) -> None:
    if head.chunked:
        raise bad_request("Content-Length and Transfer-Encoding are both given. Send one.")
    lengths = CONTENT_LENGTH_LINES.findall(raw)
    if len(lengths) != 1 or b"," in lengths[0]:
        raise bad_request("Content-Length is given more than once. Send one.")
