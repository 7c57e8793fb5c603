"""Reads feeds from peers and serves this daemon's feeds to them."""

from __future__ import annotations

import json
import zlib
from collections import OrderedDict

import curio

from ..exceptions import BadEntry, StoreUnavailable, UpstreamFailed
from ..store.rows import Changes, Rows, StoredRow
from ..timers import Clock
from ..untrusted_json import as_integer, as_list, as_object, parse_json
from ..upstreams.connections import ConnectorLimits, HttpConnector
from ..upstreams.fetch import fetch
from .follower import Follower
from .message_codec import MAX_VERSION

FEEDS_PATH = b"/feeds/"
"""Path prefix on the operators' port under which peers read each feed by its name."""

READ_TIMEOUT = 1.0
"""Seconds that reading a feed from a peer may take. 16 daemons that read a configuration of 1,680
routes (16 KB compressed) from one VM on a link of 5 Mbit/s take 0.4 s together."""

COMPRESSION_LEVEL = 3
"""Level of zlib compression. 294 KB of routes become 15 KB in 4 ms; 19 KB at level 1, 14 KB at
level 6."""

MAX_CACHED_RESPONSES = 8
"""Maximum number of encoded responses that are kept. Peers ask for the same few after each
change."""

MAX_RESPONSE_BYTES = 2 * 1024 * 1024
"""Maximum size in bytes of a peer's compressed response."""

MAX_ROWS_BYTES = 16 * 1024 * 1024
"""Maximum size in bytes of the rows in it; 5,600 upstreams and 1,680 routes have 2 MB."""

OK = 200


class PeerReader:
    """Reads feeds from peers.

    Attributes:
        own_address: "IP:port" at which peers read this daemon's feeds.
    """

    def __init__(self, own_address: str, clock: Clock):
        self.own_address = own_address
        self.connector = HttpConnector(clock, ConnectorLimits(idle_timeout=5.0))

    async def read(self, address: str, feed: str, after: int | None) -> Rows:
        """Return a peer's rows of a feed.

        These are `Changes` after a version, or all `Rows` if none is given or the peer's history is
        too short.

        Raises:
            StoreUnavailable: The peer gave no valid answer.
        """
        target = FEEDS_PATH + feed.encode()
        if after is not None:
            target += b"/%d" % after
        try:
            async with curio.timeout_after(READ_TIMEOUT):
                found = await fetch(
                    self.connector,
                    address,
                    b"GET",
                    target,
                    READ_TIMEOUT,
                    max_body=MAX_RESPONSE_BYTES,
                )
        except (UpstreamFailed, curio.TaskTimeout) as error:
            raise StoreUnavailable(f"Peer {address} did not answer: {error!r}.") from error
        if found.status != OK:
            raise StoreUnavailable(
                f"Peer {address} does not serve the feed {feed} (status {found.status})."
            )
        return decode_rows(found.body)


class FeedResponses:
    """Encoded responses to peers that read this daemon's feeds.

    Args:
        followers: Followers of the feeds, by the feed's name.

    Attributes:
        cache: The latest encoded responses, by feed, requested version and present version.
    """

    def __init__(self, followers: dict[str, Follower]):
        self.followers = followers
        self.cache: OrderedDict[tuple[str, int | None, int], bytes] = OrderedDict()

    def answer(self, name: str, after: int | None) -> bytes | None:
        """Return a feed's changes after a version, or all rows; None before the first read."""
        follower = self.followers.get(name)
        if follower is None or follower.version is None:
            return None
        key = (name, after, follower.version)
        data = self.cache.get(key)
        if data is None:
            data = self.cache[key] = encode_rows(follower.rows_after(after))
            if len(self.cache) > MAX_CACHED_RESPONSES:
                self.cache.popitem(last=False)
        return data


def encode_rows(rows: Rows) -> bytes:
    """Return rows as compressed JSON."""
    listed = [
        [row.table, row.part, row.key, encode_value(row.value), row.version] for row in rows.rows
    ]
    whole = not isinstance(rows, Changes)
    document = {"version": rows.version, "whole": whole, "rows": listed}
    return zlib.compress(json.dumps(document).encode(), COMPRESSION_LEVEL)


def encode_value(value: bytes | None) -> str | None:
    """Return a row's value as text, None for a removed row."""
    return None if value is None else value.decode("latin-1")


def decode_rows(data: bytes) -> Rows:
    """Return the rows of a peer's response.

    Raises:
        StoreUnavailable: The response is invalid.
    """
    try:
        found = as_object(parse_json(decompress(data)), "the answer")
        rows = [_decode_row(as_list(row, "a row")) for row in as_list(found.get("rows"), "rows")]
        version = as_integer(found.get("version"), "version", 0, MAX_VERSION)
    except (BadEntry, zlib.error) as error:
        raise StoreUnavailable(f"Invalid rows from a peer: {error}.") from error
    kind = Rows if found.get("whole") is True else Changes
    return kind(rows, version)


def decompress(data: bytes) -> bytes:
    """Return decompressed rows.

    Raises:
        BadEntry: They are cut off or too long.
        zlib.error: They are invalid.
    """
    decompressor = zlib.decompressobj()
    rows = decompressor.decompress(data, MAX_ROWS_BYTES)
    if not decompressor.eof:
        raise BadEntry(f"the rows are cut off or have more than {MAX_ROWS_BYTES} bytes")
    return rows


def _decode_row(fields: list) -> StoredRow:
    if len(fields) != len(StoredRow.__slots__):
        raise BadEntry(f"a row has {len(fields)} fields")
    table, part, key, value, version = fields
    if not all(isinstance(name, str) for name in (table, part, key)):
        raise BadEntry("a row's table, part or key is no string")
    if value is not None and not (isinstance(value, str) and is_latin1(value)):
        raise BadEntry("a row's value is not Latin-1 text")
    data = None if value is None else value.encode("latin-1")
    return StoredRow(table, part, key, data, as_integer(version, "version", 0, MAX_VERSION))


def is_latin1(text: str) -> bool:
    """Return whether each character of a text stands for one byte."""
    return all(ord(character) < 256 for character in text)
