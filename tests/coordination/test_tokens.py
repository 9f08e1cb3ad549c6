"""Tests of tokens and of what operators may ask of the settings tree."""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import pytest

from monsoongap.coordination.tokens import Tokens, hash_token, new_token
from monsoongap.coordination.tree_service import ConfigRequest, ConfigService
from monsoongap.errors import DispatchError, ErrorKind
from monsoongap.protocol.tree import ChangeRequest, Entry
from monsoongap.settings import TreeSection
from monsoongap.standin.faults import LogOutage
from tests.clock import run_virtual
from tests.coordination.tree_world import World, wait_until

ADMIN, ROOT_OPERATOR, ANNA, BERT, CALLER = (new_token() for _ in range(5))
BOLTS, CRACKS = "teams/bolts", "teams/cracks"


@dataclass(frozen=True, slots=True)
class Desk:
    """A system of one host with operators for the root and for two teams."""

    world: World
    tokens: Tokens
    service: ConfigService


def with_desk(use: Callable[[Desk], Awaitable[None]], **cfg: object) -> None:
    async def main() -> None:
        section = TreeSection(admin_token_hash=hash_token(ADMIN), **cfg)
        world = World(section)
        (host,) = world.add_many(1)
        tokens = Tokens(section, host.tree)
        desk = Desk(world, tokens, ConfigService(host.tree, tokens))
        operators = {"root": ROOT_OPERATOR, BOLTS: ANNA, CRACKS: BERT}
        for index, (subtree, token) in enumerate(operators.items()):
            entry = Entry("operator_hashes", f"op{index}={hash_token(token)}")
            body = ChangeRequest(f"begin-{subtree[-4:]}", 0, (entry,))
            await desk.service.set(ConfigRequest(subtree, ADMIN), body)
        await wait_until(lambda: host.tree.loaded, 3.0)
        await use(desk)
        await world.close()

    run_virtual(main())


def kind_of(call: Callable[[], object]) -> ErrorKind | None:
    try:
        call()
    except DispatchError as exc:
        return exc.kind
    return None


def test_each_operator_changes_only_what_is_theirs(caplog) -> None:
    async def use(desk: Desk) -> None:
        check = desk.tokens.check_operator
        assert check(BOLTS, ANNA) == "op1"
        assert check(BOLTS, ROOT_OPERATOR) == check(CRACKS, ROOT_OPERATOR) == "op0"
        assert check("teams/new", ADMIN) == "admin"
        refused = {
            (CRACKS, ANNA): ErrorKind.FORBIDDEN,
            ("root", ANNA): ErrorKind.FORBIDDEN,
            (BOLTS, BERT): ErrorKind.FORBIDDEN,
            (BOLTS, "guess"): ErrorKind.UNAUTHORIZED,
            (BOLTS, hash_token(ANNA)): ErrorKind.UNAUTHORIZED,
            (BOLTS, ""): ErrorKind.UNAUTHORIZED,
            (BOLTS, None): ErrorKind.UNAUTHORIZED,
        }
        for (subtree, token), kind in refused.items():
            caplog.clear()
            assert kind_of(lambda s=subtree, t=token: check(s, t)) is kind
            assert len(caplog.records) == 1 and caplog.records[0].reason
        assert desk.tokens.check_reader("root", BERT)
        assert kind_of(lambda: desk.tokens.check_reader(CRACKS, ANNA))

    with caplog.at_level(logging.DEBUG):
        with_desk(use)
    logged = "\n".join(str(record.__dict__) for record in caplog.records)
    secrets = (ADMIN, ROOT_OPERATOR, ANNA, BERT)
    assert not any(secret in logged for secret in secrets)


def test_callers_need_their_teams_token_and_unnamed_teams_are_open() -> None:
    async def use(desk: Desk) -> None:
        entry = Entry("token_hashes", f"{hash_token('x')}, {hash_token(CALLER)}")
        body = ChangeRequest("callers-1", 1, (entry,))
        await desk.service.set(ConfigRequest(BOLTS, ANNA), body)
        check = desk.tokens.check_caller
        assert kind_of(lambda: check("bolts", CALLER)) is None
        assert kind_of(lambda: check("bolts", ANNA)) is ErrorKind.FORBIDDEN
        assert kind_of(lambda: check("bolts", None)) is ErrorKind.UNAUTHORIZED
        assert kind_of(lambda: check("cracks", None)) is None
        assert kind_of(lambda: check("unnamed", None)) is None
        # A fresh host must not take a team for open before it knows the tree.
        desk.world.model.set_faults((LogOutage(600.0),))
        await desk.world.stop("entry-00")
        fresh = Tokens(TreeSection(), desk.world.add("fresh").tree)
        await asyncio.sleep(5.0)
        unknown = kind_of(lambda: fresh.check_caller("bolts", None))
        assert unknown is ErrorKind.LOG_UNAVAILABLE

    with_desk(use)


def test_a_closed_system_takes_named_teams_alone() -> None:
    async def use(desk: Desk) -> None:
        assert kind_of(lambda: desk.tokens.check_caller("cracks", None)) is None
        unnamed = kind_of(lambda: desk.tokens.check_caller("unnamed", None))
        assert unnamed is ErrorKind.FORBIDDEN

    with_desk(use, open=False)


def test_service_answers_from_the_error_table_and_checks_every_call() -> None:
    async def use(desk: Desk) -> None:
        anna = ConfigRequest(BOLTS, ANNA)
        quota = (Entry("quota_slots", "40"),)
        stale = ChangeRequest("stale-001", 0, quota)
        with pytest.raises(DispatchError) as caught:
            await desk.service.set(anna, stale)
        assert caught.value.kind is ErrorKind.STALE_REVISION
        assert "last changed by admin" in caught.value.detail
        faulty = ChangeRequest("faulty-01", 1, (Entry("quota_slots", "-1"),))
        with pytest.raises(DispatchError) as caught:
            await desk.service.set(anna, faulty)
        assert caught.value.kind is ErrorKind.BAD_REQUEST
        assert len((await desk.service.validate(anna, stale)).faults) == 1
        verdict = await desk.service.set(anna, ChangeRequest("fine-0001", 1, quota))
        assert (verdict.author, verdict.revision) == ("op1", 2)
        reply = await desk.service.get(anna)
        assert Entry("max_tasks", "10000") in reply.in_force
        diff = await desk.service.diff(anna, 1)
        assert [item.key for item in diff.differences] == ["quota_slots"]
        with pytest.raises(DispatchError) as caught:
            await desk.service.diff(anna, 9)
        assert caught.value.kind is ErrorKind.NOT_FOUND
        bert = ConfigRequest(BOLTS, BERT)
        calls = (
            desk.service.get(bert),
            desk.service.set(bert, stale),
            desk.service.validate(bert, stale),
            desk.service.diff(bert, 0),
            desk.service.history(bert),
            desk.service.status(bert),
        )
        for call in calls:
            with pytest.raises(DispatchError) as caught:
                await call
            assert caught.value.kind is ErrorKind.FORBIDDEN

    with_desk(use)
