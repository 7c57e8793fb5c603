"""Tests of the command line tool's client against a real admin port."""

import curio
import pytest

from ...commands.client import AdminClient, NothingFound
from ...exceptions import AdminError, ConfigurationError, ConflictError
from .fakes import TOKEN, FakeDaemon


def with_client(use_client, token=TOKEN):
    """Run `use_client(client)` in a thread while the admin port is being served."""

    async def run():
        async with FakeDaemon() as daemon:
            client = AdminClient(daemon.server.address, token)
            return await curio.run_in_thread(use_client, client)

    return curio.run(run)


def test_ask_apply_and_explain():
    asked = with_client(lambda client: client.post("ask", body="show upstreams of mottag"))
    assert [dict(zip(asked["columns"], row, strict=True))["name"] for row in asked["rows"]] == [
        "a2"
    ]
    assert (asked["heard"], asked["not_heard"], asked["version"]) == (["vm1"], {}, 1)
    text = "[service mottag]\npath_prefix = /images\n"
    dry = with_client(lambda client: client.post("apply", body=text, dry_run="1", expect="1"))
    assert ["service", "spendview", "(entry)", "removed", ""] in dry["rows"]


@pytest.mark.parametrize(
    "path, body, error",
    [
        (("ask",), "show serices", ConfigurationError),
        (("ask",), "drain upstream a1 expect version 0", ConflictError),
        (("explain", "a/b?c"), None, NothingFound),
        (("ask",), "release claim claim-2", NothingFound),
    ],
)
def test_the_client_raises_the_error_type_of_each_http_status(path, body, error):
    def use_client(client):
        return client.get(*path) if body is None else client.post(*path, body=body)

    with pytest.raises(error) as raised:
        with_client(use_client)
    assert ("column 6: expected services" in str(raised.value)) == ("serices" in str(body))
    with pytest.raises(AdminError, match="bearer token"):
        with_client(use_client, token="wrong")


def test_a_conflict_names_the_operator_who_made_the_newer_version(monkeypatch):
    monkeypatch.setenv("SEQUOIA_AUTHOR", "aino")

    def use_client(client):
        client.post("ask", body="drain upstream a1")
        return client.post("ask", body="resume upstream a1 expect version 1")

    with pytest.raises(ConflictError, match="aino"):
        with_client(use_client)
