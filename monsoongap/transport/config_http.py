"""The operators' settings interface over HTTP.

| call | meaning |
| --- | --- |
| `GET /v1/config` | every subtree with its revision |
| `GET /v1/config/subtrees/{subtree}` | one subtree |
| `PUT /v1/config/subtrees/{subtree}` | propose a change, answered once decided |
| `POST /v1/config/validate/{subtree}` | the faults a change would have |
| `GET /v1/config/diff/{subtree}?base=N` | what changed since a revision |
| `GET /v1/config/history/{subtree}` | the latest verdicts |
| `GET /v1/config/status/{subtree}` | which host has which revision |

`{subtree}` is `root` or `teams/<team>`. Every call needs an operator's token.
"""

from dataclasses import replace
from typing import Any

from monsoongap.coordination.tree_service import ConfigRequest, ConfigService
from monsoongap.errors import DispatchError, ErrorKind
from monsoongap.protocol.tree import ChangeRequest
from monsoongap.settings import LimitsSection
from monsoongap.transport.http_base import JsonHandler

MAX_BODY_BYTES = 32_768

_SUBTREE = r"(root|teams/[A-Za-z0-9_.-]{1,64})"

Route = tuple[str, type[JsonHandler], dict[str, Any]]


class _ConfigHandler(JsonHandler):
    service: ConfigService

    def asked(self, subtree: str) -> ConfigRequest:
        """Return who asks about which subtree."""
        return ConfigRequest(subtree, self.bearer_token())


class ListHandler(_ConfigHandler):
    """`GET /v1/config`."""

    async def get(self) -> None:
        """Answer with every subtree."""
        self.reply(await self.service.subtrees(self.bearer_token()))


class SubtreeHandler(_ConfigHandler):
    """`GET` and `PUT /v1/config/subtrees/{subtree}`."""

    async def get(self, subtree: str) -> None:
        """Answer with one subtree."""
        self.reply(await self.service.get(self.asked(subtree)))

    async def put(self, subtree: str) -> None:
        """Propose a change; answers once it was read back from the log."""
        body = self.body_as(ChangeRequest)
        self.reply(await self.service.set(self.asked(subtree), body))


class ValidateHandler(_ConfigHandler):
    """`POST /v1/config/validate/{subtree}`."""

    async def post(self, subtree: str) -> None:
        """Answer with the faults of a change."""
        body = self.body_as(ChangeRequest)
        self.reply(await self.service.validate(self.asked(subtree), body))


class DiffHandler(_ConfigHandler):
    """`GET /v1/config/diff/{subtree}?base=N`."""

    async def get(self, subtree: str) -> None:
        """Answer with what changed since revision `base`."""
        base = self.get_query_argument("base", "0")
        if not (base.isascii() and base.isdigit()):
            raise DispatchError(ErrorKind.BAD_REQUEST, "base is not a revision")
        self.reply(await self.service.diff(self.asked(subtree), int(base)))


class HistoryHandler(_ConfigHandler):
    """`GET /v1/config/history/{subtree}`."""

    async def get(self, subtree: str) -> None:
        """Answer with the latest verdicts."""
        self.reply(await self.service.history(self.asked(subtree)))


class StatusHandler(_ConfigHandler):
    """`GET /v1/config/status/{subtree}`."""

    async def get(self, subtree: str) -> None:
        """Answer with one line per entry host."""
        self.reply(await self.service.status(self.asked(subtree)))


def handlers(service: ConfigService, limits: LimitsSection) -> list[Route]:
    """Return the tornado routes of the settings interface."""
    bounded = replace(limits, body_bytes=min(limits.body_bytes, MAX_BODY_BYTES))
    parts: dict[str, Any] = {"limits": bounded, "service": service}
    return [
        (r"/v1/config", ListHandler, parts),
        (rf"/v1/config/subtrees/{_SUBTREE}", SubtreeHandler, parts),
        (rf"/v1/config/validate/{_SUBTREE}", ValidateHandler, parts),
        (rf"/v1/config/diff/{_SUBTREE}", DiffHandler, parts),
        (rf"/v1/config/history/{_SUBTREE}", HistoryHandler, parts),
        (rf"/v1/config/status/{_SUBTREE}", StatusHandler, parts),
    ]
