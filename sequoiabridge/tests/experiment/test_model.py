"""The model itself: upstreams work at their speed, scenes and names are checked, words travel."""

from pathlib import Path
from random import Random

import pytest

from ...balancing.chooser import HOLD_SHARE
from ...commands.main import main
from ...experiment import mechanisms
from ...experiment.agenda import Agenda
from ...experiment.figures import Figures, Mean, Record
from ...experiment.mechanisms import WITHOUT, BadChange, changes_of, limits
from ...experiment.play import Play
from ...experiment.scene import BadScene, load_scene, parse_scene
from ...experiment.upstream import Job, ModelUpstream
from .test_gains import CROWDED

SCENES = Path(__file__).parents[3] / "examples" / "scenes"


def upstream(slots=2, queue=1, full_factor=2.0):
    agenda = Agenda()
    scene = parse_scene(CROWDED, "test")
    (terms,) = scene.services
    terms.slots, terms.queue, terms.full_factor = slots, queue, full_factor
    return ModelUpstream("u", 0, terms, agenda, Random(1)), agenda


def jobs(model, agenda, works, give_up_at=99.0):
    """Send jobs at once; return when each ended, and how."""
    ended = {}

    def over(number):
        return lambda status: ended.update({number: (round(agenda.now(), 6), status)})

    for number, work in enumerate(works):
        model.take(Job(work, give_up_at, over(number)))
    agenda.run()
    return ended


def test_calls_run_side_by_side_and_a_full_upstream_is_slower_for_all():
    model, agenda = upstream()
    assert jobs(model, agenda, [1.0]) == {0: (1.0, 200)}
    model, agenda = upstream()
    assert jobs(model, agenda, [1.0, 1.0]) == {0: (2.0, 200), 1: (2.0, 200)}
    model, agenda = upstream()
    # Together until the first is done after 1 s, then the other one at full speed.
    assert jobs(model, agenda, [0.5, 1.0]) == {0: (1.0, 200), 1: (1.5, 200)}


def test_one_more_than_slots_and_queue_is_refused_and_a_dropped_one_frees_its_slot():
    model, agenda = upstream(full_factor=1.0)
    ended = jobs(model, agenda, [1.0, 1.0, 1.0, 1.0])
    assert ended == {3: (0.0, 0), 0: (1.0, 200), 1: (1.0, 200), 2: (2.0, 200)}
    model, agenda = upstream(slots=1, full_factor=1.0)
    first = Job(9.0, 99.0, lambda status: None)
    model.take(first)
    agenda.after(1.0, model.drop, first)
    assert jobs(model, agenda, [1.0]) == {0: (2.0, 200)}


def test_neighbours_and_faults_change_the_speed_of_work_that_has_begun():
    model, agenda = upstream(slots=4, full_factor=1.0)
    agenda.after(0.5, model.set_fault, "slow", 4.0)
    assert jobs(model, agenda, [1.0]) == {0: (2.5, 200)}


def test_all_that_is_wrong_with_a_scene_is_said_at_once():
    text = "vms = 0\nmoon = 1\n[[service]]\nname = 's'\n[[kind]]\nname = 'k'\nservice = 'x'\n"
    with pytest.raises(BadScene) as found:
        parse_scene(text + "[[fault]]\nkind = 'rain'\nat = 1\n", "bad")
    for part in ("vms is 0", "moon", "upstreams is missing", "no service 'x'", "no fault 'rain'"):
        assert part in str(found.value)
    with pytest.raises(BadScene):
        parse_scene("= 1", "bad")
    with pytest.raises(BadScene):
        load_scene(Path("nowhere.toml"))


@pytest.mark.parametrize("path", sorted(SCENES.glob("*.toml")), ids=lambda path: path.stem)
def test_the_scenes_that_ship_can_be_read(path):
    assert load_scene(path).kinds


def test_limits_and_mechanisms_are_known_by_name_and_all_mistakes_are_said_at_once():
    assert changes_of(["chooser.HOLD_SHARE=0.5"], []) == {"chooser.HOLD_SHARE": 0.5}
    with pytest.raises(BadChange) as found:
        changes_of(["no.SUCH=1", "chooser.HOLD_SHARE=long"], ["magic"])
    for part in ("no.SUCH", "'long'", "'magic'"):
        assert part in str(found.value)
    known = limits()
    assert all(name in known for changes in WITHOUT.values() for name in changes)


def test_what_is_set_is_set_in_the_decisions_themselves(monkeypatch):
    from ...balancing import chooser

    monkeypatch.setattr(chooser, "HOLD_SHARE", HOLD_SHARE)
    mechanisms.apply({"chooser.HOLD_SHARE": 0.5})
    assert chooser.HOLD_SHARE == 0.5


def test_peers_of_a_data_centre_hear_of_calls_and_a_deaf_vm_does_not():
    played = Play(parse_scene(CROWDED, "test"), 1, "own")
    teller, hearer = played.vms[0], played.vms[2]
    near = next(u for u in teller.known.by_id.values() if u.near)
    teller._tell(near, lambda known: known.evidence.sent())
    played.agenda.run()
    assert hearer.known.by_id[near.id].evidence.sent_since == 1
    assert played.vms[1].known.by_id[near.id].evidence.sent_since == 0
    hearer.deaf = True
    teller._tell(near, lambda known: known.evidence.sent())
    played.agenda.run()
    assert hearer.known.by_id[near.id].evidence.sent_since == 1


def test_an_upstream_that_fell_silent_is_not_asked_again_before_its_pause_is_over():
    played = Play(parse_scene(CROWDED, "test"), 1, "own")
    vm, agenda = played.vms[0], played.agenda
    silent = next(iter(vm.known.by_id.values()))
    vm.known.models[silent.id].dark = True
    agenda.after(5.0, vm._probe, silent, None)
    agenda.run()
    assert agenda.now() > 5.0 and silent.evidence.is_silent(agenda.now())
    assert not silent.evidence.may_be_asked(agenda.now())


def test_figures_weigh_what_was_earned():
    good, late, lost = (Record("k", float(n), 1.0, 0.5) for n in range(3))
    good.served(0.4, 0.1)
    late.served(2.0, 0.1)
    assert lost.earned == 0.0
    figures = Figures([good, late, lost], probes=0, hedges=0)
    assert figures.in_time == figures.late == pytest.approx(1 / 3)
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
