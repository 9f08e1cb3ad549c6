"""A running node as its HTTP handlers see it."""

from collections.abc import Callable

from monsoongap.coordination.home import Home
from monsoongap.coordination.node import Node
from monsoongap.metrics import Metrics
from monsoongap.protocol.messages import JobOutcome, JobRequest, JobView
from monsoongap.protocol.tree import ROOT
from monsoongap.transport.operators import (
    Draining,
    HostView,
    UpstreamView,
    peer_view,
)
from monsoongap.transport.workers import HttpWorkers


class ServedNode:
    """Implements `operators.NodeView`; `leave` starts the daemon's leaving."""

    def __init__(
        self,
        node: Node,
        workers: HttpWorkers,
        metrics: Metrics,
        leave: Callable[[], None],
    ) -> None:
        self.drain = node.drain
        self._node = node
        self._workers = workers
        self._metrics = metrics
        self._leave = leave
        metrics.add_counters("messages", lambda: workers.counts)
        metrics.add_counters("home", node.home.counters)
        metrics.add_counters("scheduler", node.scheduler.counters)
        metrics.add_counters("settings", node.tree.counters)
        metrics.add_gauge("jobs_in_flight", "Jobs in flight.", node.home.in_flight)
        metrics.add_gauge(
            "ready", "1 when callers may come.", lambda: int(node.ready())
        )

    def metrics_text(self, accepts: list[str]) -> tuple[bytes, dict[str, str]]:
        """Return the metrics and their headers."""
        return self._metrics.render(accepts)

    def ready(self) -> bool:
        """Tell whether the balancer may send callers here."""
        return self._node.ready()

    def hosts(self) -> tuple[HostView, ...]:
        """Return all entry hosts, this one first."""
        own = self._node.identity
        status = "leaving" if self.drain.draining else "live"
        this = HostView(
            own.name,
            own.dc,
            self._node.cfg.listen.peer,
            own.boot,
            status,
            self.in_flight(),
        )
        return (this, *(peer_view(peer) for peer in self._node.membership.peers()))

    def upstreams(self) -> tuple[UpstreamView, ...]:
        """Return the workers of this data centre."""
        held = {view.worker: view for view in self._node.scheduler.view().workers}
        return tuple(
            UpstreamView(
                name=info.name,
                dc=info.dc,
                status=info.status,
                health=held[info.name].health if info.name in held else "",
                slots=info.slots,
                own=held[info.name].own if info.name in held else 0,
                borrowed=held[info.name].borrowed if info.name in held else 0,
                lent=held[info.name].lent if info.name in held else 0,
                busy=held[info.name].busy if info.name in held else 0,
                connections=self._workers.open_connections(info.name),
            )
            for info in self._node.membership.workers()
        )

    def job_views(self) -> tuple[JobView, ...]:
        """Return the jobs in flight at this host."""
        return self._node.home.jobs()

    def in_flight(self) -> int:
        """Return the number of jobs in flight at this host."""
        return self._node.home.in_flight()

    def begin_drain(self) -> Draining:
        """Start leaving."""
        self._leave()
        return Draining(self._node.identity.name, True, self.in_flight())

    def check_operator(self, token: str | None) -> None:
        """Raise `DispatchError` unless the token is a platform operator's."""
        self._node.tokens.check_operator(ROOT, token)


class MeteredJobs:
    """Implements `callers.Jobs` and measures response times."""

    def __init__(self, home: Home, metrics: Metrics) -> None:
        self.issue = home.issue
        self.view = home.view
        self.cancel = home.cancel
        self._home = home
        self._metrics = metrics

    async def submit(self, submission: str, req: JobRequest) -> JobOutcome:
        """Run, join or replay a job."""
        return await self._metrics.timed(self._home.submit(submission, req))
