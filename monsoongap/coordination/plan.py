"""The plan of one round of placement: the starts to send now, and reservations.

Tasks are planned in their order of urgency. One that fits nowhere, or only where it
would be late, may reserve the runner on which it is expected to end first, if that is
within the objective of its job. Less urgent tasks start on a reserved runner if they
are expected to end before that, or leave enough free. Design:
docs/design/0703-placement-plan.md.
"""

import bisect
from collections.abc import Iterator
from dataclasses import dataclass, field, replace
from heapq import nlargest

from monsoongap.coordination.plan_data import (
    NEVER,
    TIME_MARGIN,
    Plan,
    PlanInput,
    PlanTask,
    Reservation,
    Room,
)
from monsoongap.protocol.messages import TaskId

# Bounds of the processor time of one round.
SEARCH_TASKS = 8
SEARCH_RUNNERS = 32
# A slow runner is preferred for a task that is in time there by this margin, so that
# fast ones stay free for long tasks. A job of several tasks is late if one of them is:
# with 1.4, more jobs of 8 short tasks were late (bench.planned_load).
SLOW_MARGIN = 2.0
# A reservation is dropped when its time has passed by this share of the horizon.
LATE_SHARE = 0.25


def make_plan(given: PlanInput) -> Plan:
    """Plan one round."""
    return _Round(given).plan()


def _free_cpu(room: Room) -> int:
    return room.free.cpu_milli


@dataclass(slots=True)
class _Round:
    """The state of one round."""

    given: PlanInput
    rooms: dict[str, Room] = field(init=False)
    sound: list[Room] = field(init=False)
    suspect: list[Room] = field(init=False)
    held: dict[TaskId, Reservation] = field(default_factory=dict)
    held_since: dict[str, float] = field(default_factory=dict)
    expired: list[Reservation] = field(default_factory=list)
    best_pace: float = 1.0
    late: int = 0
    resting: set[str] = field(default_factory=set)
    searches_left: int = SEARCH_TASKS
    _most_free: list[Room] | None = None

    def __post_init__(self) -> None:
        rooms = [Room(r, r.free, r.runs) for r in self.given.runners]
        self.rooms = {room.runner.id: room for room in rooms}
        rooms.sort(key=_free_cpu)
        self.sound = [k for k in rooms if not k.runner.suspect]
        self.suspect = [k for k in rooms if k.runner.suspect]
        self.resting = set(self.given.resting)
        self.best_pace = min((r.pace for r in self.given.runners), default=1.0)

    def plan(self) -> Plan:
        """Plan all tasks in their order."""
        now, kept = self.given.now, self._still_valid()
        starts: dict[TaskId, str] = {}
        for task in self.given.tasks:
            room = self._room_for(task, kept.get(task.task) if kept else None)
            if room is None:
                continue
            self.late += not room.is_in_time(task, now)
            group = self.suspect if room.runner.suspect else self.sound
            group.remove(room)
            room.start(task, now)
            bisect.insort(group, room, key=_free_cpu)
            starts[task.task] = room.runner.id
        held, expired = tuple(self.held.values()), tuple(self.expired)
        return Plan(starts, held, expired, self.late)

    def _still_valid(self) -> dict[TaskId, Reservation]:
        """Return the reservations of the round before that are not late."""
        now, horizon_s = self.given.now, self.given.horizon_s
        valid = {}
        for held in self.given.kept:
            late = now > held.first_start_at + LATE_SHARE * horizon_s
            if late or now - held.held_since >= horizon_s:
                self.expired.append(held)
                self.resting.add(held.runner)
            else:
                valid[held.task] = held
                self.held_since[held.runner] = held.held_since
        return valid

    def _room_for(self, task: PlanTask, kept: Reservation | None) -> Room | None:
        """Return the runner on which a task starts now; reserve one if it waits."""
        given = self.given
        left_s = task.due_at - given.now
        least_s = task.declared_s * self.best_pace
        late: Room | None = None
        if self._may_fit(task):
            if TIME_MARGIN * least_s <= left_s:
                room = self._first_fit(
                    task, self.sound, SLOW_MARGIN, slow=True
                ) or self._first_fit(task, self.sound, TIME_MARGIN)
                if room is not None:
                    return room
            late = (
                self._first_fit(task, self.sound, slow=False)
                or self._first_fit(task, self.sound)
                or self._first_fit(task, self.suspect)
            )
        # Waiting replaces a late start only if the task is in time with a margin.
        margin = 1.0 if late is None else TIME_MARGIN
        may_wait = margin * least_s <= left_s and (
            late is None or task.waits_for_better
        )
        if may_wait and len(self.held) < given.max_reservations:
            held = self._reservation(task, kept, margin)
            if held is not None:
                self.held[task.task] = held
                self.rooms[held.runner].hold(held, task.size, given.now)
                return None
        return late

    def _may_fit(self, task: PlanTask) -> bool:
        """Return whether a runner has enough free CPU, before the costlier search."""
        cpu_milli, sound, suspect = task.size.cpu_milli, self.sound, self.suspect
        if sound and sound[-1].free.cpu_milli >= cpu_milli:
            return True
        return bool(suspect) and suspect[-1].free.cpu_milli >= cpu_milli

    def _first_fit(
        self,
        task: PlanTask,
        rooms: list[Room],
        margin: float = 0.0,
        slow: bool | None = None,
    ) -> Room | None:
        """Return the runner with the least free capacity that can take a task.

        A `margin` requires the task to be in time there; `slow` selects the kind.
        """
        fitting = self._fitting(task, rooms, margin, slow)
        if not task.rack:
            return next(fitting, None)
        found = list(fitting)
        near = (room for room in found if task.rack in room.runner.labels)
        return next(near, found[0] if found else None)

    def _fitting(
        self, task: PlanTask, rooms: list[Room], margin: float, slow: bool | None
    ) -> Iterator[Room]:
        now = self.given.now
        first = bisect.bisect_left(rooms, task.size.cpu_milli, key=_free_cpu)
        for i in range(first, len(rooms)):
            room = rooms[i]
            if (
                (slow is None or room.runner.slow is slow)
                and (not margin or room.is_in_time(task, now, margin))
                and room.free.can_fit(task.size)
                and room.is_useful(task, now)
                and room.may_run(task)
                and room.leaves_reserved(task, now)
            ):
                yield room

    def _reservation(
        self, task: PlanTask, kept: Reservation | None, margin: float
    ) -> Reservation | None:
        """Keep the reservation of a task if it still holds, else search a new one."""
        if kept is not None:
            room = self.rooms.get(kept.runner)
            if room is not None and room.held is None and room.may_run(task):
                start_at = room.first_fit_at(task.size, self.given.now)
                holds = start_at - kept.held_since <= self.given.horizon_s
                if holds and room.is_in_time(task, start_at, margin):
                    return replace(kept, start_at=start_at)
        if self.searches_left == 0:
            return None
        self.searches_left -= 1
        return self._search(task, margin)

    def _search(self, task: PlanTask, margin: float) -> Reservation | None:
        """Find the runner on which a task ends first, if that is in time."""
        now = self.given.now
        if self._most_free is None:
            rooms = (k for k in self.rooms.values() if not k.runner.suspect)
            self._most_free = nlargest(SEARCH_RUNNERS, rooms, key=_free_cpu)
        first_end_at = NEVER
        found: Reservation | None = None
        for room in self._most_free:
            id_ = room.runner.id
            if room.held is not None or id_ in self.resting or not room.may_run(task):
                continue
            start_at = room.first_fit_at(task.size, now)
            since = self.held_since.get(id_, now)
            end_at = start_at + task.declared_s * room.runner.pace
            if (
                end_at < first_end_at
                and start_at - since <= self.given.horizon_s
                and room.is_in_time(task, start_at, margin)
            ):
                first_end_at = end_at
                found = Reservation(task.task, id_, start_at, start_at, since)
        return found
