"""Where new jobs are submitted: to this data centre, or to others if it is evacuated.

A job of an evacuated data centre goes to another one that is chosen by the job's id, in
proportion to the runners of its upstream. Hosts that know the same runners and the same
evacuations choose the same.
"""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass

from monsoongap.coordination.ownership import Ownership
from monsoongap.protocol.messages import ShareId
from monsoongap.state.directory import Directory
from monsoongap.util import rendezvous


@dataclass(slots=True)
class Rerouting:
    """Chooses the share of a new job that arrives in the data centre `dc`."""

    dc: str
    ownership: Ownership
    directory: Directory

    def share_of_new_job(self, job: str, upstream: str) -> ShareId:
        """Return the share to which a job is submitted first.

        It is one of this data centre if that is not evacuated, or if all are: its owner
        knows whether the job is in progress, and refuses it otherwise.
        """
        if self.dc in self.directory.evacuation.dcs:
            runners = self._open_dcs(upstream)
            if owned := self._owned(job, runners):
                runners = owned
            if runners:
                dc = rendezvous.choose_weighted(job, runners)
                return self.ownership.share_of_job(job, dc)
        return self.ownership.share_of_job(job)

    def serves(self) -> bool:
        """Return whether a job that arrives here now finds an owner."""
        dcs = {self.dc}
        if self.dc in self.directory.evacuation.dcs:
            all_dcs = {runner.dc for runner in self.directory.runners}
            # With all of them evacuated, the owner here refuses at once.
            dcs = all_dcs - self.directory.evacuation.dcs or dcs
        return any(self._has_owner(share) for share in self._shares(dcs))

    def _open_dcs(self, upstream: str) -> dict[str, int]:
        """Return the number of an upstream's runners by data centre, less evacuated."""
        evacuated = self.directory.evacuation.dcs
        runners = self.directory.dcs_of(upstream)
        return {dc: count for dc, count in runners.items() if dc not in evacuated}

    def _owned(self, job: str, runners: Mapping[str, int]) -> dict[str, int]:
        share_of_job = self.ownership.share_of_job
        return {
            dc: count
            for dc, count in runners.items()
            if self._has_owner(share_of_job(job, dc))
        }

    def _has_owner(self, share: ShareId) -> bool:
        return self.ownership.owner_of(share) is not None

    def _shares(self, dcs: set[str]) -> Iterator[ShareId]:
        for dc in dcs:
            yield from self.ownership.shares_of(dc)
