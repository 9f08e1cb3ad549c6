"""Which jobs can still be answered in time, and which are better refused at once.

A caller of whom it is known early that it will wait too long is told so while it can
still use the time. What waits ahead is counted as work over the room that works it off.
"""

from dataclasses import dataclass

from monsoongap.protocol.messages import Job, QueueRule

# A caller is refused within a quarter of its objective, or not at all.
DECIDE_SHARE = 0.25
# Declared times are off by two fifths and room of other owners is not counted, so a
# job is given up only when it would wait for twice the time that it has to spare.
HOPELESS_SLACKS = 2.0
# A late answer is worth something up to three objectives.
LATE_FACTOR = 3.0
# A caller that is refused before half of its time is over can still turn elsewhere.
HELD_SHARE = 0.45


@dataclass(frozen=True, slots=True)
class Aim:
    """When a job's answer is due. Times are in seconds from its arrival.

    `wait_s` is how long the caller waits; 0 if it did not say.
    """

    chain_s: float
    objective_s: float
    wait_s: float = 0.0

    @property
    def slack_s(self) -> float:
        """How long the job may wait and still be in time."""
        return max(self.objective_s - self.chain_s, 0.0)

    @property
    def decide_s(self) -> float:
        """Until when the job may still be refused."""
        return self.objective_s * DECIDE_SHARE

    @property
    def give_up_s(self) -> float:
        """From when on a job that was never tried is refused."""
        useless_s = self.objective_s * LATE_FACTOR
        held_s = self.wait_s * HELD_SHARE
        return min(useless_s, held_s) if held_s else useless_s


def aim_of(job: Job, rule: QueueRule, wait_s: float = 0.0) -> Aim:
    """Return a job's aim from its declared times and its queue's objective.

    A queue that names no objective is held to its timeout.
    """
    chain = critical_path_s(job)
    if rule.grace_s <= 0:
        return Aim(chain, max(rule.timeout_s, rule.stretch * chain), wait_s)
    return Aim(chain, rule.stretch * chain + rule.grace_s, wait_s)


def critical_path_s(job: Job) -> float:
    """Return the declared time of a job's longest chain of steps, in seconds."""
    ends: list[float] = []
    for step in job.steps:
        before = max((ends[i] for i in step.after), default=0.0)
        ends.append(before + step.estimate_s)
    return max(ends)


def is_hopeless(aim: Aim, waited_s: float, ahead_s: float) -> bool:
    """Tell whether what waits ahead leaves a job no time for its objective."""
    return ahead_s > 0 and waited_s + ahead_s > HOPELESS_SLACKS * aim.slack_s
