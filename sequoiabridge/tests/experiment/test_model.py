"""The model itself: upstreams work at their speed, scenes and names are checked, words travel."""

from pathlib import Path
from random import Random

import pytest

from ...balancing.chooser import HOLD_SHARE
from ...commands.main import main
from ...experiment import mechanisms
from ...experiment.figures import Mean, RequestRecord, RunResult
from ...experiment.mechanisms import WITHOUT, ExperimentError, parse_overrides, tunable_constants
from ...experiment.play import Simulation
from ...experiment.scene import SceneError, load_scene, parse_scene
from ...experiment.scheduler import Scheduler
from ...experiment.upstream import Job, ModelUpstream
from .test_gains import CROWDED

SCENES = Path(__file__).parents[3] / "examples" / "scenes"


def upstream(slots=2, queue=1, full_factor=2.0):
    scheduler = Scheduler()
    scene = parse_scene(CROWDED, "test")
    (service,) = scene.services
    service.slots, service.queue, service.full_factor = slots, queue, full_factor
    return ModelUpstream("u", 0, service, scheduler, Random(1)), scheduler


def jobs(model, scheduler, works, deadline=99.0):
    """Send jobs at once; return when each ended, and how."""
    ended = {}

    def over(number):
        return lambda status: ended.update({number: (round(scheduler.now(), 6), status)})

    for number, work in enumerate(works):
        model.submit(Job(work, deadline, over(number)))
    scheduler.run()
    return ended


def test_calls_run_side_by_side_and_a_full_upstream_is_slower_for_all():
    model, scheduler = upstream()
    assert jobs(model, scheduler, [1.0]) == {0: (1.0, 200)}
    model, scheduler = upstream()
    assert jobs(model, scheduler, [1.0, 1.0]) == {0: (2.0, 200), 1: (2.0, 200)}
    model, scheduler = upstream()
    # Together until the first is done after 1 s, then the other one at full speed.
    assert jobs(model, scheduler, [0.5, 1.0]) == {0: (1.0, 200), 1: (1.5, 200)}


def test_one_more_than_slots_and_queue_is_refused_and_a_dropped_one_frees_its_slot():
    model, scheduler = upstream(full_factor=1.0)
    ended = jobs(model, scheduler, [1.0, 1.0, 1.0, 1.0])
    assert ended == {3: (0.0, 0), 0: (1.0, 200), 1: (1.0, 200), 2: (2.0, 200)}
    model, scheduler = upstream(slots=1, full_factor=1.0)
    first = Job(9.0, 99.0, lambda status: None)
    model.submit(first)
    scheduler.call_later(1.0, model.cancel, first)
    assert jobs(model, scheduler, [1.0]) == {0: (2.0, 200)}


def test_neighbours_and_faults_change_the_speed_of_work_that_has_begun():
    model, scheduler = upstream(slots=4, full_factor=1.0)
    scheduler.call_later(0.5, model.set_fault, "fault_slowdown", 4.0)
    assert jobs(model, scheduler, [1.0]) == {0: (2.5, 200)}


def test_all_that_is_wrong_with_a_scene_is_said_at_once():
    text = "vms = 0\nmoon = 1\n[[service]]\nname = 's'\n[[kind]]\nname = 'k'\nservice = 'x'\n"
    with pytest.raises(SceneError) as found:
        parse_scene(text + "[[fault]]\nkind = 'rain'\nat = 1\n", "bad")
    for part in ("vms is 0", "moon", "upstreams is missing", "no service 'x'", "no fault 'rain'"):
        assert part in str(found.value)
    with pytest.raises(SceneError):
        parse_scene("= 1", "bad")
    with pytest.raises(SceneError):
        load_scene(Path("nowhere.toml"))


@pytest.mark.parametrize("path", sorted(SCENES.glob("*.toml")), ids=lambda path: path.stem)
def test_the_scenes_that_ship_can_be_read(path):
    assert load_scene(path).kinds


def test_limits_and_mechanisms_are_known_by_name_and_all_mistakes_are_said_at_once():
    assert parse_overrides(["chooser.HOLD_SHARE=0.5"], []) == {"chooser.HOLD_SHARE": 0.5}
    with pytest.raises(ExperimentError) as found:
        parse_overrides(["no.SUCH=1", "chooser.HOLD_SHARE=long"], ["magic"])
    for part in ("no.SUCH", "'long'", "'magic'"):
        assert part in str(found.value)
    known = tunable_constants()
    assert all(name in known for changes in WITHOUT.values() for name in changes)


def test_what_is_set_is_set_in_the_decisions_themselves(monkeypatch):
    from ...balancing import chooser

    monkeypatch.setattr(chooser, "HOLD_SHARE", HOLD_SHARE)
    mechanisms.apply_overrides({"chooser.HOLD_SHARE": 0.5})
    assert chooser.HOLD_SHARE == 0.5


def test_peers_of_a_data_centre_hear_of_calls_and_a_deaf_vm_does_not():
    simulation = Simulation(parse_scene(CROWDED, "test"), 1, "own")
    sender, receiver = simulation.vms[0], simulation.vms[2]
    near = next(u for u in sender.upstreams.by_id.values() if u.near)
    sender._share_with_peers(near, lambda entry: entry.evidence.sent())
    simulation.scheduler.run()
    assert receiver.upstreams.by_id[near.id].evidence.sent_since == 1
    assert simulation.vms[1].upstreams.by_id[near.id].evidence.sent_since == 0
    receiver.isolated = True
    sender._share_with_peers(near, lambda entry: entry.evidence.sent())
    simulation.scheduler.run()
    assert receiver.upstreams.by_id[near.id].evidence.sent_since == 1


def test_an_upstream_that_fell_silent_is_not_asked_again_before_its_pause_is_over():
    simulation = Simulation(parse_scene(CROWDED, "test"), 1, "own")
    vm, scheduler = simulation.vms[0], simulation.scheduler
    silent = next(iter(vm.upstreams.by_id.values()))
    vm.upstreams.models[silent.id].unresponsive = True
    scheduler.call_later(5.0, vm._probe, silent, None)
    scheduler.run()
    assert scheduler.now() > 5.0 and silent.evidence.is_silent(scheduler.now())
    assert not silent.evidence.may_be_asked(scheduler.now())


def test_figures_weigh_what_was_earned():
    good, late, lost = (RequestRecord("k", float(n), 1.0, 0.5) for n in range(3))
    good.mark_served(0.4, 0.1)
    late.mark_served(2.0, 0.1)
    assert lost.earned == 0.0
    result = RunResult([good, late, lost], probes=0, hedges=0)
    assert result.in_time == result.late == pytest.approx(1 / 3)
    assert str(Mean([1.0, 3.0])) == "2.000 ±1.960"


def test_the_tool_plays_a_scene_and_names_each_mistake(tmp_path, capsys):
    scene = tmp_path / "short.toml"
    scene.write_text(CROWDED.replace("seconds = 12.0", "seconds = 1.0"))
    table = tmp_path / "figures.csv"
    arguments = ["experiment", str(scene), "--seeds", "2", "--jobs", "2", "--csv-file", str(table)]
    assert main([*arguments, "--without", "holding"]) == 0
    shown = capsys.readouterr().out
    assert "without holding" in shown and "oracle" in shown
    assert len(table.read_text().splitlines()) == 1 + 3 * 2
    assert main([*arguments, "--without", "magic", "--players", "nobody"]) == 2
    told = capsys.readouterr().err
    assert "magic" in told and "nobody" in told
