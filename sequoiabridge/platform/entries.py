"""An upstream's entry in the platform's list: checked field by field, then decoded."""

from __future__ import annotations

from collections.abc import Mapping

from ..balancing.upstream import UpstreamRecord
from ..exceptions import BadEntry
from ..store.rows import StoredRow
from ..untrusted_json import as_address, as_integer, as_number, as_object, as_text, parse_json

READY, DRAINING = "ready", "draining"
STATES = (READY, DRAINING)

MAX_SLOTS = 100_000
"""Requests at a time that an upstream may claim to run; the users' run 2 to 8. One that claims more
than any server has would draw all calls."""

MAX_COLD_SECONDS = 3600.0
"""Seconds for which an upstream may claim to be slow after its start; the users' are for 3."""

MAX_JSON_INTEGER = 2**53
"""Largest whole number that all writers of JSON carry exactly: a Unix millisecond or a count."""


def decode_upstream_record(row: StoredRow) -> UpstreamRecord:
    """Return what a row of the platform's list says.

    Raises:
        BadEntry: It names no upstream that can be used.
    """
    if not row.key.isascii():
        raise BadEntry("its key is no id that a header can carry")
    entry = as_object(parse_json(row.value or b""), "the entry")
    info = as_object(entry.get("info"), "info")
    status = as_object(entry.get("status"), "status")
    # It counts the entry's own changes; only an upstream itself writes it.
    as_integer(status.get("sequence"), "sequence", 0, MAX_JSON_INTEGER)
    return UpstreamRecord(
        id=as_text(row.key, "its key"),
        service=as_text(info.get("service"), "service"),
        address=as_address(entry.get("address"), "address"),
        data_centre=as_text(info.get("zone"), "zone"),
        slots=as_integer(info.get("slots"), "slots", 1, MAX_SLOTS),
        draining=_decode_state(status) == DRAINING,
        cold_seconds=as_number(
            status.get("cold_remaining_s"), "its cold time", 0.0, MAX_COLD_SECONDS
        ),
        version=as_text(info.get("version"), "version"),
        born=_decode_born(entry),
    )


def _decode_state(status: Mapping) -> str:
    state = status.get("state")
    if state not in STATES:
        raise BadEntry(f"its state is none of {', '.join(STATES)}")
    return state


def _decode_born(entry: Mapping) -> int | None:
    """Return the Unix millisecond of its start, None where the platform does not tell it."""
    if "born" not in entry:
        return None
    return as_integer(entry["born"], "born", 0, MAX_JSON_INTEGER)
