"""A few of the promises broken on purpose; `make matrix-check` breaks all."""

import pytest

from .mutants import MUTANTS

SAMPLE = ("skip the claim", "say not-run after sending", "accept half an upload")


@pytest.mark.parametrize("name", SAMPLE)
def test_the_matrix_sees_a_broken_promise(name):
    mutant = next(mutant for mutant in MUTANTS if mutant.name == name)
    cell, found = mutant.seen_by()
    assert cell, f"a hole in the matrix: no cell sees the mutant {name!r}"
    assert mutant.promise.value in found
