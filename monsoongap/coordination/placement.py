"""Which runner a task goes to: best fit, and sound and warm runners first.

A wide task finds a whole runner as long as small ones fill those that are in use
already. Runners that lately failed, hung or were slow are taken only when no other one
has room, and cold ones only when no warm one has.
"""

from collections.abc import Iterable, Iterator

from monsoongap.coordination.link import Link
from monsoongap.coordination.work import Work


def best_runner(
    work: Work, upstream: str, links: Iterable[Link], now: float, usual_slowness: float
) -> Link | None:
    """Return the runner that is left with the least room by a task, or None.

    `usual_slowness` is that of the median runner, see `monsoongap.state.health`.
    """
    fitting = list(_fitting(work, upstream, links, now))
    sound = [k for k in fitting if not k.table.health.is_suspect(now, usual_slowness)]
    warm = [k for k in sound if not k.is_cold(now)] or sound
    near = [k for k in warm if work.rack and work.rack in k.info.labels]
    return min(near or warm or fitting, key=_free_cpu, default=None)


def _fitting(
    work: Work, upstream: str, links: Iterable[Link], now: float
) -> Iterator[Link]:
    """Yield the runners that may take a task now.

    Most runners of a busy share have no room, so this is checked first.
    """
    size, cpu_milli = work.size, work.size.cpu_milli
    for link in links:
        free = link.table.free
        if (
            free.cpu_milli >= cpu_milli
            and free.can_fit(size)
            and link.info.upstream == upstream
            and link.is_placeable(now)
            and link.info.id not in work.avoid
            and (not work.label or work.label in link.info.labels)
            and (not work.most_per_runner or _spreads(work, link))
        ):
            yield link


def _spreads(work: Work, link: Link) -> bool:
    """Tell whether a runner has fewer tasks of the step than its bound."""
    step = (work.task.job, work.task.step)
    same = sum((task.job, task.step) == step for task in link.table.runs)
    return same < work.most_per_runner


def _free_cpu(link: Link) -> int:
    return link.table.free.cpu_milli
