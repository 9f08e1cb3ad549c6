"""What operators and the balancer read over HTTP: state, health, metrics."""

from dataclasses import dataclass
from typing import Protocol

from monsoongap.coordination.parts import DrainState, PeerInfo
from monsoongap.protocol.messages import JobView
from monsoongap.transport.http_base import JsonHandler


@dataclass(frozen=True, slots=True)
class HostView:
    """One entry host as this host sees it. `boot` 0 means never heard."""

    name: str
    dc: str
    address: str
    boot: int
    status: str
    in_flight: int | None = None


@dataclass(frozen=True, slots=True)
class UpstreamView:
    """One worker as this host sees it; slot counts are this host's own."""

    name: str
    dc: str
    status: str
    health: str
    slots: int
    own: int
    borrowed: int
    lent: int
    busy: int
    connections: int


@dataclass(frozen=True, slots=True)
class Draining:
    """Body of the answer to `POST /v1/drain`."""

    host: str
    draining: bool
    in_flight: int


class NodeView(Protocol):
    """What the operators' handlers read of the node."""

    drain: DrainState

    def metrics_text(self, accepts: list[str]) -> tuple[bytes, dict[str, str]]:
        """Return the metrics and their headers."""
        ...

    def ready(self) -> bool:
        """Tell whether the balancer may send callers here."""
        ...

    def hosts(self) -> tuple[HostView, ...]:
        """Return all entry hosts, this one first."""
        ...

    def upstreams(self) -> tuple[UpstreamView, ...]:
        """Return the workers of this data centre."""
        ...

    def job_views(self) -> tuple[JobView, ...]:
        """Return the jobs in flight at this host."""
        ...

    def in_flight(self) -> int:
        """Return the number of jobs in flight at this host."""
        ...

    def begin_drain(self) -> Draining:
        """Start leaving: refuse new jobs, finish what is in flight."""
        ...

    def check_operator(self, token: str | None) -> None:
        """Raise `DispatchError` unless the token is a platform operator's."""
        ...


class _NodeHandler(JsonHandler):
    node: NodeView


class HealthHandler(_NodeHandler):
    """`GET /healthz`: the process runs its event loop."""

    async def get(self) -> None:
        """Answer `ok`."""
        self.finish("ok\n")


class ReadyHandler(_NodeHandler):
    """`GET /readyz`: callers may be sent here."""

    async def get(self) -> None:
        """Answer 200 when ready, else 503."""
        ready = self.node.ready()
        self.set_status(200 if ready else 503)
        self.finish("ready\n" if ready else "not ready\n")


class MetricsHandler(_NodeHandler):
    """`GET /metrics`: Prometheus text."""

    async def get(self) -> None:
        """Render the registry in the form that the reader accepts."""
        accepts = self.request.headers.get_list("Accept")
        content, headers = self.node.metrics_text(accepts)
        for name, value in headers.items():
            self.set_header(name, value)
        self.finish(content)


class HostsHandler(_NodeHandler):
    """`GET /v1/hosts`."""

    async def get(self) -> None:
        """Answer with every entry host known."""
        self.reply(self.node.hosts())


class UpstreamsHandler(_NodeHandler):
    """`GET /v1/upstreams`."""

    async def get(self) -> None:
        """Answer with every worker of this data centre."""
        self.reply(self.node.upstreams())


class JobListHandler(_NodeHandler):
    """`GET /v1/operator/jobs`: jobs in flight at this host."""

    async def get(self) -> None:
        """Answer with the jobs in flight."""
        self.node.check_operator(self.bearer_token())
        self.reply(self.node.job_views())


class DrainHandler(_NodeHandler):
    """`POST /v1/drain`."""

    async def post(self) -> None:
        """Start leaving; needs a platform operator's token."""
        self.node.check_operator(self.bearer_token())
        self.reply(self.node.begin_drain())


def peer_view(peer: PeerInfo) -> HostView:
    """Describe a peer."""
    return HostView(peer.name, peer.dc, peer.address, peer.boot, peer.status)
