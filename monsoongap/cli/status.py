"""`monsoongap status`: the state of one entry host, as that host reports it."""

from monsoongap.cli.client import DEFAULT_ENTRY, EntryOption, JsonOption, call
from monsoongap.cli.output import print_json, print_rows
from monsoongap.coordination.status import HostStatus
from monsoongap.transport.operators import STATUS_PATH


def status(entry: EntryOption = DEFAULT_ENTRY, as_json: JsonOption = False) -> None:
    """Show the state of one entry host: known hosts, shares and owned runners."""
    reply = call(entry, "GET", STATUS_PATH, HostStatus)
    if as_json:
        print_json(reply)
        return
    state = "leaving" if reply.leaving else "ready" if reply.ready else "not ready"
    print(
        f"{reply.host} in {reply.dc}: {state}, configuration {reply.config_version}, "
        f"runners read {reply.runners_age_s} s ago, {reply.jobs} jobs, "
        f"{reply.waiting_tasks} tasks wait, loop {reply.loop_late_ms} ms late"
    )
    if reply.evac_offset >= 0:
        dcs = ", ".join(reply.evacuated) or "none"
        print(f"evacuated data centres: {dcs}, as of offset {reply.evac_offset}")
    print_rows("entry hosts", reply.hosts)
    print_rows("shares and their owners", reply.shares)
    print_rows("runners owned here", reply.runners)
