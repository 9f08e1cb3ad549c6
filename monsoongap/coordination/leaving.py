"""Leaving in good order: what a host does between its first signal and its exit.

The host turns unready and tells its peers at once, gives its credits back,
runs no new job and finishes what is in flight. It goes on listening for
`MIN_UNREADY_S`, passing callers on to its peers, because the balancer sends callers
until it has seen the host unready. Then it stops listening, or callers that are
sent all the same would keep it for ever; open connections are finished. The limit
or a second signal ends the wait: then every job is ended and every caller gets the
outcome that can be proved.
"""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from enum import StrEnum

from monsoongap.coordination.parts import DrainState
from monsoongap.settings import LimitsSection
from monsoongap.timers import TimerService

log = logging.getLogger(__name__)

MIN_UNREADY_S = 2.0
POLL_S = 0.05
STEP_LIMIT_S = 2.0
END_LIMIT_S = 5.0


class LeaveEnd(StrEnum):
    """Why the wait for what is in flight ended."""

    FINISHED = "finished"
    LIMIT = "limit"
    SECOND_SIGNAL = "second signal"


@dataclass(frozen=True, slots=True)
class LeaveResult:
    """How a host left: what was in flight at the start, and without an end."""

    end: LeaveEnd
    in_flight: int
    cut_off: int


@dataclass(frozen=True, slots=True)
class LeaveHooks:
    """What leaving asks of the other parts.

    `return_credits` gives lent and borrowed credits back, `stop_listening` takes no
    further connections, `in_flight` counts the callers that wait and jobs that run,
    `end_all` ends every job so that its callers are told the true outcome.
    """

    return_credits: Callable[[], Awaitable[None]]
    stop_listening: Callable[[], None]
    in_flight: Callable[[], int]
    end_all: Callable[[], Awaitable[None]]


class Leaving:
    """Carries a host through its leaving, once."""

    def __init__(
        self,
        cfg: LimitsSection,
        drain: DrainState,
        hooks: LeaveHooks,
        timers: TimerService,
    ) -> None:
        self._cfg = cfg
        self._drain = drain
        self._hooks = hooks
        self._timers = timers
        self._hurry = asyncio.Event()

    def hurry(self) -> None:
        """End the wait for what is in flight: the second signal."""
        self._hurry.set()

    async def leave(self) -> LeaveResult:
        """Leave, and return when the process may exit."""
        began_at = self._timers.now()
        in_flight = self._hooks.in_flight()
        log.info("leaving", extra={"in_flight": in_flight})
        # The listeners of the drain state tell the peers and turn unready.
        self._drain.begin()
        await self._step("return credits", self._hooks.return_credits)
        end = await self._wait_until_idle(began_at)
        if end is not LeaveEnd.FINISHED:
            await self._end_all(end)
        result = LeaveResult(end, in_flight, self._hooks.in_flight())
        extra = {"reason": end.value, "cut_off": result.cut_off}
        log.info("left", extra=extra)
        return result

    async def _wait_until_idle(self, began_at: float) -> LeaveEnd:
        """Wait until nothing is in flight, the limit, or a second signal."""
        listening = True
        while not self._hurry.is_set():
            age_s = self._timers.now() - began_at
            if listening and age_s >= self._min_unready_s():
                listening = False
                self._hooks.stop_listening()
            if age_s >= self._cfg.drain_s:
                return LeaveEnd.LIMIT
            if not listening and self._hooks.in_flight() == 0:
                return LeaveEnd.FINISHED
            await self._pause()
        return LeaveEnd.SECOND_SIGNAL

    def _min_unready_s(self) -> float:
        return min(MIN_UNREADY_S, self._cfg.drain_s / 2)

    async def _pause(self) -> None:
        """Wait a moment, or less when hurried."""
        try:
            async with asyncio.timeout(POLL_S):
                await self._hurry.wait()
        except TimeoutError:
            return

    async def _end_all(self, end: LeaveEnd) -> None:
        """End every job and wait until its callers have been told."""
        extra = {"reason": end.value, "in_flight": self._hooks.in_flight()}
        log.warning("leaving ends what is in flight", extra=extra)
        ends_at = self._timers.now() + END_LIMIT_S
        await self._step("end jobs", self._hooks.end_all)
        while self._hooks.in_flight() and self._timers.now() < ends_at:
            await self._timers.sleep(POLL_S)

    async def _step(self, name: str, step: Callable[[], Awaitable[None]]) -> None:
        """Run one step; neither a fault nor slowness may stop the leaving."""
        try:
            async with asyncio.timeout(STEP_LIMIT_S):
                await step()
        except Exception as exc:
            extra = {"step": name, "reason": repr(exc)}
            log.warning("leaving step failed", extra=extra)
