"""The tool with a daemon that answers, refuses, does not answer or is not running."""

import json
import sys
import threading
from http.server import BaseHTTPRequestHandler, HTTPServer
from pathlib import Path
from types import SimpleNamespace

import pytest

from ...commands import daemon
from ...commands.main import main
from ...exceptions import StoreUnavailable
from ...selector import LazySelector

TOKEN = "operators-token-0001"
TABLE = {
    "columns": ["upstream", "in_flight"],
    "rows": [["katalog-1", 2], ["katalog-12", 11]],
    "heard": ["vm-1"],
    "not_heard": {"vm-2": "no answer within 1 s"},
    "version": 7,
    "message": "",
}


class FakeAdminPort(BaseHTTPRequestHandler):
    """Sends the answer that the test set on the server; no answer if the status is 0."""

    def do_GET(self):
        body = self.rfile.read(int(self.headers["Content-Length"])).decode()
        self.server.requests.append((self.command, self.path, self.headers["Authorization"], body))
        status, answer = self.server.answer
        if status == 0:
            return
        data = answer if isinstance(answer, bytes) else json.dumps(answer).encode()
        self.send_response(status)
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)

    do_POST = do_GET  # noqa: N815

    def log_message(self, *args):
        pass


@pytest.fixture
def admin(monkeypatch):
    monkeypatch.setenv("SEQUOIA_TOKEN", TOKEN)
    server = HTTPServer(("127.0.0.1", 0), FakeAdminPort)
    server.requests, server.answer = [], (200, TABLE)
    server.flag = f"--admin=127.0.0.1:{server.server_port}"
    thread = threading.Thread(target=server.serve_forever, args=(0.01,))
    thread.start()
    yield server
    server.shutdown()
    thread.join()
    server.server_close()


def test_a_command_is_sent_with_the_token_and_shown_as_a_table(admin, capsys):
    assert main(["ask", "show", "upstreams", admin.flag]) == 0
    assert admin.requests == [("POST", "/ask", f"Bearer {TOKEN}", "show upstreams")]
    assert capsys.readouterr().out.splitlines() == [
        "upstream    in_flight",
        "----------  ---------",
        "katalog-1           2",
        "katalog-12         11",
        "configuration version 7; heard 1 VM",
        "NOT heard vm-2: no answer within 1 s",
    ]
    assert main(["ask", "show upstreams", admin.flag, "--strict"]) == 1


def test_an_answer_without_rows_shows_its_message_and_empty_values_are_dashes(admin, capsys):
    admin.answer = 200, TABLE | {"rows": [], "not_heard": {}, "message": "Nothing to change."}
    assert main(["ask", "drain upstream katalog-1", admin.flag]) == 0
    output = capsys.readouterr().out.splitlines()
    assert output == ["Nothing to change.", "configuration version 7; heard 1 VM"]
    admin.answer = 200, {"vm": "vm-1", "why": "", "members": []}
    assert main(["dump", admin.flag]) == 0
    assert capsys.readouterr().out.splitlines() == ["vm: vm-1", "why: -", "members: -"]


@pytest.mark.parametrize(
    ("status", "error", "code"),
    [
        (400, {"message": "expected a name", "column": 6}, 2),
        (401, {"message": "wrong token"}, 5),
        (404, {"message": "no such request"}, 1),
        (409, {"message": "version 8 by anna came first"}, 3),
        (503, {"message": "the table service is down"}, 4),
        (500, {}, 1),
    ],
)
def test_each_error_has_its_exit_code_and_a_one_line_message(admin, capsys, status, error, code):
    admin.answer = status, {"error": error}
    assert main(["explain", "a/b", admin.flag]) == code
    assert admin.requests[0][1] == "/explain/a%2Fb"
    output = capsys.readouterr()
    assert output.err.count("\n") == 1 and error.get("message", "status 500") in output.err
    assert ("column 6" in output.err) == (status == 400) and output.out == ""


def test_an_unanswered_change_is_reported_as_possibly_done(admin, capsys):
    admin.answer = 0, None
    assert main(["ask", "drain upstream katalog-1", admin.flag, "--json"]) == 4
    output = capsys.readouterr()
    assert "may have been done" in output.err
    assert json.loads(output.out)["error"]["exit"] == 4
    assert main(["dump", "fleet", admin.flag]) == 4
    assert main(["ask", "Show", "vms", admin.flag]) == 4
    assert "may have been done" not in capsys.readouterr().err
    assert admin.requests[1][1] == "/dump?part=fleet"


def test_an_answer_that_is_not_json_and_a_daemon_that_is_not_running(admin, capsys):
    admin.answer = 200, b"<html>"
    assert main(["dump", admin.flag]) == 5
    admin.shutdown()
    admin.server_close()
    assert main(["dump", admin.flag]) == 4
    assert "check the address" in capsys.readouterr().err


def test_a_file_is_checked_before_it_is_sent(admin, capsys, tmp_path):
    file = tmp_path / "fleet.ini"
    file.write_text("[service a]\n[rule r]\nservice = b\n")
    assert main(["apply", str(file), admin.flag]) == 2 and admin.requests == []
    assert "there is no service b" in capsys.readouterr().err
    file.write_text("[service a]\n")
    assert main(["apply", str(file), admin.flag, "--strict"]) == 2 and admin.requests == []
    assert main(["apply", str(file), admin.flag, "--expect=7", "--dry-run"]) == 0
    method, target, _, body = admin.requests[0]
    assert (method, target, body) == ("POST", "/apply?dry_run=1&expect=7", "[service a]\n")


def test_check_detects_the_type_of_each_file_and_reports_all_errors(capsys, tmp_path):
    texts = {"vm.ini": "[vm]\nname = a\n", "fleet.ini": "[pool p]\nslots = 0\n", "x.ini": "[x]\n"}
    for name, text in texts.items():
        (tmp_path / name).write_text(text)
    assert main(["check", "--json", *(str(tmp_path / name) for name in texts)]) == 2
    found = json.loads(capsys.readouterr().out)
    keys = {(p["source"].rpartition("/")[2], p["section"], p["key"]) for p in found["problems"]}
    assert {("vm.ini", "vm", "data_centre"), ("vm.ini", "admin", "")} <= keys
    assert {("fleet.ini", "pool p", "service"), ("fleet.ini", "pool p", "slots")} <= keys
    assert ("x.ini", "", "") in keys and found["errors"] == len(found["problems"])
    (tmp_path / "warn.ini").write_text("[service a]\n")
    assert main(["check", str(tmp_path / "warn.ini")]) == 0
    assert main(["check", "--strict", str(tmp_path / "warn.ini")]) == 2


@pytest.mark.parametrize(
    "argv",
    [
        ["check"],
        ["ask", "--admin=127.0.0.1:1"],
        ["ask", " ", "--admin=127.0.0.1:1"],
        ["dump", "--admin=x"],
    ],
)
def test_invalid_usage_is_reported_in_one_line(argv, capsys, monkeypatch):
    monkeypatch.setenv("SEQUOIA_TOKEN", TOKEN)
    assert main(argv) == 2
    assert capsys.readouterr().err.startswith("sequoiactl: ")


def test_the_daemon_does_not_start_with_invalid_settings(capsys, tmp_path):
    file = tmp_path / "vm.ini"
    file.write_text("[vm]\nname = a\n")
    assert daemon.main([str(file)]) == 2
    assert "[vm] data_centre: the option is missing" in capsys.readouterr().err


@pytest.mark.parametrize(
    ("error", "code"), [(None, 0), (StoreUnavailable("The store is down."), 4)]
)
def test_the_exit_code_of_the_daemon(monkeypatch, capsys, error, code):
    class Daemon:
        def __init__(self, settings):
            assert settings.vm.name == "entry-1"

        async def run(self):
            if error:
                raise error

    package = daemon.__package__.rpartition(".")[0]
    monkeypatch.setitem(sys.modules, f"{package}.daemon", SimpleNamespace(Daemon=Daemon))
    example = Path(__file__).parents[3] / "examples" / "vm.ini"
    assert daemon.main([str(example)]) == code
    assert ("sequoiabridged: The store is down.\n" in capsys.readouterr().err) == bool(error)


def test_the_daemon_runs_with_the_lazy_selector(monkeypatch):
    ran = []
    monkeypatch.setattr(daemon.curio, "run", lambda main, **options: ran.append(options))
    settings = Path(__file__).parents[3] / "examples" / "vm.ini"
    assert daemon.main([str(settings)]) == 0
    assert isinstance(ran[0]["selector"], LazySelector)
