"""Tests of the platform's clients against a scripted HTTP server."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from contextlib import asynccontextmanager

import pytest
from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPServerRequest
from tornado.testing import bind_unused_port
from tornado.web import Application, RequestHandler

from monsoongap.errors import LogTrimmed, LogUnavailable
from monsoongap.settings import EntrySettings, HostSection, PlatformSection
from monsoongap.transport.platform_client import HostListClient, LogClient

PAGE = {"records": [{"offset": 7, "data": "{}"}], "first": 3, "next": 8}


class Scripted(RequestHandler):
    """Answers every request with the script's next step."""

    script: list[tuple[int, object] | None]
    seen: list[HTTPServerRequest]

    async def prepare(self) -> None:
        self.seen.append(self.request)
        step = self.script.pop(0) if len(self.script) > 1 else self.script[0]
        if step is None:
            await asyncio.sleep(60)
            return
        self.set_status(step[0])
        body = step[1]
        self.finish(body if isinstance(body, str) else json.dumps(body))


@asynccontextmanager
async def platform(*script: tuple[int, object] | None):
    seen: list[HTTPServerRequest] = []
    members = {"script": list(script), "seen": seen}
    handler = type("Handler", (Scripted,), members)
    sock, port = bind_unused_port()
    server = HTTPServer(Application([(".*", handler)]))
    server.add_socket(sock)
    url = f"http://127.0.0.1:{port}"
    section = PlatformSection(log_url=url, hosts_url=url, timeout_s=0.3)
    yield EntrySettings(HostSection("e1", "ibk"), platform=section), seen
    server.stop()
    await server.close_all_connections()


async def append(cfg: EntrySettings) -> int:
    return await LogClient(cfg).append("claims/1", ('{"a":1}', "{}"))


async def read(cfg: EntrySettings) -> object:
    return await LogClient(cfg).read("claims/1", 7, 10, 50)


async def fetch(cfg: EntrySettings) -> object:
    return await HostListClient(cfg).fetch()


def test_log_calls_travel_on_one_kept_connection() -> None:
    async def main() -> None:
        async with platform((200, {"offset": 5}), (200, PAGE)) as (cfg, seen):
            client = LogClient(cfg)
            assert await client.append("claims/1", ('{"a":1}', "{}")) == 5
            page = await client.read("claims/1", 7, 10, 50)
            assert (page.records[0].offset, page.first, page.next) == (7, 3, 8)
            client.close()
        assert json.loads(seen[0].body) == {"records": ['{"a":1}', "{}"]}
        assert seen[0].path == "/v1/log/claims%2F1"
        assert seen[1].query == "from=7&limit=10&wait_ms=50"
        assert seen[0].connection.stream is seen[1].connection.stream

    asyncio.run(main())


@pytest.mark.parametrize("call", [append, read, fetch])
@pytest.mark.parametrize("step", [None, (500, "down"), (200, "{"), (200, {"x": 1})])
def test_every_fault_of_the_platform_is_an_outage(
    call: Callable[[EntrySettings], Awaitable[object]],
    step: tuple[int, object] | None,
) -> None:
    async def main() -> None:
        async with platform(step) as (cfg, _):
            with pytest.raises(LogUnavailable):
                await call(cfg)
        with pytest.raises(LogUnavailable):  # the server is gone
            await call(cfg)

    asyncio.run(main())


@pytest.mark.parametrize(
    "wrong",
    [
        {"records": [{"offset": 6, "data": "{}"}], "next": 8},
        {"records": [{"offset": 8, "data": "{}"}] * 2, "next": 9},
        {"next": 7},
    ],
)
def test_a_page_that_does_not_fit_the_read_is_refused(wrong: dict[str, object]) -> None:
    async def main() -> None:
        async with platform((200, PAGE | wrong)) as (cfg, _):
            with pytest.raises(LogUnavailable):
                await read(cfg)

    asyncio.run(main())


def test_a_read_below_the_oldest_offset_tells_where_the_log_starts() -> None:
    async def main() -> None:
        async with platform((410, {"first": 42})) as (cfg, _):
            with pytest.raises(LogTrimmed) as caught:
                await read(cfg)
            assert caught.value.first_offset == 42

    asyncio.run(main())


def test_an_unchanged_host_list_is_not_sent_again() -> None:
    async def main() -> None:
        hosts = {"version": 4, "hosts": []}
        async with platform((200, hosts)) as (cfg, seen):
            client = HostListClient(cfg)
            first = await client.fetch()
            assert await client.fetch() is first
            assert "If-None-Match" not in seen[0].headers
            assert "If-None-Match" in seen[1].headers

    asyncio.run(main())
