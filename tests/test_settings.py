"""Tests that settings are read, and that all errors are reported with their place."""

import re
from pathlib import Path

import pytest

from monsoongap.settings import (
    BoundsSection,
    EntrySettings,
    LimitsSection,
    load_settings,
)
from monsoongap.util.ini import SettingsErrorGroup, parse_ini

# Values of the fields that the platform fills into the template.
TEMPLATE_FIELDS = {
    "node": "front-a-1",
    "zone": "a",
    "region": "t",
    "ip": "10.1.0.13",
    "portRange.0": "7720",
    "seeds": "10.1.0.13:8166,10.2.0.30:8166",
    "bindAddrs.front": "10.1.0.13:8161",
    "bindAddrs.ready": "10.1.0.13:8167",
    "platform.address": "10.200.1.7:8169",
    "limits.cpuShare": "0.5",
    "limits.cores": "3",
    "limits.memoryMb|json": "552",
    "limits.maxFds|json": "8192",
    "bounds.holdMaxMs": "1000",
    "bounds.drainMs": "2000",
    "bounds.configApplyMs": "2000",
    "bounds.resendMs": "1300",
    "bounds.graceS": "6",
    "bounds.evacMs|json": "5000",
}

# Rendered by the platform as its zones, joined by commas.
ZONES_SECTION = "{{#zones}}{{@}}{{,}}{{/zones}}"

VALID_SETTINGS = """
[host]
name = mvd-1
dc = mvd

[listen]
callers = 10.0.0.1:8080
ready = 10.0.0.1:8081
peers = 10.0.0.1:7720

[store]
address = 10.0.0.9:8000

[peers]
seeds = 10.0.0.1:8090, 10.0.0.2:8090

[bounds]
lease_ms = 1500
resend_ms =
"""

INVALID_SETTINGS = """
[host]
name = no spaces allowed
region = main

[listen]
callers = nowhere
ready = 10.0.0.1:8081
peers = 10.0.0.1:7720

[bounds]
lease_ms = soon
gracems = 10

[stroe]
address = 10.0.0.9:8000
"""


def test_overrides_replace_file_values_which_replace_defaults(tmp_path: Path) -> None:
    path = tmp_path / "entry.ini"
    path.write_text(VALID_SETTINGS)
    cfg = load_settings(path, {"bounds.grace_s": "7"})
    assert (cfg.host.name, cfg.bounds.lease_s, cfg.bounds.grace_s) == ("mvd-1", 1.5, 7)
    assert cfg.bounds.drain_ms == BoundsSection().drain_ms
    assert cfg.peers.seeds == ("10.0.0.1:8090", "10.0.0.2:8090")


def test_empty_value_leaves_the_default(tmp_path: Path) -> None:
    path = tmp_path / "entry.ini"
    path.write_text(VALID_SETTINGS)
    assert load_settings(path).bounds.resend_ms == BoundsSection().resend_ms


# Guards against a host that does not start where the platform lacks a field.
def test_a_placeholder_that_was_not_filled_in_leaves_the_default(
    tmp_path: Path,
) -> None:
    path = tmp_path / "entry.ini"
    path.write_text(VALID_SETTINGS + "\n[limits]\nmax_fds = {{limits.maxFds|json}}\n")
    assert load_settings(path).limits.max_fds == LimitsSection().max_fds


def test_every_error_is_reported_with_section_and_key() -> None:
    with pytest.raises(SettingsErrorGroup) as caught:
        parse_ini(INVALID_SETTINGS, "entry.ini", EntrySettings)
    reasons = {(e.section, e.key): e.reason for e in caught.value.exceptions}
    assert set(reasons) == {
        ("host", "name"),
        ("host", "dc"),
        ("listen", "callers"),
        ("bounds", "lease_ms"),
        ("bounds", "gracems"),
        ("store", "address"),
        ("stroe", ""),
    }
    assert "required" in reasons["host", "dc"]
    assert "grace_s" in reasons["bounds", "gracems"]


# Guards against evacuations switched on where the platform has none, and off where a
# renderer leaves the field out.
@pytest.mark.parametrize(
    ("rendered", "evac_s"),
    [("5000", 5.0), ("", 0.0), ("null", 0.0), ("{{bounds.evacMs|json}}", 0.0)],
)
def test_the_limit_for_evacuations_is_that_of_the_platform(
    rendered: str, evac_s: float
) -> None:
    text = VALID_SETTINGS + f"evac_ms = {rendered}\n"
    assert parse_ini(text, "entry.ini", EntrySettings).bounds.evac_s == evac_s


def test_filled_in_template_of_the_platform_is_valid() -> None:
    template = (Path(__file__).parent.parent / "deploy" / "entry.ini").read_text()
    assert ZONES_SECTION in template
    template = template.replace(ZONES_SECTION, "a,b")
    text = re.sub(r"\{\{(\S+?)\}\}", lambda m: TEMPLATE_FIELDS[m[1]], template)
    cfg = parse_ini(text, "entry.ini", EntrySettings)
    assert cfg.host.cores == 1.5
    assert cfg.listen.peers == "10.1.0.13:7720"
    assert cfg.bounds.lease_s == 1.0
    assert cfg.peers.dcs == ("a", "b")
    assert (cfg.limits.memory_mb, cfg.limits.max_fds) == (552, 8192)
    assert cfg.bounds.evac_s == 5.0


@pytest.mark.parametrize("port", ["0", "65536", "99999", "-1", "\u0663"])
def test_a_port_out_of_range_is_an_error_of_its_setting(port: str) -> None:
    text = VALID_SETTINGS.replace("10.0.0.9:8000", f"10.0.0.9:{port}")
    with pytest.raises(SettingsErrorGroup) as caught:
        parse_ini(text, "entry.ini", EntrySettings)
    assert [(e.section, e.key) for e in caught.value.exceptions] == [
        ("store", "address")
    ]


@pytest.mark.parametrize("text", ["no section = 1", "[host\n", "[host]\nname\n"])
def test_ini_syntax_error_is_reported_with_the_file_name(text: str) -> None:
    with pytest.raises(SettingsErrorGroup) as caught:
        parse_ini(text, "entry.ini", EntrySettings)
    assert "entry.ini" in str(caught.value.exceptions[0])


def test_missing_file_is_reported_as_unreadable(tmp_path: Path) -> None:
    with pytest.raises(SettingsErrorGroup) as caught:
        load_settings(tmp_path / "none.ini")
    assert "cannot be read" in str(caught.value.exceptions[0])
