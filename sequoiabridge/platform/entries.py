"""Checks and decodes the entries of the platform's list of upstreams."""

from __future__ import annotations

from collections.abc import Mapping

from ..balancing.upstream import UpstreamRecord
from ..exceptions import BadEntry
from ..store.rows import StoredRow
from ..untrusted_json import as_address, as_integer, as_number, as_object, as_text, parse_json

READY, DRAINING = "ready", "draining"
STATES = (READY, DRAINING)

MAX_SLOTS = 100_000
"""Maximum number of slots in an entry; an upstream with too many would get all calls."""

MAX_COLD_SECONDS = 3600.0
"""Maximum seconds in an entry for which an upstream is slow after its start."""

MAX_JSON_INTEGER = 2**53
"""Largest integer that all JSON implementations represent exactly."""


def decode_upstream_record(row: StoredRow) -> UpstreamRecord:
    """Return the upstream of a row.

    Raises:
        BadEntry: The entry is not valid.
    """
    if not row.key.isascii():
        raise BadEntry("its key has characters that a header cannot carry")
    entry = as_object(parse_json(row.value or b""), "the entry")
    info = as_object(entry.get("info"), "info")
    status = as_object(entry.get("status"), "status")
    # The number of the upstream's own changes to its entry; checked, but not used.
    as_integer(status.get("sequence"), "sequence", 0, MAX_JSON_INTEGER)
    return UpstreamRecord(
        id=as_text(row.key, "its key"),
        service=as_text(info.get("service"), "service"),
        address=as_address(entry.get("address"), "address"),
        data_centre=as_text(info.get("zone"), "zone"),
        slots=as_integer(info.get("slots"), "slots", 1, MAX_SLOTS),
        draining=_decode_state(status) == DRAINING,
        cold_seconds=as_number(
            status.get("cold_remaining_s"), "cold_remaining_s", 0.0, MAX_COLD_SECONDS
        ),
        version=as_text(info.get("version"), "version"),
        born=_decode_born(entry),
    )


def _decode_state(status: Mapping) -> str:
    state = status.get("state")
    if state not in STATES:
        raise BadEntry(f"its state is not one of {', '.join(STATES)}")
    return state


def _decode_born(entry: Mapping) -> int | None:
    """Return the Unix time of the upstream's start in milliseconds, or None if not set."""
    if "born" not in entry:
        return None
    return as_integer(entry["born"], "born", 0, MAX_JSON_INTEGER)
