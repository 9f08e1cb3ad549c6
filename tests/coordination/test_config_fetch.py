"""Tests of fetches of configurations from other hosts."""

import asyncio
import random
import string
import zlib
from dataclasses import replace

import msgspec
import pytest

from monsoongap.coordination.host import Host
from monsoongap.protocol.messages import (
    ConfigCall,
    ConfigReply,
    Configuration,
    QueueRule,
    UpstreamRule,
)
from tests.coordination.test_host import run_virtual
from tests.host_world import UPSTREAM, World

# A host that the store turns away gets a configuration from the others within this.
LIMIT_S = 2.0
# The slowest link of the users' hosts.
LINK_BYTES_PER_S = 12.5e6 / 8


def apply(host: Host, config: Configuration) -> None:
    host.directory.accept_text(msgspec.json.encode(config), "test")


def large_config(version: int, size_bytes: int) -> Configuration:
    """Return a configuration of a size, whose names do not repeat."""
    rng = random.Random(version)

    def name() -> str:
        return "".join(rng.choices(string.ascii_lowercase + string.digits, k=7))

    rule = QueueRule(name(), "h", f"/{name()}/", UPSTREAM, 1.5, 0, 2)
    count = size_bytes // len(msgspec.json.encode(rule))
    queues = (QueueRule(name(), name(), f"/{name()}/", UPSTREAM, 1.5, 0, 2),) + tuple(
        replace(rule, name=name(), host=name(), path_prefix=f"/{name()}/")
        for _ in range(count)
    )
    return Configuration(version, queues, (UpstreamRule(UPSTREAM, True),))


# Issue 22: a fetch waited 1 s for the reply on a connection that had gone silent.
@pytest.mark.parametrize("silent_hosts", [1, 3])
def test_a_fetch_over_silent_connections_gets_the_configuration_in_time(
    silent_hosts: int,
) -> None:
    async def main() -> None:
        world = World({"ibk": 4, "kuf": 2})
        await world.start()
        await asyncio.sleep(1.0)
        behind, *others = world.hosts
        for other in others[:silent_hosts]:
            world.silent_connections[behind, other] = 8
        for other in others[:silent_hosts]:
            apply(world.hosts[other], replace(world.config, version=2))
        await asyncio.sleep(0.6)
        assert world.hosts[behind].directory.version == 2

    run_virtual(main())


# Issue 22: dozens of hosts fetched a large configuration from the only host that the
# store served; its link was too slow for all of them within the time of a call.
def test_a_large_configuration_reaches_hosts_that_the_store_turns_away() -> None:
    async def main() -> None:
        world = World({"ibk": 9, "kuf": 9, "lnz": 9, "ldk": 10})
        world.link_bytes_per_s = LINK_BYTES_PER_S
        await world.start()
        await asyncio.sleep(1.0)
        config = large_config(2, 250_000)
        apply(world.hosts["ibk-h0"], config)
        await asyncio.sleep(LIMIT_S)
        behind = [n for n, h in world.hosts.items() if h.directory.version < 2]
        assert behind == []

    run_virtual(main())


# Issue 22: a host that had fetched a version from the only holder paused before it
# asked that holder for the next one.
def test_versions_that_follow_each_other_are_fetched_from_one_holder() -> None:
    async def main() -> None:
        world = World({"ibk": 2})
        world.link_bytes_per_s = LINK_BYTES_PER_S
        await world.start()
        await asyncio.sleep(1.0)
        holder, behind = world.hosts.values()
        apply(holder, large_config(2, 250_000))
        await asyncio.sleep(0.11)
        apply(holder, large_config(3, 250_000))
        await asyncio.sleep(0.3)
        assert behind.directory.version == 3

    run_virtual(main())


# Guards against a packed text that fills the memory, or raises an error of zlib.
@pytest.mark.parametrize("packed", [b"odd", b"x\x9c", zlib.compress(bytes(2**24))])
def test_a_packed_configuration_that_is_malformed_is_rejected(packed: bytes) -> None:
    with pytest.raises(ValueError, match="packed configuration"):
        ConfigReply(2, b"", packed).unpack()


# Guards against a rolling upgrade in which earlier hosts cannot read the reply.
def test_a_host_of_an_earlier_version_gets_the_plain_text() -> None:
    async def main() -> None:
        world = World({"ibk": 2})
        await world.start()
        host = world.hosts["ibk-h0"]
        plain = await host.calls.answer(ConfigCall())
        packed = await host.calls.answer(ConfigCall(accepts_packed=True))
        assert plain.text == packed.unpack() == host.directory.text

    run_virtual(main())
