"""The kinds of entries of a document, and what refers to what."""

from .pool import Pool
from .rule import Rule
from .section import Section
from .service import Service
from .upstream import Upstream

KINDS: dict[str, type[Section]] = {kind.heading: kind for kind in (Service, Pool, Upstream, Rule)}
"""Entries by kind, each after those that it refers to."""

OWNERS = {"pool": "service", "rule": "service", "upstream": "pool"}
"""The kind that an entry refers to, by the option of the same name."""

EntryId = tuple[str, str]
"""Kind and name."""
