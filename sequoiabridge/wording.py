"""Small helps for sentences that people read."""


def counted(number: int, noun: str) -> str:
    """Return a number with its noun, such as `1 VM` or `2 VMs`."""
    return f"{number} {noun}" if number == 1 else f"{number} {noun}s"
