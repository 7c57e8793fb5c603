"""Finds the service and the rule of a request with precompiled patterns."""

import posixpath
import re
from collections.abc import Iterable
from urllib.parse import unquote_to_bytes

from .rule import Rule
from .service import Service

MAX_CACHED_HOSTS = 4096
"""Number of hosts whose patterns are cached; the cache is cleared when it is full."""

MAX_CACHED_HOST_BYTES = 255
"""Maximum length of a host name in the cache."""

PrefixTable = dict[bytes, Service]


def normalize_path(target: bytes | str) -> bytes:
    """Return the normalized path of a request target, to which rules apply.

    The query and a trailing slash are removed, percent-encoding is decoded, empty and dot segments
    are resolved, so that all spellings of a path match the same rule.
    """
    path = target.encode("utf-8", "surrogateescape") if isinstance(target, str) else target
    if b"?" in path:
        path = path.partition(b"?")[0]
    if b"#" in path:
        path = path.partition(b"#")[0]
    if is_normalized(path):
        return path
    path = unquote_to_bytes(path)
    if not path.startswith(b"/"):
        return path
    return b"/" + posixpath.normpath(path).lstrip(b"/")


def is_normalized(path: bytes) -> bool:
    """Return True if a path without a query needs no normalization.

    Substring searches are faster here than a regular expression.
    """
    return not (b"%" in path or b"//" in path or b"/." in path or path.endswith(b"/"))


def normalize_host(host: bytes | str) -> str:
    """Return the name in a `Host` header in lower case, without port and trailing dot."""
    text = host.decode("latin-1") if isinstance(host, bytes) else host
    name, colon, port = text.rpartition(":")
    if colon and port.isdigit():
        text = name
    return text.lower().rstrip(".")


class HostTable:
    """Lookup of services by host and path prefix.

    An exact host is tried first, then `*.` patterns, then `*`; for each, the longest prefix wins.
    """

    __slots__ = ("tables", "lengths", "pattern_cache")

    def __init__(self, services: Iterable[Service]):
        self.tables: dict[str, PrefixTable] = {}
        for service in services:
            prefix = service.path_prefix.rstrip("/").encode()
            for host in service.hosts or ("*",):
                self.tables.setdefault(host, {})[prefix] = service
        self.lengths = {
            host: sorted({len(prefix) for prefix in table}, reverse=True)
            for host, table in self.tables.items()
        }
        self.pattern_cache: dict[bytes | str, list[str]] = {}

    def find(self, host: bytes | str, target: bytes | str) -> Service | None:
        """Return the service of a request, or None."""
        return self.find_path(host, normalize_path(target))

    def find_path(self, host: bytes | str, path: bytes) -> Service | None:
        """Return the service of a request by its normalized path, or None."""
        patterns = self.pattern_cache.get(host)
        if patterns is None:
            patterns = self.cache_patterns(host)
        for pattern in patterns:
            table = self.tables[pattern]
            for length in self.lengths[pattern]:
                service = table.get(path[:length])
                if service is not None and path[length : length + 1] in (b"/", b""):
                    return service
        return None

    def cache_patterns(self, host: bytes | str) -> list[str]:
        """Return the patterns that match `host`, most specific first, and cache them."""
        name = normalize_host(host)
        labels = name.split(".")
        wildcards = ["*." + ".".join(labels[i:]) for i in range(1, min(len(labels), 32))]
        patterns = [p for p in (name, *wildcards, "*") if p in self.tables]
        if len(host) <= MAX_CACHED_HOST_BYTES:
            if len(self.pattern_cache) >= MAX_CACHED_HOSTS:
                self.pattern_cache.clear()
            self.pattern_cache[host] = patterns
        return patterns


class RuleTable:
    """Lookup of the rules of one service.

    Each method has one regular expression with a group for each rule, in the order of the rules, so
    that one match finds the first rule that applies.
    """

    __slots__ = ("rules", "unmatched", "by_method")

    def __init__(self, service: str, rules: Iterable[Rule]):
        self.rules = sorted(rules, key=lambda rule: (rule.order, rule.name))
        self.unmatched = Rule.unmatched(service)
        named = {method for rule in self.rules for method in rule.methods}
        self.by_method = {method: self.compile(method) for method in [*named, ""]}
        self.by_method.update({m.encode(): entry for m, entry in self.by_method.items() if m})

    def compile(self, method: str) -> tuple[re.Pattern[bytes], list[Rule]] | None:
        """Return the expression for `method` and its rules in the order of the groups."""
        rules = [rule for rule in self.rules if not rule.methods or method in rule.methods]
        if not rules:
            return None
        groups = b"|".join(b"(" + glob_to_regex(rule.path) + b")" for rule in rules)
        return re.compile(groups, re.DOTALL), rules

    def find(self, method: bytes | str, target: bytes | str) -> Rule:
        """Return the first rule that matches a request, else `Rule.unmatched`."""
        return self.find_path(method, normalize_path(target))

    def find_path(self, method: bytes | str, path: bytes) -> Rule:
        """Return the first rule that matches a normalized path, else `Rule.unmatched`."""
        entry = self.by_method.get(method, self.by_method[""])
        if entry is None:
            return self.unmatched
        pattern, rules = entry
        match = pattern.fullmatch(path)
        if match is None:
            return self.unmatched
        return rules[match.lastindex - 1]


def glob_to_regex(glob: str) -> bytes:
    """Return a path pattern as a regular expression without capturing groups."""
    parts = []
    for segment in glob.split("/")[1:]:
        if segment == "**":
            parts.append(b"(?:/.*)?")
            continue
        text = rb"[^/]*".join(re.escape(part.encode()) for part in segment.split("*"))
        parts.append(b"/" + text)
    return b"".join(parts)


def covers(earlier: Rule, later: Rule) -> bool:
    """Return True if `earlier` provably matches all that `later` matches; False may be wrong."""
    if earlier.methods and not (later.methods and set(later.methods) <= set(earlier.methods)):
        return False
    if earlier.path in ("/**", later.path):
        return True
    # "*" in the later pattern is any text without a slash, replaced here by a character that only
    # a wildcard matches; "**" is zero or more segments, tried with zero, one and two.
    if "**" in later.path and not earlier.path.endswith("/**"):
        return False
    pattern = re.compile(glob_to_regex(earlier.path), re.DOTALL)
    return all(
        pattern.fullmatch(later.path.replace("/**", segments).replace("*", "\n").encode())
        for segments in ("", "/\n", "/\n/\n")
    )
