"""Fair shares of teams: who is served next and how much room each may reserve.

Shares are by weight: a team's quota in slots, or the mean of the others' quotas
where it has none. A share that its team leaves unused goes to the others.
"""

import math
from collections import Counter
from dataclasses import dataclass

from monsoongap.coordination.parts import TeamDirectory, TeamLimits
from monsoongap.errors import DispatchError, ErrorKind

OVER_QUOTA_RETRY_MS = 1000


SERVICE_FADE_S = 2.0
OVER_SERVED = 1.05
MAX_RANK = 8


@dataclass(slots=True)
class _Account:
    """Slot-seconds given to a team of late, fading over `SERVICE_FADE_S`."""

    weight: float
    service_s: float = 0.0
    at: float = 0.0
    waiting: int = 0

    def current(self, now: float) -> float:
        """Return the faded service."""
        if now > self.at:
            self.service_s *= math.exp((self.at - now) / SERVICE_FADE_S)
            self.at = now
        return self.service_s


class TeamShares:
    """Who of the teams with tasks waiting has had more than its share of late.

    Teams within their shares are equal, so their jobs are served in the order of
    the jobs. A team above its share comes after them, the further above the later:
    it has what the others leave.
    """

    def __init__(self, teams: TeamDirectory) -> None:
        self._teams = teams
        self._accounts: dict[str, _Account] = {}
        self._total = _Account(0.0)
        self._waiting_weight = 0.0
        self.contended = False

    def refresh(self) -> None:
        """Take over the weights in force and forget idle teams."""
        weights = team_weights(self._teams.all())
        for team, account in list(self._accounts.items()):
            if account.waiting:
                account.weight = weights.get(team, account.weight)
            else:
                del self._accounts[team]
        waiting = (a.weight for a in self._accounts.values() if a.waiting)
        self._waiting_weight = sum(waiting)

    def rank(self, team: str, now: float) -> int:
        """Return 0 within the share and more the further a team is above it."""
        total = self._total.current(now)
        if total <= 0.0 or not self.contended:
            return 0
        part = self._account(team).current(now) / total
        return min(MAX_RANK, int(part / (OVER_SERVED * self.share(team))))

    def enter(self, team: str) -> None:
        """Count one more waiting task."""
        account = self._account(team)
        if not account.waiting:
            self._waiting_weight += account.weight
        account.waiting += 1

    def leave(self, team: str) -> None:
        """Count one waiting task less."""
        account = self._account(team)
        account.waiting -= 1
        if not account.waiting:
            self._waiting_weight -= account.weight

    def charge(self, team: str, slot_s: float, now: float) -> None:
        """Add slot-seconds to a team's service; negative ones correct it."""
        for account in (self._account(team), self._total):
            account.service_s = max(0.0, account.current(now) + slot_s)

    def share(self, team: str) -> float:
        """Return the part of the drain a team gets if it queues now."""
        account = self._account(team)
        weight = self._waiting_weight
        if not account.waiting:
            weight += account.weight
        return min(1.0, account.weight / weight) if weight > 0.0 else 1.0

    def _account(self, team: str) -> _Account:
        account = self._accounts.get(team)
        if account is None:
            weight = team_weights(self._teams.all()).get(team, 1.0)
            account = self._accounts[team] = _Account(weight)
        return account


class Reservations:
    """Room for admitted tasks: each team's own part, and the unused rest lent.

    A team within its part is always let in, so a flood of another team that has
    borrowed the rest does not shut it out. The total is therefore bounded by
    twice `total_tasks`.
    """

    def __init__(self, teams: TeamDirectory, total_tasks: int) -> None:
        self._teams = teams
        self._total_tasks = total_tasks
        self._tasks: Counter[str] = Counter()
        self.total = 0

    def of(self, team: str) -> int:
        """Return how many tasks a team has admitted."""
        return self._tasks[team]

    def reserve(self, limits: TeamLimits, tasks: int) -> None:
        """Reserve room or raise `over_quota` or `overloaded`."""
        wanted = self._tasks[limits.team] + tasks
        if wanted > limits.max_tasks:
            raise DispatchError(
                ErrorKind.OVER_QUOTA,
                f"team {limits.team!r} may have {limits.max_tasks} tasks",
                OVER_QUOTA_RETRY_MS,
            )
        over_total = self.total + tasks > self._total_tasks
        if over_total and wanted > self._own_part(limits.team):
            raise DispatchError(
                ErrorKind.OVERLOADED, "the queue is full", OVER_QUOTA_RETRY_MS
            )
        self._tasks[limits.team] = wanted
        self.total += tasks

    def give_back(self, team: str, tasks: int) -> None:
        """Give room back; never below zero."""
        tasks = min(tasks, self._tasks[team])
        self._tasks[team] -= tasks
        self.total -= tasks
        if not self._tasks[team]:
            del self._tasks[team]

    def _own_part(self, team: str) -> int:
        weights = team_weights(self._teams.all())
        part = weights.get(team, 0.0) / (sum(weights.values()) or 1.0)
        return int(part * self._total_tasks)


def team_weights(limits: tuple[TeamLimits, ...]) -> dict[str, float]:
    """Return each team's weight: its quota, or the mean quota without one."""
    quotas = [team.quota_slots for team in limits if team.quota_slots]
    mean = sum(quotas) / len(quotas) if quotas else 1.0
    return {team.team: float(team.quota_slots or mean) for team in limits}
