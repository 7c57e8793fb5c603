"""Tests of the in-memory platform's faults, on which other tests rely."""

import curio

from ...store.base import Condition, ListedVm, StoreErrorKind, Write
from ...timers import ManualClock
from ..standins.memory import Faults, MemoryObjects, MemoryTables, MemoryVmList


def test_late_write_takes_effect_only_if_its_condition_still_holds():
    tables = MemoryTables(Faults(late=2))
    absent = [Condition("t", "a", 0)]
    lost = curio.run(tables.transact, absent, [Write("t", "a", b"late")], 1.0)
    curio.run(tables.transact, [Condition("t", "b", 0)], [Write("t", "b", b"late")], 1.0)
    assert lost.error.kind is StoreErrorKind.UNKNOWN and not tables.rows
    assert curio.run(tables.transact, absent, [Write("t", "a", b"early")], 1.0).is_ok()
    assert tables.land_late() == 1
    assert [row.value for row in tables.find("t", "", "", 9)] == [b"early", b"late"]


def test_object_name_is_written_once_and_write_with_lost_answer_takes_effect():
    objects = MemoryObjects(Faults(lose_answers=1))
    assert curio.run(objects.put, "n", b"1", 1.0).error.kind is StoreErrorKind.UNKNOWN
    assert curio.run(objects.put, "n", b"2", 1.0).error.kind is StoreErrorKind.CONDITION_FAILED
    assert curio.run(objects.get, "n", 1.0).ok == b"1"


def test_vm_list_lags():
    clock = ManualClock()
    vms = MemoryVmList(clock, [], Faults(list_lag=5.0))
    vms.set([ListedVm("vm1", "127.0.0.1:1", "dc1")])
    assert curio.run(vms.vms, 1.0).ok == []
    clock.advance(5.0)
    assert [vm.name for vm in curio.run(vms.vms, 1.0).ok] == ["vm1"]
