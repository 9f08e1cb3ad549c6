"""Entry daemons with certificates: callers over HTTPS, peers over mutual TLS."""

import asyncio
import time
from pathlib import Path

import pytest
import trustme

from bench.processes import programs
from monsoongap.cli.client import Endpoint, Unreachable
from monsoongap.load.local_deployment import LocalDeployment, write_deployment
from monsoongap.load.settings import DeploymentSection
from monsoongap.protocol.messages import JobAnswer, JobRequest, TaskSpec
from monsoongap.transport.operators import HostView

SIZE = DeploymentSection(name="tls", entries=2, workers=2)
READY_TIMEOUT_S = 20.0


def write_certificates(folder: Path) -> dict[str, str]:
    """Write a CA and one certificate that names both hosts and their address."""
    ca = trustme.CA()
    leaf = ca.issue_cert("e1", "e2", "127.0.0.1")
    ca.cert_pem.write_to_path(str(folder / "ca.pem"))
    leaf.private_key_pem.write_to_path(str(folder / "key.pem"))
    leaf.cert_chain_pems[0].write_to_path(str(folder / "cert.pem"))
    return {
        "certificate": str(folder / "cert.pem"),
        "key": str(folder / "key.pem"),
        "ca": str(folder / "ca.pem"),
    }


async def wait_until_peers_are_live(entry: Endpoint) -> None:
    """Ask for the hosts until the other one is live; raises `TimeoutError`."""
    give_up_at = time.monotonic() + READY_TIMEOUT_S
    while time.monotonic() < give_up_at:
        try:
            hosts = await entry.call("GET", "/v1/hosts", tuple[HostView, ...])
        except Unreachable:
            hosts = ()
        if [host.status for host in hosts] == ["live", "live"]:
            return
        await asyncio.sleep(0.1)
    raise TimeoutError("the peers did not meet")


def test_callers_and_peers_meet_over_tls(tmp_path: Path) -> None:
    tls = write_certificates(tmp_path)
    deployment = write_deployment(tmp_path, SIZE, {"tls": tls})
    req = JobRequest("t", "k", (TaskSpec({"run_ms": 20, "value": 7}),), 10_000)

    async def main(deployment: LocalDeployment) -> None:
        urls = [entry.url.replace("http:", "https:") for entry in deployment.entries]
        first, second = (Endpoint(url, None, tls["ca"]) for url in urls)
        await wait_until_peers_are_live(first)
        await wait_until_peers_are_live(second)
        answers = await asyncio.gather(
            *(one.call("PUT", "/v1/jobs/k", JobAnswer, req) for one in (first, second))
        )
        assert answers[0] == answers[1]
        with pytest.raises(Unreachable):
            await Endpoint(urls[0]).call("GET", "/v1/hosts", tuple[HostView, ...])

    with programs() as group:
        config = deployment.platform_config
        group.start("platform", "monsoongap.standin.main", "--config", config)
        for entry in deployment.entries:
            group.start(entry.name, "monsoongap.entry", "--config", entry.config)
        asyncio.run(main(deployment))
    assert group.faults == []
