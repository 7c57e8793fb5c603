"""Checks JSON values from untrusted sources, such as the platform's tables and datagrams.

Each function returns a value of the expected type or raises `BadEntry`. The parameter `name`
describes the value in error messages.
"""

from __future__ import annotations

import json
import re
from collections.abc import Mapping
from math import isfinite
from socket import AF_INET, inet_pton

from .exceptions import BadEntry

MAX_PORT = 65535

PORT = re.compile("[1-9][0-9]{0,4}")
"""A port as everybody writes it; `int` alone would take leading zeros and other digits."""

MAX_SHOWN_CHARACTERS = 60
"""Maximum number of characters of a value in an error message."""


def parse_json(data: bytes) -> object:
    """Return the value of a JSON text.

    Raises:
        BadEntry: The text is not valid JSON or is nested too deeply.
    """
    try:
        return json.loads(data)
    except (ValueError, RecursionError) as error:
        raise BadEntry(f"invalid JSON ({type(error).__name__}: {error})") from None


def as_object(value: object, name: str) -> Mapping:
    """Return `value` if it is a JSON object."""
    if not isinstance(value, dict):
        raise BadEntry(f"{name} must be an object, not {abbreviate(value)}")
    return value


def as_list(value: object, name: str) -> list:
    """Return `value` if it is a JSON list."""
    if not isinstance(value, list):
        raise BadEntry(f"{name} must be a list, not {abbreviate(value)}")
    return value


def as_text(value: object, name: str) -> str:
    """Return `value` if it is a non-empty string of printable characters."""
    if not isinstance(value, str) or not value or not value.isprintable():
        raise BadEntry(f"{name} must be printable text, not {abbreviate(value)}")
    return value


def as_integer(value: object, name: str, minimum: int, maximum: int) -> int:
    """Return `value` if it is an integer from `minimum` to `maximum`."""
    if type(value) is not int or not minimum <= value <= maximum:
        raise BadEntry(
            f"{name} must be an integer from {minimum} to {maximum}, not {abbreviate(value)}"
        )
    return value


def as_number(value: object, name: str, minimum: float, maximum: float) -> float:
    """Return `value` as a float if it is a finite number from `minimum` to `maximum`."""
    # Compare before `isfinite`, which raises OverflowError for a very large integer.
    fits = type(value) in (int, float) and minimum <= value <= maximum
    if not fits or not isfinite(value):
        raise BadEntry(
            f"{name} must be a number from {minimum:g} to {maximum:g}, not {abbreviate(value)}"
        )
    return float(value)


def as_address(value: object, name: str) -> str:
    """Return `value` if it is "IP:port" with an IPv4 address; host names are not resolved."""
    host, _, port = as_text(value, name).rpartition(":")
    try:
        inet_pton(AF_INET, host)
    except OSError:
        raise BadEntry(f"{name} has no valid IPv4 address: {abbreviate(value)}") from None
    if PORT.fullmatch(port) is None or int(port) > MAX_PORT:
        raise BadEntry(f"{name} has no valid port: {abbreviate(value)}")
    return value


def abbreviate(value: object) -> str:
    """Return a shortened representation of a value for an error message."""
    if isinstance(value, dict | list):
        return f"a {type(value).__name__}"
    return repr(value if not isinstance(value, str) else value[:MAX_SHOWN_CHARACTERS])[
        : MAX_SHOWN_CHARACTERS + 2
    ]
