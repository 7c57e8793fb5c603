"""What arrived in a window against what was allowed."""


class Excess:
    """The arrivals in one window and how many were allowed.

    Attributes:
        start: Start of the window.
        count: Number of arrivals.
        allowed: Number that is allowed, perhaps with a fraction.
    """

    def __init__(self, start: float, count: int, allowed: float):
        self.start = start
        self.count = count
        self.allowed = allowed

    @property
    def excess(self) -> float:
        """Return how many arrivals were too many; negative if there was room."""
        return self.count - self.allowed
