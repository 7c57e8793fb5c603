"""Tests of releasing a held upload with parsed commands."""

import pytest

from ...exceptions import ConflictError, StoreUnavailable
from ...operators.commands import HeldKind, Release
from ...operators.errors import NotFound
from ...operators.parser import parse
from ...operators.releases import DaemonReleaser
from ...store.upload_manifest import UploadState
from ..standins.uploads import World, finish, incoming

DATA = b"ledger of the year 2026"


def held_upload():
    """Return a world with a held upload, the upload's id, and the releaser of another VM."""
    world = World()
    vm = world.vm("a")
    upload = finish(vm.receive(incoming(DATA))).id
    world.upstream.refuses = True
    finish(world.deliveries(vm).deliver(upload))
    return world, upload, DaemonReleaser(None, None, None, None, world.vm("b"))


def run_release(releaser, text, dry_run=False):
    command = parse(text).ok
    assert isinstance(command, Release)
    if dry_run:
        return finish(releaser.describe(command.kind, command.name))
    return finish(releaser.release(command.kind, command.name, "anna"))


def test_a_release_lets_a_held_upload_be_delivered_and_a_dry_run_does_not():
    world, upload, releaser = held_upload()
    assert "refused" in run_release(releaser, f"release upload {upload}", dry_run=True).ok
    assert world.manifests()[0].state is UploadState.FAILED
    assert upload in run_release(releaser, f"Release UPLOAD {upload}").ok
    world.recover()
    assert world.upstream.kept == {upload: DATA}


@pytest.mark.parametrize("dry_run", [True, False])
def test_releasing_an_unknown_or_delivered_upload_is_an_error_and_changes_nothing(dry_run):
    world, upload, releaser = held_upload()
    assert isinstance(run_release(releaser, "release upload nobody", dry_run).error, NotFound)
    world.tables.faults.down = True
    assert isinstance(
        run_release(releaser, f"release upload {upload}", dry_run).error, StoreUnavailable
    )
    world.tables.faults.down = False
    run_release(releaser, f"release upload {upload}")
    world.recover()
    before = world.manifests()
    assert isinstance(run_release(releaser, f"release upload {upload}", dry_run).error, NotFound)
    assert world.manifests() == before and before[0].state is UploadState.DELIVERED


def test_a_release_that_races_with_another_release_is_a_conflict():
    world, upload, releaser = held_upload()
    late_release = releaser.release(HeldKind.UPLOAD, upload, "anna")
    for _ in range(2):
        late_release.send(None)
    run_release(releaser, f"release upload {upload}")
    assert isinstance(finish(late_release).error, ConflictError)
