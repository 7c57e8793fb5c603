"""Runs a seeded sample of the matrix's cells with the other tests; `make matrix` plays all."""

from random import Random

import pytest

from .cells import SEED

SAMPLE = 48
"""Cells in the sample."""


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Leave a sample of the cells, unless single tests were asked for by name."""
    cells = [item for item in items if item.name.startswith("test_") and "[" in item.name]
    cells = [item for item in cells if item.module.__name__.endswith("matrix.test_matrix")]
    if config.option.keyword or len(cells) <= SAMPLE:
        return
    kept = set(Random(SEED).sample(range(len(cells)), SAMPLE))
    dropped = [item for number, item in enumerate(cells) if number not in kept]
    config.hook.pytest_deselected(items=dropped)
    items[:] = [item for item in items if item not in set(dropped)]
