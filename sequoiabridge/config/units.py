"""Types of options for durations, sizes, addresses, and host and path patterns."""

import ipaddress
import re
from typing import Any

from .fields import REQUIRED, Bounded, Field, InvalidValue

DURATION = re.compile(r"([0-9]{1,9}(?:\.[0-9]{1,9})?)\s*(ms|s|m|h)")
SIZE = re.compile(r"([0-9]{1,15})\s*(B|KB|MB|GB|TB)?", re.IGNORECASE)

DURATION_DECIMALS = 9
"""Digits of a duration after the decimal point; durations are rounded to nanoseconds."""

SECONDS = {"s": 1, "m": 60, "h": 3600}
BYTES = {"TB": 1000**4, "GB": 1000**3, "MB": 1000**2, "KB": 1000, "B": 1}

HOST = re.compile(r"(\*\.)?[A-Za-z0-9_-]+(\.[A-Za-z0-9_-]+)*|\[[0-9A-Fa-f:]+\]")

MAX_PORT = 65535

MAX_HOST_LENGTH = 253
"""Maximum number of characters in a host name (RFC 1035)."""


class Duration(Bounded):
    """A duration such as `250ms`, `3s` or `5m`; seconds as a float at run time."""

    maximum = 86400.0

    @property
    def expected(self) -> str:
        minimum, maximum = self.format(self.minimum), self.format(self.maximum)
        return f"a duration from {minimum} to {maximum}, such as 250ms, 3s or 5m"

    def parse(self, text: str) -> float:
        match = DURATION.fullmatch(text)
        if not match:
            raise self.invalid(text)
        number, unit = float(match[1]), match[2]
        seconds = number / 1000 if unit == "ms" else number * SECONDS[unit]
        return self.check_bounds(round(seconds, DURATION_DECIMALS), text)

    def format(self, value: float) -> str:
        if value and value % 3600 == 0:
            return f"{int(value / 3600)}h"
        if value and value % 60 == 0:
            return f"{int(value / 60)}m"
        if value == int(value):
            return f"{int(value)}s"
        thousandths = round(value * 1000)
        if thousandths / 1000 == value:
            return f"{thousandths}ms"
        return f"{value:.{DURATION_DECIMALS}f}".rstrip("0").rstrip(".") + "s"


class Size(Bounded):
    """A size such as `64KB` or `10MB` (1 KB = 1,000 bytes); bytes as an int at run time."""

    maximum = 10**12

    @property
    def expected(self) -> str:
        minimum, maximum = self.format(self.minimum), self.format(self.maximum)
        return f"a size from {minimum} to {maximum}, such as 64KB or 10MB"

    def parse(self, text: str) -> int:
        match = SIZE.fullmatch(text)
        if not match:
            raise self.invalid(text)
        return self.check_bounds(int(match[1]) * BYTES[(match[2] or "B").upper()], text)

    def format(self, value: int) -> str:
        for unit, size in BYTES.items():
            if value >= size and value % size == 0:
                return f"{value // size}{unit}"
        return f"{value}B"


class Address(Field):
    """`IP:port`, or `[IP]:port` for IPv6, without host names; a str at run time.

    Args:
        listen: Whether the daemon listens there; if so, port 0 (any free port) is allowed.
    """

    expected = "an IP address and a port, such as 10.0.0.5:8080 or [fd00::5]:8080"

    def __init__(self, help: str, default: Any = REQUIRED, *, listen: bool = False):
        super().__init__(help, default)
        self.listen = listen

    def parse(self, text: str) -> str:
        try:
            ip, port = split_address(text)
        except ValueError:
            raise self.invalid(text) from None
        if port == 0 and not self.listen:
            raise InvalidValue("port 0 is not valid here", f"write {self.expected}")
        return join_address(ip, port)


class HostPattern(Field):
    """A host name without a port, or `*.` and a name for all subdomains; in lower case."""

    expected = "a host name such as a.example.org, or *.example.org for all subdomains"

    def parse(self, text: str) -> str:
        if len(text) > MAX_HOST_LENGTH or not HOST.fullmatch(text):
            raise self.invalid(text)
        return text.lower()


class PathPrefix(Field):
    """A path prefix of whole segments: `/a` matches `/a` and `/a/b`, not `/ab`."""

    expected = "a path such as / or /reports, without ?, * or trailing slash"

    def parse(self, text: str) -> str:
        if text == "/":
            return text
        if not re.fullmatch(r"(/[A-Za-z0-9._~!$&'()+,;=:@%-]+)+", text):
            raise self.invalid(text)
        return text


class PathGlob(Field):
    """A path pattern: `*` is any text inside a segment, `**` any number of whole segments.

    At most one `**`, and one `*` per segment, bound the time of matching.
    """

    expected = "a path such as /a/*/b or /a/**, with at most one ** and one * per segment"

    def parse(self, text: str) -> str:
        if not re.fullmatch(r"/[A-Za-z0-9._~!$&'()+,;=:@%*/-]*", text) or "//" in text:
            raise self.invalid(text)
        if text.endswith("/") and text != "/":
            raise self.invalid(text)
        segments = text.split("/")
        wildcards = segments.count("**")
        if wildcards > 1 or any(part.count("*") > 1 and part != "**" for part in segments):
            raise self.invalid(text)
        return text


def split_address(text: str) -> tuple[str, int]:
    """Return IP address and port of `IP:port`; raise `ValueError` if it is not valid."""
    host, colon, port = text.rpartition(":")
    if not colon or not re.fullmatch(r"[0-9]{1,5}", port) or int(port) > MAX_PORT:
        raise ValueError(f"{text!r} is not IP:port")
    bracketed = host.startswith("[") and host.endswith("]")
    ip = ipaddress.ip_address(host[1:-1] if bracketed else host)
    if (ip.version == 6) != bracketed:
        raise ValueError(f"{text!r} is not IP:port")
    return str(ip), int(port)


def join_address(ip: str, port: int) -> str:
    """Return `IP:port`, with brackets around an IPv6 address."""
    return f"[{ip}]:{port}" if ":" in ip else f"{ip}:{port}"
