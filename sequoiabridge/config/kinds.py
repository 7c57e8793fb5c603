"""The kinds of entries in a document and the references between them."""

from .pool import Pool
from .rule import Rule
from .section import Section
from .service import Service
from .upstream import Upstream

KINDS: dict[str, type[Section]] = {kind.heading: kind for kind in (Service, Pool, Upstream, Rule)}
"""Section classes by kind; each kind comes after the one that it refers to."""

OWNERS = {"pool": "service", "rule": "service", "upstream": "pool"}
"""Kind of the entry to which each kind refers, with the option of the same name."""

EntryId = tuple[str, str]
"""Kind and name of an entry."""
