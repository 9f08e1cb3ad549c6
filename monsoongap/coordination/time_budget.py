"""The time a job has for its answer, and whether it can still meet its objective.

A job that would miss its objective is refused early, while its caller can still use the
time that is left. The expected wait is the work queued ahead of the job divided by the
processor capacity that processes it.
"""

from dataclasses import dataclass

from monsoongap.protocol.messages import MIN_WAIT_S, Job, QueueRule

# A job is refused within a quarter of its objective, or not at all.
DECISION_FRACTION = 0.25
# Declared times are off by two fifths and the capacity of other owners is not counted,
# so a job is refused only when its expected wait exceeds twice its slack.
REFUSAL_SLACK_FACTOR = 2.0
# A late answer is still of use to its caller up to three times the objective.
USELESS_FACTOR = 3.0
# A caller that is refused before half of its wait is over can still try elsewhere.
CALLER_WAIT_FRACTION = 0.45


@dataclass(frozen=True, slots=True)
class TimeBudget:
    """The times by which a job is to start and end, in seconds from its arrival.

    `critical_path_s` is the declared time of the longest chain of steps. `wait_s` is
    how long the caller waits for the answer; 0 if it did not say.
    """

    critical_path_s: float
    objective_s: float
    wait_s: float = 0.0

    @property
    def slack_s(self) -> float:
        """How long the job may wait and still meet its objective."""
        return max(self.objective_s - self.critical_path_s, 0.0)

    @property
    def decision_deadline_s(self) -> float:
        """Time until which the job may be refused because of the backlog."""
        return self.objective_s * DECISION_FRACTION

    @property
    def latest_start_s(self) -> float:
        """Age at which the job must start to end while its caller waits, if known."""
        wait_s = self.wait_s or float("inf")
        return max(wait_s - self.critical_path_s, 0.0)

    @property
    def useful_start_s(self) -> float:
        """Age at which the job must start for its answer to be of use to its caller."""
        late_limit_s = self.objective_s * USELESS_FACTOR - self.critical_path_s
        return min(max(late_limit_s, 0.0), self.latest_start_s)

    @property
    def capacity_timeout_s(self) -> float:
        """Time after which a job is refused if none of its tasks was dispatched."""
        late_limit_s = self.objective_s * USELESS_FACTOR
        caller_limit_s = self.wait_s * CALLER_WAIT_FRACTION
        return min(late_limit_s, caller_limit_s) if caller_limit_s else late_limit_s


def budget_of(job: Job, rule: QueueRule, wait_s: float = 0.0) -> TimeBudget:
    """Return a job's time budget from its declared times and its queue's objective.

    For a queue without an objective, the timeout takes its place.
    """
    path_s = critical_path_s(job)
    return TimeBudget(path_s, objective_s(path_s, rule), wait_s)


def wait_left_s(expires_at: float, now: float) -> float:
    """Return how long callers that wait until `expires_at` still wait, in seconds.

    It is 0, which stands for a wait that is not known, if `expires_at` is infinite.
    """
    return 0.0 if expires_at == float("inf") else max(expires_at - now, MIN_WAIT_S)


def objective_s(path_s: float, rule: QueueRule) -> float:
    """Return the objective of a job with a longest chain of `path_s` seconds."""
    if rule.grace_s <= 0:
        return max(rule.timeout_s, rule.stretch * path_s)
    return rule.stretch * path_s + rule.grace_s


def critical_path_s(job: Job) -> float:
    """Return the declared time of a job's longest chain of steps, in seconds."""
    ends: list[float] = []
    for step in job.steps:
        before = max((ends[i] for i in step.after), default=0.0)
        ends.append(before + step.estimate_s)
    return max(ends)


def path_after_s(job: Job, number: int) -> float:
    """Return the declared time of the longest chain of steps after a step."""
    after = [0.0] * len(job.steps)
    for i in range(len(job.steps) - 1, number, -1):
        path_s = job.steps[i].estimate_s + after[i]
        for before in job.steps[i].after:
            after[before] = max(after[before], path_s)
    return after[number]


def exceeds_slack(budget: TimeBudget, waited_s: float, ahead_s: float) -> bool:
    """Return whether a job's expected wait exceeds its slack so far that it is refused.

    `waited_s` is how long the job has waited, `ahead_s` how long the work queued ahead
    of it keeps the owned capacity busy, both in seconds.
    """
    return ahead_s > 0 and waited_s + ahead_s > REFUSAL_SLACK_FACTOR * budget.slack_s
