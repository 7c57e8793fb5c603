"""Tests of configuration versions with races and faults of the store."""

import curio
import pytest

from ...store.version_rows import Accepted, Conflict, NotAccepted, Unproven
from ...store.versions import Versions
from ..standins.memory import ALWAYS
from .store_fakes import FakePlatform


def versions(platform, **options):
    return Versions(platform.client(), platform.clock, **options)


def propose(store, expected, change=b"c", author="anna"):
    return curio.run(store.propose, expected, change, author, 5.0)


def test_one_of_concurrent_proposals_is_accepted_and_named_to_the_other():
    platform = FakePlatform()
    anna, ben = versions(platform), versions(platform)

    async def race():
        async with curio.TaskGroup() as group:
            await group.spawn(anna.propose, 0, b"a", "anna", 5.0)
            await group.spawn(ben.propose, 0, b"b", "ben", 5.0)
        return group.results

    accepted, conflict = sorted(curio.run(race), key=lambda r: isinstance(r, Conflict))
    assert isinstance(accepted, Accepted) and accepted.version == 1
    assert isinstance(conflict, Conflict) and conflict.version == 1
    assert conflict.author == curio.run(anna.history, 9).ok[0].author


@pytest.mark.parametrize("fault", ["lose_answers", "lose_writes", "late"])
def test_lost_answer_is_accepted_once(fault):
    platform = FakePlatform()
    setattr(platform.faults, fault, 1)
    assert isinstance(propose(versions(platform), 0), Accepted)
    platform.tables.land_late()
    assert curio.run(versions(platform).latest).ok.version == 1


def test_resolved_proposal_cannot_be_committed_later():
    platform = FakePlatform()
    platform.faults.late = ALWAYS
    unproven = propose(versions(platform), 0)
    assert isinstance(unproven, Unproven)
    platform.faults.late = 0
    assert isinstance(curio.run(versions(platform).resolve, unproven, 5.0), NotAccepted)
    assert platform.tables.land_late() == 0
    assert isinstance(propose(versions(platform), 0, b"again"), Accepted)


@pytest.mark.parametrize(("first", "outcome"), [("late", Accepted), ("other", Conflict)])
def test_unproven_proposal_is_identified_by_its_token(first, outcome):
    platform = FakePlatform()
    platform.faults.late = ALWAYS
    unproven = propose(versions(platform), 0)
    platform.faults.late = 0
    if first == "late":
        assert platform.tables.land_late() == 1
    else:
        assert isinstance(propose(versions(platform), 0, b"x", "ben"), Accepted)
    assert isinstance(curio.run(versions(platform).resolve, unproven, 5.0), outcome)


def test_proposal_is_not_accepted_while_the_store_is_down():
    platform = FakePlatform()
    platform.faults.down = True
    assert isinstance(propose(versions(platform), 0), NotAccepted)
    assert not platform.tables.rows


def test_new_vm_loads_a_snapshot_and_the_changes_after_it():
    platform = FakePlatform()
    store = versions(platform, snapshot_interval=4)
    for version in range(10):
        assert propose(store, version, b"%d" % (version + 1)).version == version + 1
        if store.is_snapshot_due(version + 1):
            assert curio.run(store.save_snapshot, version + 1, b"s%d" % (version + 1)).is_ok()
    assert curio.run(store.save_snapshot, 8, b"another VM's").is_ok()
    loaded = curio.run(store.load).ok
    assert (loaded.snapshot.version, loaded.snapshot.data) == (8, b"s8")
    assert [change.version for change in loaded.changes] == [9, 10]
    assert curio.run(store.prune, 3) == 7
    assert [
        c.change for c in curio.run(versions(platform, snapshot_interval=4).load).ok.changes
    ] == [
        b"9",
        b"10",
    ]
    assert [change.version for change in curio.run(store.history, 2).ok] == [10, 9]
