"""`monsoongap status`: owners, runners, room, queue and version of an entry host."""

from monsoongap.cli.client import DEFAULT_ENTRY, EntryOption, JsonOption, call
from monsoongap.cli.output import print_json, print_rows
from monsoongap.coordination.status import HostStatus
from monsoongap.transport.operators import STATUS_PATH


def status(entry: EntryOption = DEFAULT_ENTRY, as_json: JsonOption = False) -> None:
    """Show one entry host: the hosts it sees, the shares, the runners it owns."""
    seen = call(entry, "GET", STATUS_PATH, HostStatus)
    if as_json:
        print_json(seen)
        return
    state = "leaving" if seen.leaving else "ready" if seen.ready else "not ready"
    print(
        f"{seen.host} in {seen.dc}: {state}, configuration {seen.config_version}, "
        f"runners read {seen.runners_age_s} s ago, {seen.jobs} jobs, "
        f"{seen.waiting_tasks} tasks wait, loop {seen.loop_late_ms} ms late"
    )
    print_rows("entry hosts", seen.hosts)
    print_rows("shares and their owners", seen.shares)
    print_rows("runners owned here", seen.runners)
