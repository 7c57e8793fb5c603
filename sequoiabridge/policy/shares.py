"""How many of an upstream's connections one daemon may open."""

ROOM_FOR_REPLACEMENT = 1
"""VMs that may join before the others have noticed."""


def connection_share(connections: int, live: int) -> int:
    """Return this daemon's share of an upstream's `connections` among `live` VMs."""
    return max(1, connections // (max(1, live) + ROOM_FOR_REPLACEMENT))
