"""Tests of `monsoongap config` against a served settings tree on loopback."""

import asyncio
import json
import shlex
import socket
import sys
import threading
from collections.abc import Callable, Iterator
from pathlib import Path

import msgspec
import pytest
from tornado.httpclient import HTTPClient, HTTPRequest
from tornado.httpserver import HTTPServer
from tornado.web import Application

from monsoongap.cli import client, config_calls
from monsoongap.cli.client import Endpoint, Unreachable
from monsoongap.cli.main import main
from monsoongap.coordination.tokens import Tokens, hash_token
from monsoongap.coordination.tree_service import ConfigService
from monsoongap.settings import LimitsSection, TreeSection
from monsoongap.transport.config_http import handlers
from tests.coordination.tree_world import World

ADMIN, ANNA = "admin-token", "anna-token"

Run = Callable[..., tuple[int, str, str]]


@pytest.fixture(scope="module")
def entry() -> Iterator[str]:
    """Serve two hosts' tree over HTTP from a thread; yields the URL."""
    listener = socket.create_server(("127.0.0.1", 0))
    ready = threading.Event()
    loops: list[asyncio.AbstractEventLoop] = []
    stops: list[asyncio.Event] = []

    async def serve() -> None:
        cfg = TreeSection(admin_token_hash=hash_token(ADMIN))
        world = World(cfg)
        tree = world.add_many(2)[0].tree
        service = ConfigService(tree, Tokens(cfg, tree))
        server = HTTPServer(Application(handlers(service, LimitsSection())))
        listener.setblocking(False)
        server.add_socket(listener)
        loops.append(asyncio.get_running_loop())
        stops.append(asyncio.Event())
        ready.set()
        await stops[0].wait()
        server.stop()
        await server.close_all_connections()
        await world.close()

    thread = threading.Thread(target=asyncio.run, args=(serve(),))
    thread.start()
    assert ready.wait(5)
    yield f"http://127.0.0.1:{listener.getsockname()[1]}"
    loops[0].call_soon_threadsafe(stops[0].set)
    thread.join(5)


@pytest.fixture
def run(
    entry: str,
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
    tmp_path: Path,
) -> Run:
    monkeypatch.setenv("MONSOONGAP_ENTRY", entry)
    monkeypatch.setenv("MONSOONGAP_TOKEN", ADMIN)
    monkeypatch.setenv("COLUMNS", "200")
    monkeypatch.chdir(tmp_path)

    def run_program(*words: str) -> tuple[int, str, str]:
        monkeypatch.setattr(sys, "argv", ["monsoongap", *words])
        with pytest.raises(SystemExit) as ended:
            main()
        told = capsys.readouterr()
        return int(ended.value.code or 0), told.out, told.err

    return run_program


def test_file_edit_loses_a_race_and_nothing_that_was_typed(
    run: Run, tmp_path: Path
) -> None:
    subtree = "teams/bolts"
    hashes = f"operator_hashes=anna={hash_token(ANNA)}"
    code, out, _ = run("config", "set", subtree, "quota_slots=10", hashes)
    assert code == 0 and "revision 1" in out
    code, out, _ = run("config", "get", subtree)
    assert out.startswith("# revision 1\n[teams/bolts]\n") and "quota_slots = 10" in out
    mine = tmp_path / "bolts.ini"
    mine.write_text(out.replace("= 10", "= 20") + "max_tasks = 77\n")
    code, out, _ = run("config", "diff", subtree, "--file", str(mine), "--json")
    assert {item["key"] for item in json.loads(out)} == {"quota_slots", "max_tasks"}
    token = tmp_path / "token"
    token.write_text(ANNA + "\n")
    theirs = ("quota_slots=30", "--token-file", str(token))
    assert run("config", "set", subtree, *theirs)[0] == 0
    code, _, err = run(
        "config", "set", subtree, "--file", str(mine), "--unset", "max_deadline_ms"
    )
    assert code == 1
    assert "anna changed teams/bolts first: revision 2" in err
    assert "quota_slots: 30 is in force, yours was 20" in err
    assert "max_tasks: not set is in force, yours was 77" in err
    command = next(line for line in err.splitlines() if "monsoongap config set" in line)
    code, out, _ = run(*shlex.split(command)[1:], "--json")
    assert code == 0 and json.loads(out)["revision"] == 3
    code, out, _ = run("config", "get", subtree, "quota_slots")
    assert out == "20\n"
    code, out, _ = run("config", "history", subtree, "--json")
    decisions = [item["decision"] for item in json.loads(out)["verdicts"]]
    assert decisions == ["accepted", "accepted", "stale", "accepted"]
    code, out, _ = run("config", "diff", subtree, "--base", "2", "--json")
    assert [item["before"] for item in json.loads(out)] == [None, "30"]
    code, out, _ = run("config", "status", subtree, "--json")
    assert [item["revision"] for item in json.loads(out)["hosts"]] == [3, 3]
    replaced = ("quota_slots=1", "--replace", "--json")
    assert run("config", "set", subtree, *replaced)[0] == 0
    code, out, _ = run("config", "get", subtree, "--json")
    assert [item["key"] for item in json.loads(out)["subtree"]["values"]] == [
        "quota_slots"
    ]
    seen = {
        ("list",): "teams/bolts",
        ("history", subtree): "quota_slots: 30 -> 20",
        ("status", subtree): "ago",
        ("diff", subtree): "quota_slots",
    }
    for words, expected in seen.items():
        code, out, _ = run("config", *words)
        assert code == 0 and expected in out


def test_lost_reply_is_sent_again_under_the_same_change_id(
    run: Run, monkeypatch: pytest.MonkeyPatch
) -> None:
    sent: list[str] = []
    real = Endpoint.call

    async def lossy(self: Endpoint, method: str, path: str, *rest: object) -> object:
        reply = await real(self, method, path, *rest)
        if method == "PUT":
            sent.append(rest[1].change)
            if len(sent) in (1, 3, 4, 5):
                raise Unreachable("the reply was lost")
        return reply

    monkeypatch.setattr(config_calls, "RETRY_S", 0.01)
    monkeypatch.setattr(client.Endpoint, "call", lossy)
    code, out, _ = run("config", "set", "teams/lost", "quota_slots=5")
    assert code == 0 and "revision 1" in out
    assert len(sent) == 2 and len(set(sent)) == 1
    code, _, err = run("config", "set", "teams/lost", "quota_slots=6")
    assert code == 3
    again = err.split("send it again with")[1].split()
    code, out, _ = run("config", "set", "teams/lost", "quota_slots=6", *again)
    assert code == 0 and "revision 2" in out


def test_refusals_are_one_sentence_with_an_exit_code(
    run: Run, monkeypatch: pytest.MonkeyPatch, tmp_path: Path
) -> None:
    faulty = ("teams/x", "quota_slots=-1", "max_tasks=many", "colour=red")
    code, out, _ = run("config", "validate", *faulty)
    assert code == 1 and len(out.splitlines()) == 3
    code, _, err = run("config", "set", *faulty)
    assert code == 1 and err.count("\n") == 1
    assert all(key in err for key in ("quota_slots", "max_tasks", "colour"))
    assert run("config", "validate", "teams/x", "quota_slots=1")[0] == 0
    assert run("config", "set", "teams/x", "no-value")[0] == 2
    assert run("config", "get", "teams/x", "colour")[0] == 2
    wrong = tmp_path / "wrong.ini"
    wrong.write_text("[teams/y]\nquota_slots = 1\n")
    assert run("config", "set", "teams/x", "--file", str(wrong))[0] == 2
    assert run("config", "set", "teams/x", "--file", "missing.ini")[0] == 2
    code, _, err = run("config", "get", "teams/x", "--entry", "http://127.0.0.1:9")
    assert code == 3 and "does not answer" in err and err.count("\n") == 1
    monkeypatch.setenv("MONSOONGAP_TOKEN", "guess")
    code, _, err = run("config", "get", "root")
    assert code == 1 and "unauthorized" in err and "guess" not in err
    code, out, _ = run("config", "token")
    fresh, hashed = (line.split()[1] for line in out.splitlines())
    assert code == 0 and hash_token(fresh) == hashed


@pytest.mark.parametrize(
    ("method", "path", "body", "status", "error"),
    [
        ("PUT", "subtrees/root", b"x" * 40_000, 413, "too_large"),
        ("PUT", "subtrees/root", b"{}", 400, "bad_request"),
        ("PUT", "subtrees/teams/a%20b", b"{}", 404, None),
        ("GET", "diff/root?base=-1", None, 400, "bad_request"),
        ("GET", "subtrees/root", None, 401, "unauthorized"),
    ],
)
def test_http_answers_are_those_of_the_error_table(
    entry: str, method: str, path: str, body: bytes | None, status: int, error: str
) -> None:
    url = f"{entry}/v1/config/{path}"
    request = HTTPRequest(url, method, body=body)
    reply = HTTPClient().fetch(request, raise_error=False)
    assert reply.code == status
    if error is not None:
        assert msgspec.json.decode(reply.body)["error"] == error
