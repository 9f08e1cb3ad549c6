"""Probing the workers whose state only they can tell.

A probe asks for a worker's usage. At most `PROBES_AT_ONCE` run, each worker is
probed with a growing pause, and those that hold back work (silent or leaving ones)
come before those that the list no longer names.
"""

import asyncio
import logging
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from monsoongap.errors import StartAmbiguous, WorkerUnreachable
from monsoongap.protocol.messages import WorkerUsage
from monsoongap.timers import TimerService

log = logging.getLogger(__name__)

PROBES_AT_ONCE = 16
PROBE_TIMEOUT_S = 2.0
FIRST_PAUSE_S = 0.5
LAST_PAUSE_S = 4.0

Probe = Callable[[str], Awaitable[WorkerUsage]]


@dataclass(slots=True)
class _Pause:
    """When a worker may be probed next."""

    due_at: float
    pause_s: float


class WorkerProbes:
    """Runs the probes that `tick` is asked for."""

    def __init__(
        self,
        answered: Callable[[WorkerUsage], None],
        failed: Callable[[str], None],
        timers: TimerService,
        rng: random.Random,
    ) -> None:
        self.probe: Probe | None = None
        self._answered = answered
        self._failed = failed
        self._timers = timers
        self._rng = rng
        self._pauses: dict[str, _Pause] = {}
        self._running: dict[str, asyncio.Task[None]] = {}

    def tick(self, wanted: list[str]) -> None:
        """Probe those of `wanted` that are due, the first ones first."""
        for name in self._pauses.keys() - set(wanted):
            del self._pauses[name]
        if self.probe is None:
            return
        now = self._timers.now()
        for name in wanted:
            if len(self._running) >= PROBES_AT_ONCE:
                return
            pause = self._pauses.get(name)
            if name in self._running or (pause is not None and now < pause.due_at):
                continue
            self._running[name] = asyncio.create_task(
                self._run(name, self.probe), name=f"probe:{name}"
            )

    def stop(self) -> None:
        """Cancel the probes that run."""
        for task in self._running.values():
            task.cancel()

    async def _run(self, name: str, probe: Probe) -> None:
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                usage = await probe(name)
        except (WorkerUnreachable, StartAmbiguous, TimeoutError) as exc:
            log.debug("probe failed", extra={"upstream": name, "reason": str(exc)})
            self._failed(name)
        else:
            self._answered(usage)
        finally:
            self._note_pause(name)
            del self._running[name]

    def _note_pause(self, name: str) -> None:
        pause = self._pauses.get(name)
        pause_s = FIRST_PAUSE_S
        if pause is not None:
            pause_s = min(2 * pause.pause_s, LAST_PAUSE_S)
        due_at = self._timers.now() + pause_s * self._rng.uniform(0.8, 1.2)
        self._pauses[name] = _Pause(due_at, pause_s)
