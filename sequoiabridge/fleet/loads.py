"""Selects which of this VM's load figures of upstreams to publish to the other VMs.

Upstreams that became suspect or ceased to be come first, then the largest changes since the last
publication, within the bytes left in the bucket. Small changes are not published, since the other
VMs have measurements of their own.
"""

from collections.abc import Iterable

from .base import LoadItem

LOAD_ITEM_SIZE = 60
"""Estimated size of a load item in a frame, in bytes."""
MIN_CHANGE_RATIO = 0.5
"""Minimum relative change of a figure to be published."""
MIN_IN_FLIGHT_CHANGE = 2
"""Minimum change of the number of calls in flight to be published. An upstream has two slots, so
one call more or less is noise."""
SUSPECT_REPEAT_INTERVAL = 5.0
"""Seconds between publications of an upstream that stays suspect."""
LOAD_TTL = 10.0
"""Seconds after which published figures expire, and measured ones are too old to publish."""


class LocalLoad:
    """This VM's load figures of one upstream; `measured_at` is in seconds on the daemon's clock."""

    __slots__ = ("upstream", "in_flight", "latency_us", "suspect", "measured_at")

    def __init__(
        self, upstream: str, in_flight: int, latency_us: int, suspect: bool, measured_at: float
    ):
        self.upstream = upstream
        self.in_flight = in_flight
        self.latency_us = latency_us
        self.suspect = suspect
        self.measured_at = measured_at


class PublishedLoad:
    """The load figures last published for one upstream."""

    __slots__ = ("load", "published_at")

    def __init__(self, load: LocalLoad, published_at: float):
        self.load = load
        self.published_at = published_at


def select_load_items(
    loads: Iterable[LocalLoad], published: dict[str, PublishedLoad], room: float, now: float
) -> list[LoadItem]:
    """Return the items to publish now, most useful first, and record them in `published`.

    Args:
        loads: Current figures of upstreams; those older than `LOAD_TTL` are skipped.
        published: Figures last published, by upstream; the caller keeps it between calls.
        room: Bytes that the byte bucket leaves for load items.
    """
    fresh = [load for load in loads if now - load.measured_at < LOAD_TTL]
    scored = [(score(load, published.get(load.upstream), now), load) for load in fresh]
    ranked = sorted((s for s in scored if s[0] > 0), key=lambda s: (-s[0], s[1].upstream))
    chosen = [load for _, load in ranked[: max(0, int(room // LOAD_ITEM_SIZE))]]
    for load in chosen:
        published[load.upstream] = PublishedLoad(load, now)
    return [to_load_item(load, now) for load in chosen]


def score(load: LocalLoad, published: PublishedLoad | None, now: float) -> float:
    """Return the priority of publishing an upstream's figures; 0 if they need not be published."""
    last_load = (
        published.load
        if published is not None and now - published.published_at < LOAD_TTL
        else None
    )
    was_suspect = last_load is not None and last_load.suspect
    if load.suspect != was_suspect:
        return 1_000.0
    if load.suspect and now - published.published_at >= SUSPECT_REPEAT_INTERVAL:
        return 500.0
    if last_load is None:
        return 1.0 if load.in_flight >= MIN_IN_FLIGHT_CHANGE else 0.0
    return max(in_flight_change(load, last_load), latency_change(load, last_load))


def in_flight_change(load: LocalLoad, last_load: LocalLoad) -> float:
    """Return the relative change of the calls in flight since `last_load`, 0 if it is small."""
    change = abs(load.in_flight - last_load.in_flight)
    if change < MIN_IN_FLIGHT_CHANGE:
        return 0.0
    ratio = change / max(MIN_IN_FLIGHT_CHANGE, last_load.in_flight)
    return ratio if ratio >= MIN_CHANGE_RATIO else 0.0


def latency_change(load: LocalLoad, last_load: LocalLoad) -> float:
    """Return the relative change of the mean latency since `last_load`, 0 if it is small."""
    low, high = sorted((max(1, load.latency_us), max(1, last_load.latency_us)))
    ratio = high / low - 1
    return ratio if ratio >= MIN_CHANGE_RATIO else 0.0


def to_load_item(load: LocalLoad, now: float) -> LoadItem:
    """Return the load figures as an item with its age."""
    age_ms = int((now - load.measured_at) * 1000)
    return LoadItem(load.upstream, load.in_flight, load.latency_us, load.suspect, age_ms)
