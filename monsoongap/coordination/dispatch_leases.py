"""Start leases per worker, from the clock stamp of its latest report.

One entry per worker of the data centre, about 250 bytes each.
"""

import asyncio
from dataclasses import dataclass

from monsoongap.coordination.parts import Directory
from monsoongap.coordination.ports import WorkerPort
from monsoongap.errors import StartAmbiguous, WorkerUnreachable
from monsoongap.protocol.messages import StartLease
from monsoongap.settings import WorkersSection
from monsoongap.timers import Subscription, TimerService

SCAN_S = 2.0
MAX_AGE_S = 60.0
FIRST_LOOK_S = 0.01
FIRST_PROBES_S = 0.2
START_UP_S = 3.0


@dataclass(frozen=True, slots=True)
class Stamp:
    """A worker's boot number and clock, and when they were received here."""

    boot: int
    clock_ms: int
    received_at: float


class LeaseTable:
    """Keeps the latest stamp of each worker and derives start leases."""

    def __init__(
        self,
        cfg: WorkersSection,
        workers: WorkerPort,
        directory: Directory,
        timers: TimerService,
    ) -> None:
        self._cfg = cfg
        self._workers = workers
        self._directory = directory
        self._timers = timers
        self._stamps: dict[str, Stamp] = {}
        self._probes: dict[str, asyncio.Task[None]] = {}
        self._subscription: Subscription | None = None
        self._started_at = -START_UP_S
        self.probes = 0

    def start(self) -> None:
        """Begin to ask listed workers that have not reported for `MAX_AGE_S`."""
        self._started_at = self._timers.now()
        self._directory.subscribe(self._scan)
        self._subscription = self._timers.every(SCAN_S, self._scan, "leases")
        self._scan()

    def close(self) -> None:
        """Stop asking."""
        if self._subscription is not None:
            self._subscription.cancel()
        for probe in self._probes.values():
            probe.cancel()

    def boot(self, worker: str) -> int | None:
        """Return the latest boot number seen of a worker."""
        stamp = self._stamps.get(worker)
        return None if stamp is None else stamp.boot

    async def any_known(self, wait_s: float) -> bool:
        """Wait for a listed worker's boot number; False when none came in time.

        A host that has just started knows no worker for a moment, then only those
        that answered first, and waits for the others too.
        """
        give_up_at = self._timers.now() + wait_s
        while not self._stamps:
            if self._timers.now() >= give_up_at:
                return False
            self._scan()
            await self._timers.sleep(FIRST_LOOK_S)
        probes = tuple(self._probes.values())
        if probes and self._timers.now() < self._started_at + START_UP_S:
            await asyncio.wait(probes, timeout=FIRST_PROBES_S)
        return True

    def note(self, worker: str, boot: int, clock_ms: int) -> None:
        """Keep a stamp unless a newer one is known."""
        known = self._stamps.get(worker)
        stamp = Stamp(boot, clock_ms, self._timers.now())
        if known is None or (boot, clock_ms) > (known.boot, known.clock_ms):
            self._stamps[worker] = stamp

    async def fresh(self, worker: str) -> StartLease:
        """Return a lease with at least half of its time left.

        Asks the worker when the latest stamp is older. Raises
        `WorkerUnreachable` when it does not answer.
        """
        half_s = self._cfg.lease_s / 2
        stamp = self._stamps.get(worker)
        if stamp is None or self._timers.now() - stamp.received_at > half_s:
            await asyncio.shield(self._probe(worker))
            stamp = self._stamps.get(worker)
        if stamp is None or self._timers.now() - stamp.received_at > half_s:
            raise WorkerUnreachable(f"{worker} gave no clock stamp")
        return StartLease(stamp.boot, stamp.clock_ms + round(self._cfg.lease_s * 1000))

    def _probe(self, worker: str) -> asyncio.Task[None]:
        probe = self._probes.get(worker)
        if probe is None:
            probe = asyncio.create_task(self._ask(worker), name=f"lease:{worker}")
            self._probes[worker] = probe
            probe.add_done_callback(lambda _: self._probes.pop(worker, None))
        return probe

    async def _ask(self, worker: str) -> None:
        self.probes += 1
        try:
            async with asyncio.timeout(self._cfg.connect_timeout_s):
                usage = await self._workers.usage(worker)
        except (TimeoutError, WorkerUnreachable, StartAmbiguous):
            self._directory.report_silent(worker)
            return
        if usage.worker == worker:
            self.note(worker, usage.boot, usage.clock_ms)
            self._directory.report_alive(worker)

    def _scan(self) -> None:
        listed = {info.name for info in self._directory.workers()}
        for gone in self._stamps.keys() - listed:
            del self._stamps[gone]
        old = self._timers.now() - MAX_AGE_S
        for name in sorted(listed):
            stamp = self._stamps.get(name)
            if stamp is None or stamp.received_at < old:
                self._probe(name)
