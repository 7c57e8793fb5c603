"""The fault matrix as scenarios; see features/ for the cells and `cells` for how one is played."""

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from .cells import State, fault_named, play_cell, step_named
from .features import path_of, text_of
from .steps import Group

scenarios("../features")


@given("daemons, upstreams and the platform's store")
def world():
    """Each play of a cell builds its own world, with time of its own."""


@when(parsers.parse('"{fault}" strikes at the step "{step}"'), target_fixture="outcome")
def strike(fault, step):
    return play_cell(fault_named(fault), step_named(step))


@then("every promise holds")
def holds(outcome):
    assert outcome.state is State.HELD, "\n".join(outcome.found)


@pytest.mark.parametrize("group", list(Group))
def test_features_are_as_the_rows_and_columns_say(group):
    assert path_of(group).read_text(encoding="utf-8") == text_of(group)
