"""What an operator's word frees, by the real command line and an upload that is held."""

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
    """Return a world with an upload that is held, its id, and the releases of another VM."""
    world = World()
    vm = world.vm("a")
    upload = finish(vm.receive(incoming(DATA))).id
    world.upstream.refuses = True
    finish(world.deliveries(vm).deliver(upload))
    return world, upload, DaemonReleaser(None, None, None, None, world.vm("b"))


def run(releaser, text, dry=False):
    command = parse(text).ok
    assert isinstance(command, Release)
    if dry:
        return finish(releaser.describe(command.kind, command.name))
    return finish(releaser.release(command.kind, command.name, "anna"))


def test_a_held_upload_is_delivered_after_its_release_and_not_by_a_dry_run():
    world, upload, releaser = held_upload()
    assert "refused" in run(releaser, f"release upload {upload}", dry=True).ok
    assert world.manifests()[0].state is UploadState.FAILED
    assert upload in run(releaser, f"Release UPLOAD {upload}").ok
    world.recover()
    assert world.upstream.kept == {upload: DATA}


@pytest.mark.parametrize("dry", [True, False])
def test_what_is_not_held_or_not_known_is_told_and_left(dry):
    world, upload, releaser = held_upload()
    assert isinstance(run(releaser, "release upload nobody", dry).error, NotFound)
    world.tables.faults.down = True
    assert isinstance(run(releaser, f"release upload {upload}", dry).error, StoreUnavailable)
    world.tables.faults.down = False
    run(releaser, f"release upload {upload}")
    world.recover()
    before = world.manifests()
    assert isinstance(run(releaser, f"release upload {upload}", dry).error, NotFound)
    assert world.manifests() == before and before[0].state is UploadState.DELIVERED


def test_a_release_that_another_operator_overtook_is_a_conflict():
    world, upload, releaser = held_upload()
    late = releaser.release(HeldKind.UPLOAD, upload, "anna")
    for _ in range(2):
        late.send(None)
    run(releaser, f"release upload {upload}")
    assert isinstance(finish(late).error, ConflictError)
