"""Header lines as h11 reads them, remembered: most lines of a head have come before.

What h11 says of one line depends on nothing but its bytes. So a line that it has read is looked up
the next time, and only new ones are given to its expressions; see docs/design/hop-latency.md.
"""

from collections.abc import Iterator

from h11._headers import normalize_and_validate
from h11._readers import _decode_header_lines

from .header_fields import CONTENT_LENGTH, TRANSFER_ENCODING, Headers

MAX_CACHED_LINE_BYTES = 256
"""Bytes of a line that is worth remembering."""
MAX_LINES = 2048
"""Lines of one generation; two are kept, so that lines that come once push nothing out for long."""
FRAMING_FIELDS = frozenset({CONTENT_LENGTH, TRANSFER_ENCODING})
"""Fields that h11 also judges together, so that two of them need a look of its own."""
SENSITIVE = frozenset({b"authorization", b"proxy-authorization", b"cookie", b"set-cookie"})
"""Fields whose values are not kept longer than their call."""

ParsedField = tuple[bytes, bytes, bytes]
"""Name as it came, name in lower case, value."""


class ParsedHeaders(Headers):
    """Header fields that came from h11's parser; quicker to go through than h11's own class."""

    __slots__ = ()

    def __iter__(self) -> Iterator[tuple[bytes, bytes]]:
        return iter([(name, value) for _, name, value in self._full_items])


class HeaderCache:
    """What h11 made of the header lines that came lately; bounded."""

    __slots__ = ("recent", "previous")

    def __init__(self):
        self.recent: dict[bytes, ParsedField] = {}
        self.previous: dict[bytes, ParsedField] = {}

    def parse(self, lines: list[bytearray]) -> Headers:
        """Return the header fields of a head's lines, without its first line.

        Raises:
            h11.LocalProtocolError: They are malformed.
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
        """Return a line that is not young: remembered from the last generation, or read anew."""
        item = self.previous.get(line)
        if item is None:
            item = parse_lines([line])._full_items[0]
        if len(line) > MAX_CACHED_LINE_BYTES or item[1] in SENSITIVE:
            return item
        if len(self.recent) >= MAX_LINES:
            # `headers` holds on to the full one until its head is read, which does no harm.
            self.recent, self.previous = {}, self.recent
        self.recent[line] = item
        return item


def parse_lines(lines: list[bytearray] | list[bytes]) -> Headers:
    """Return the header fields as h11 reads them, folded lines joined."""
    return normalize_and_validate(list(_decode_header_lines(lines)), _parsed=True)
