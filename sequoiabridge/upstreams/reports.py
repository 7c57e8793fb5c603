"""Parses the headers in which upstreams report their load and incarnation."""

import re

from ..policy.base import LoadReport

MAX_REPORT_BYTES = 64
"""Maximum length of a load report in bytes."""
MAX_DIGITS = 19
"""Maximum number of digits; enough for an incarnation that is a time in nanoseconds."""
MS_PER_SECOND = 1000.0
COMMON_FORM = re.compile(rb"in_flight=(\d{1,18});slots=(\d{1,18});age_ms=(\d{1,18})")
"""The usual form of a load report, parsed quickly; other valid forms are parsed by field."""


def parse_load(value: bytes) -> LoadReport | None:
    """Return the load report in `in_flight=N;slots=N;age_ms=N`, or None if it is invalid.

    The age is optional, and unknown fields are ignored.
    """
    if len(value) > MAX_REPORT_BYTES:
        return None
    match = COMMON_FORM.fullmatch(value)
    if match is not None:
        in_flight, slots, age = map(int, match.groups())
        return LoadReport(in_flight, slots, age / MS_PER_SECOND) if slots else None
    fields: dict[bytes, int] = {}
    for part in value.split(b";"):
        name, _, number = part.partition(b"=")
        count = _parse_number(number)
        if count is not None:
            fields[name.strip()] = count
    in_flight, slots = fields.get(b"in_flight"), fields.get(b"slots")
    if in_flight is None or not slots:
        return None
    return LoadReport(in_flight, slots, fields.get(b"age_ms", 0) / MS_PER_SECOND)


def parse_incarnation(value: bytes) -> int | None:
    """Return the incarnation of an upstream, or None if it is invalid."""
    return _parse_number(value)


def _parse_number(text: bytes) -> int | None:
    text = text.strip()
    if not text.isdigit() or len(text) > MAX_DIGITS:
        return None
    return int(text)
