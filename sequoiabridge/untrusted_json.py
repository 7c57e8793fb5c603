"""JSON that others wrote, read field by field: what is not of the expected type is refused.

Anybody may write to the platform's tables, and a datagram may come from anywhere. Each function
returns a value that the daemon can work with, or raises `BadEntry` with what is wrong.
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from math import isfinite
from socket import AF_INET, inet_pton

from .exceptions import BadEntry

MAX_PORT = 65535

MAX_SHOWN_CHARACTERS = 60
"""Characters of a value that errors show."""


def parse_json(data: bytes) -> object:
    """Return the value of a JSON text.

    Raises:
        BadEntry: It is none, or nested too deeply to be read.
    """
    try:
        return json.loads(data)
    except (ValueError, RecursionError) as error:
        raise BadEntry(
            f"it is no JSON that can be read ({type(error).__name__}: {error})"
        ) from None


def as_object(value: object, name: str) -> Mapping:
    """Return a JSON object; `name` says what it is in the error."""
    if not isinstance(value, dict):
        raise BadEntry(f"{name} is no object but {abbreviate(value)}")
    return value


def as_list(value: object, name: str) -> list:
    """Return a JSON list."""
    if not isinstance(value, list):
        raise BadEntry(f"{name} is no list but {abbreviate(value)}")
    return value


def as_text(value: object, name: str) -> str:
    """Return a text of printable characters, at least one; it may go into a header or a log."""
    if not isinstance(value, str) or not value or not value.isprintable():
        raise BadEntry(f"{name} is no printable text but {abbreviate(value)}")
    return value


def as_integer(value: object, name: str, minimum: int, maximum: int) -> int:
    """Return a whole number from `least` to `most`."""
    if type(value) is not int or not minimum <= value <= maximum:
        raise BadEntry(
            f"{name} is no whole number from {minimum} to {maximum} but {abbreviate(value)}"
        )
    return value


def as_number(value: object, name: str, minimum: float, maximum: float) -> float:
    """Return a finite number from `least` to `most`."""
    # Comparing comes before `isfinite`, which cannot take a very large whole number.
    fits = type(value) in (int, float) and minimum <= value <= maximum
    if not fits or not isfinite(value):
        raise BadEntry(
            f"{name} is no number from {minimum:g} to {maximum:g} but {abbreviate(value)}"
        )
    return float(value)


def as_address(value: object, name: str) -> str:
    """Return an "IP:port"; names are not looked up, since that would hold up all calls."""
    host, _, port = as_text(value, name).rpartition(":")
    try:
        inet_pton(AF_INET, host)
    except OSError:
        raise BadEntry(f"{name} names no IPv4 address: {abbreviate(value)}") from None
    if not (port.isascii() and port.isdecimal()) or not 0 < int(port[:6]) <= MAX_PORT:
        raise BadEntry(f"{name} names no port: {abbreviate(value)}")
    return value


def abbreviate(value: object) -> str:
    """Return the beginning of a value, for an error."""
    if isinstance(value, dict | list):
        return f"a {type(value).__name__}"
    return repr(value if not isinstance(value, str) else value[:MAX_SHOWN_CHARACTERS])[
        : MAX_SHOWN_CHARACTERS + 2
    ]
