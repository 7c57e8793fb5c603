"""The simulation: upstreams, messages between VMs, and checks of scenes and arguments."""

from pathlib import Path
from random import Random

import pytest

from ...balancing.chooser import HOLD_SHARE
from ...commands.main import main
from ...experiment import mechanisms
from ...experiment.mechanisms import WITHOUT, ExperimentError, parse_overrides, tunable_constants
from ...experiment.results import Mean, RequestRecord, RunResult
from ...experiment.scene import SceneError, load_scene, parse_scene
from ...experiment.scheduler import Scheduler
from ...experiment.simulation import Simulation
from ...experiment.upstream import Job, ModelUpstream
from .test_gains import CROWDED

SCENES = Path(__file__).parents[3] / "examples" / "scenes"


def make_upstream(slots=2, queue=1, full_factor=2.0):
    scheduler = Scheduler()
    scene = parse_scene(CROWDED, "test")
    (service,) = scene.services
    service.slots, service.queue, service.full_factor = slots, queue, full_factor
    return ModelUpstream("u", 0, service, scheduler, Random(1)), scheduler


def run_jobs(model, scheduler, works, deadline=99.0):
    """Submit jobs at the same time; return when each ended, in seconds, and its status."""
    ended = {}

    def on_end(number):
        return lambda status: ended.update({number: (round(scheduler.now(), 6), status)})

    for number, work in enumerate(works):
        model.submit(Job(work, deadline, on_end(number)))
    scheduler.run()
    return ended


def test_full_upstream_is_slower_for_all_running_calls():
    model, scheduler = make_upstream()
    assert run_jobs(model, scheduler, [1.0]) == {0: (1.0, 200)}
    model, scheduler = make_upstream()
    assert run_jobs(model, scheduler, [1.0, 1.0]) == {0: (2.0, 200), 1: (2.0, 200)}
    model, scheduler = make_upstream()
    # Both share the upstream until the first ends at 1 s; the other then runs at full speed.
    assert run_jobs(model, scheduler, [0.5, 1.0]) == {0: (1.0, 200), 1: (1.5, 200)}


def test_full_queue_rejects_calls_and_cancelled_call_frees_its_slot():
    model, scheduler = make_upstream(full_factor=1.0)
    ended = run_jobs(model, scheduler, [1.0, 1.0, 1.0, 1.0])
    assert ended == {3: (0.0, 0), 0: (1.0, 200), 1: (1.0, 200), 2: (2.0, 200)}
    model, scheduler = make_upstream(slots=1, full_factor=1.0)
    first = Job(9.0, 99.0, lambda status: None)
    model.submit(first)
    scheduler.call_later(1.0, model.cancel, first)
    assert run_jobs(model, scheduler, [1.0]) == {0: (2.0, 200)}


def test_fault_changes_the_speed_of_running_work():
    model, scheduler = make_upstream(slots=4, full_factor=1.0)
    scheduler.call_later(0.5, model.set_fault, "fault_slowdown", 4.0)
    assert run_jobs(model, scheduler, [1.0]) == {0: (2.5, 200)}


def test_all_problems_of_a_scene_are_reported_together():
    text = "vms = 0\nmoon = 1\n[[service]]\nname = 's'\n[[kind]]\nname = 'k'\nservice = 'x'\n"
    with pytest.raises(SceneError) as raised:
        parse_scene(text + "[[fault]]\nkind = 'rain'\nat = 1\n", "bad")
    for part in (
        "vms is 0",
        "moon",
        "upstreams is missing",
        "unknown service 'x'",
        "unknown fault 'rain'",
    ):
        assert part in str(raised.value)
    with pytest.raises(SceneError):
        parse_scene("= 1", "bad")
    with pytest.raises(SceneError):
        load_scene(Path("nowhere.toml"))


@pytest.mark.parametrize("path", sorted(SCENES.glob("*.toml")), ids=lambda path: path.stem)
def test_example_scenes_are_valid(path):
    assert load_scene(path).kinds


def test_all_invalid_overrides_are_reported_together():
    assert parse_overrides(["chooser.HOLD_SHARE=0.5"], []) == {"chooser.HOLD_SHARE": 0.5}
    with pytest.raises(ExperimentError) as raised:
        parse_overrides(["no.SUCH=1", "chooser.HOLD_SHARE=long"], ["magic"])
    for part in ("no.SUCH", "'long'", "'magic'"):
        assert part in str(raised.value)
    known = tunable_constants()
    assert all(name in known for changes in WITHOUT.values() for name in changes)


def test_overrides_change_the_constants_of_balancing(monkeypatch):
    from ...balancing import chooser

    monkeypatch.setattr(chooser, "HOLD_SHARE", HOLD_SHARE)
    mechanisms.apply_overrides({"chooser.HOLD_SHARE": 0.5})
    assert chooser.HOLD_SHARE == 0.5


def test_messages_reach_peers_of_the_data_centre_but_no_isolated_vm():
    simulation = Simulation(parse_scene(CROWDED, "test"), 1, "own")
    sender, receiver = simulation.vms[0], simulation.vms[2]
    local = next(u for u in sender.upstreams.by_id.values() if u.is_local)
    sender._share_with_peers(local, lambda entry: entry.stats.record_send())
    simulation.scheduler.run()
    assert receiver.upstreams.by_id[local.id].stats.sent_since_report == 1
    assert simulation.vms[1].upstreams.by_id[local.id].stats.sent_since_report == 0
    receiver.isolated = True
    sender._share_with_peers(local, lambda entry: entry.stats.record_send())
    simulation.scheduler.run()
    assert receiver.upstreams.by_id[local.id].stats.sent_since_report == 1


def test_unresponsive_upstream_is_not_probed_again_before_its_backoff_ends():
    simulation = Simulation(parse_scene(CROWDED, "test"), 1, "own")
    vm, scheduler = simulation.vms[0], simulation.scheduler
    unresponsive = next(iter(vm.upstreams.by_id.values()))
    vm.upstreams.models[unresponsive.id].unresponsive = True
    scheduler.call_later(5.0, vm._probe, unresponsive, None)
    scheduler.run()
    assert scheduler.now() > 5.0 and unresponsive.stats.is_unresponsive(scheduler.now())
    assert not unresponsive.stats.is_probe_due(scheduler.now())


def test_results_count_requests_by_outcome():
    good, late, lost = (RequestRecord("k", float(n), 1.0, 0.5) for n in range(3))
    good.mark_served(0.4, 0.1)
    late.mark_served(2.0, 0.1)
    assert lost.earned == 0.0
    result = RunResult([good, late, lost], probes=0, hedges=0)
    assert result.in_time == result.late == pytest.approx(1 / 3)
    assert str(Mean([1.0, 3.0])) == "2.000 ±1.960"


def test_command_runs_a_scene_and_names_each_invalid_argument(tmp_path, capsys):
    scene = tmp_path / "short.toml"
    scene.write_text(CROWDED.replace("seconds = 12.0", "seconds = 1.0"))
    csv_file = tmp_path / "figures.csv"
    arguments = [
        "experiment",
        str(scene),
        "--seeds",
        "2",
        "--jobs",
        "2",
        "--csv-file",
        str(csv_file),
    ]
    assert main([*arguments, "--without", "holding"]) == 0
    output = capsys.readouterr().out
    assert "without holding" in output and "oracle" in output
    assert len(csv_file.read_text().splitlines()) == 1 + 3 * 2
    assert main([*arguments, "--without", "magic", "--players", "nobody"]) == 2
    errors = capsys.readouterr().err
    assert "magic" in errors and "nobody" in errors
