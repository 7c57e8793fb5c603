"""Caches header lines that h11 has parsed, since most lines repeat from message to message.

The result of parsing a line depends only on its bytes. Heads with folded lines, or with several
headers in `FRAMING_FIELDS`, are parsed by h11 as a whole.
"""

from collections.abc import Iterator

from h11._headers import normalize_and_validate
from h11._readers import _decode_header_lines

from .header_fields import CONTENT_LENGTH, TRANSFER_ENCODING, Headers

MAX_CACHED_LINE_BYTES = 256
"""Maximum size of a cached line."""
MAX_LINES = 2048
"""Maximum number of lines in each of the two generations of the cache."""
FRAMING_FIELDS = frozenset({CONTENT_LENGTH, TRANSFER_ENCODING})
"""Headers that h11 also checks against each other if a head has more than one of them."""
SENSITIVE = frozenset({b"authorization", b"proxy-authorization", b"cookie", b"set-cookie"})
"""Headers that are never cached because their values are secrets."""

ParsedField = tuple[bytes, bytes, bytes]
"""Name as received, name in lower case, value."""


class ParsedHeaders(Headers):
    """Header fields from h11's parser; faster to iterate than h11's own class."""

    __slots__ = ()

    def __iter__(self) -> Iterator[tuple[bytes, bytes]]:
        return iter([(name, value) for _, name, value in self._full_items])


class HeaderCache:
    """Bounded cache of parsed header lines.

    When `recent` is full it becomes `previous`, and the lines of the former `previous` that have
    not been used since are dropped.
    """

    __slots__ = ("recent", "previous")

    def __init__(self):
        self.recent: dict[bytes, ParsedField] = {}
        self.previous: dict[bytes, ParsedField] = {}

    def parse(self, lines: list[bytearray]) -> Headers:
        """Return the header fields of a head's lines, given without the first line.

        Raises:
            h11.LocalProtocolError: The lines are malformed.
        """
        items, framing_count, recent = [], 0, self.recent
        for line in map(bytes, lines):
            item = recent.get(line)
            if item is None:
                if line[:1] in b" \t":
                    return parse_lines(lines)
                item = self._lookup(line)
            if item[1] in FRAMING_FIELDS:
                framing_count += 1
            items.append(item)
        return parse_lines(lines) if framing_count > 1 else ParsedHeaders(items)

    def _lookup(self, line: bytes) -> ParsedField:
        """Return the field of a line that is not in `recent`, parsing it if necessary."""
        item = self.previous.get(line)
        if item is None:
            item = parse_lines([line])._full_items[0]
        if len(line) > MAX_CACHED_LINE_BYTES or item[1] in SENSITIVE:
            return item
        if len(self.recent) >= MAX_LINES:
            # A running `parse` goes on with the full dictionary, which stays valid.
            self.recent, self.previous = {}, self.recent
        self.recent[line] = item
        return item


def parse_lines(lines: list[bytearray] | list[bytes]) -> Headers:
    """Parse header lines with h11, joining folded lines."""
    return normalize_and_validate(list(_decode_header_lines(lines)), _parsed=True)
