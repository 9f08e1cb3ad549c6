"""A model of the platform's lagging host list on the running loop's clock."""

import asyncio
from collections import deque
from dataclasses import dataclass, replace

from monsoongap.errors import LogUnavailable
from monsoongap.protocol.messages import HostEntry, HostList
from monsoongap.standin.faults import (
    HostListEmpty,
    HostListFault,
    HostListLag,
    HostListOutage,
    HostListShrink,
)

MAX_HISTORY = 1_000


@dataclass(frozen=True, slots=True)
class _Known:
    hosts: tuple[HostEntry, ...]
    since: float


class HostListModel:
    """Shows the hosts as they were `lag_s` seconds ago.

    The version grows whenever what is shown changes, also when a fault changes
    it, as a store that really lost its content would do.
    """

    def __init__(self, hosts: tuple[HostEntry, ...] = (), lag_s: float = 0.0) -> None:
        self._history: deque[_Known] = deque([_Known(hosts, float("-inf"))])
        self._base_lag_s = lag_s
        self._lag_s = lag_s
        self._keep: int | None = None
        self._out = False
        self._shown = HostList(1, hosts)

    def set_hosts(self, hosts: tuple[HostEntry, ...]) -> None:
        """Replace the true state; readers see it after the lag."""
        self._history.append(_Known(hosts, asyncio.get_running_loop().time()))
        if len(self._history) > MAX_HISTORY:
            self._history.popleft()

    def hosts(self) -> tuple[HostEntry, ...]:
        """Return the true state without lag or faults."""
        return self._history[-1].hosts

    def set_leaving(self, name: str, leaving: bool = True) -> None:
        """Mark one host as leaving or as staying."""
        self.set_hosts(
            tuple(
                replace(host, leaving=leaving) if host.name == name else host
                for host in self.hosts()
            )
        )

    def set_faults(self, faults: tuple[HostListFault, ...]) -> None:
        """Replace the standing faults."""
        self._lag_s = self._base_lag_s
        self._keep = None
        self._out = False
        for fault in faults:
            match fault:
                case HostListLag(lag_s):
                    self._lag_s = lag_s
                case HostListEmpty():
                    self._keep = 0
                case HostListShrink(keep):
                    self._keep = keep
                case HostListOutage():
                    self._out = True

    async def fetch(self) -> HostList:
        """Return the list as shown now; raises `LogUnavailable` in an outage."""
        await asyncio.sleep(0)
        if self._out:
            raise LogUnavailable("the host list is out")
        visible = self._visible()
        if visible != self._shown.hosts:
            self._shown = HostList(self._shown.version + 1, visible)
        return self._shown

    def _visible(self) -> tuple[HostEntry, ...]:
        seen_until = asyncio.get_running_loop().time() - self._lag_s
        shown = self._history[0].hosts
        for known in self._history:
            if known.since <= seen_until:
                shown = known.hosts
        return shown if self._keep is None else shown[: self._keep]
