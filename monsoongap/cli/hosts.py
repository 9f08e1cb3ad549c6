"""`monsoongap hosts`, `upstreams` and `drain`: the state of the system."""

from monsoongap.cli.client import call
from monsoongap.cli.options import (
    DEFAULT_ENTRY,
    CaOption,
    EntryOption,
    JsonOption,
    TokenOption,
    endpoint,
)
from monsoongap.cli.output import print_json, print_reply
from monsoongap.transport.operators import Draining, HostView, UpstreamView


def hosts(
    entry: EntryOption = DEFAULT_ENTRY,
    ca: CaOption = None,
    as_json: JsonOption = False,
) -> None:
    """List the entry hosts as one of them sees them."""
    seen = call(endpoint(entry, None, ca), "GET", "/v1/hosts", tuple[HostView, ...])
    print_reply(as_json, seen, "entry hosts", HostView, seen)


def upstreams(
    entry: EntryOption = DEFAULT_ENTRY,
    ca: CaOption = None,
    as_json: JsonOption = False,
) -> None:
    """List the workers of an entry host's data centre."""
    where = endpoint(entry, None, ca)
    seen = call(where, "GET", "/v1/upstreams", tuple[UpstreamView, ...])
    print_reply(as_json, seen, "upstreams", UpstreamView, seen)


def drain(
    entry: EntryOption = DEFAULT_ENTRY,
    token_file: TokenOption = None,
    ca: CaOption = None,
    as_json: JsonOption = False,
) -> None:
    """Let one entry host leave: it finishes what is in flight and ends."""
    told = call(endpoint(entry, token_file, ca), "POST", "/v1/drain", Draining)
    if as_json:
        print_json(told)
    else:
        print(f"{told.host} is leaving, {told.in_flight} jobs in flight")
