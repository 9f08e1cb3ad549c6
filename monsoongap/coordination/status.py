"""The status of one entry host and of what it sees, for operators."""

from collections.abc import Iterator
from dataclasses import dataclass

from monsoongap.coordination.heartbeats import Peer
from monsoongap.coordination.host import Host


@dataclass(frozen=True, slots=True)
class HostRow:
    """An entry host as this one sees it; `heard_ms_ago` is None for itself."""

    host: str
    dc: str
    live: bool
    heard_ms_ago: int | None
    config_version: int
    shares: int
    waiting: int


@dataclass(frozen=True, slots=True)
class ShareRow:
    """A share of a data centre's runners and its owner as this host sees it.

    `of` is the number of shares of the data centre, 0 if no host owns the share.
    """

    dc: str
    share: int
    of: int
    owner: str
    fence: int


@dataclass(frozen=True, slots=True)
class RunnerRow:
    """A runner that this host owns, with its free capacity."""

    runner: str
    dc: str
    state: str
    draining: bool
    runs: int
    free_cpu_milli: int
    free_mem_mb: int
    suspect: bool
    looks: int
    starts: int


@dataclass(frozen=True, slots=True)
class HostStatus:
    """Everything that `monsoongap status` shows of one entry host.

    `runners_age_s` is the age of the list of runners, `loop_late_ms` the lag of the
    event loop. `evacuated` names the evacuated data centres, as of `evac_offset` in the
    operator's log; -1 if they are not known, or the deployment has no evacuations.
    """

    host: str
    dc: str
    ready: bool
    leaving: bool
    config_version: int
    runners_age_s: float
    jobs: int
    waiting_tasks: int
    loop_late_ms: int
    hosts: tuple[HostRow, ...]
    shares: tuple[ShareRow, ...]
    runners: tuple[RunnerRow, ...]
    evacuated: tuple[str, ...] = ()
    evac_offset: int = -1


def status_of(host: Host) -> HostStatus:
    """Return the current status of a host."""
    now = host.timers.now()
    return HostStatus(
        host.card.name,
        host.card.dc,
        host.ready,
        host.leaving,
        host.directory.version,
        round(now - host.directory.list_age.read_at, 3),
        host.jobs.in_flight,
        host.pool.waiting,
        round(host.jobs.lag_s * 1000),
        tuple(_hosts(host, now)),
        tuple(_shares(host)),
        tuple(_runners(host, now)),
        tuple(sorted(host.directory.evacuation.dcs)),
        host.directory.evacuation.offset,
    )


def _hosts(host: Host, now: float) -> Iterator[HostRow]:
    yield HostRow(
        host.card.name,
        host.card.dc,
        True,
        None,
        host.directory.version,
        len(host.ownership.claims),
        host.pool.waiting,
    )
    for peer in sorted(host.members.all(), key=lambda p: p.card.name):
        yield _peer_row(peer, host.members.is_live(peer.card.name), now)


def _peer_row(peer: Peer, live: bool, now: float) -> HostRow:
    heartbeat = peer.heartbeat
    if heartbeat is None:
        return HostRow(peer.card.name, peer.card.dc, live, None, 0, 0, 0)
    heartbeat_age_ms = round((now - peer.last_heartbeat_at) * 1000)
    return HostRow(
        peer.card.name,
        peer.card.dc,
        live,
        heartbeat_age_ms,
        heartbeat.config_version,
        len(heartbeat.claims),
        heartbeat.queued,
    )


def _shares(host: Host) -> Iterator[ShareRow]:
    for share in host.ownership.all_shares():
        owner = host.ownership.owner_of(share)
        if owner is None:
            yield ShareRow(share.dc, share.index, 0, "", 0)
            continue
        name = owner.peer.card.name if owner.peer else host.card.name
        claim = owner.claim
        yield ShareRow(share.dc, share.index, claim.share_count, name, claim.fence)


def _runners(host: Host, now: float) -> Iterator[RunnerRow]:
    usual = host.pool.usual_slowness
    for id_, link in sorted(host.pool.links.items()):
        table = link.table
        yield RunnerRow(
            id_,
            link.info.dc,
            link.state.name.lower(),
            link.info.draining,
            len(table.runs),
            table.free.cpu_milli,
            table.free.mem_mb,
            table.health.is_suspect(now, usual),
            link.polls,
            link.starts,
        )
