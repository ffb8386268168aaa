"""What failed attempts teach: machines that a job avoids, and how long it waits."""

from __future__ import annotations

from collections.abc import Container

from msgspec import Struct

from mosswalk.actors import SECOND_US
from mosswalk.wire.peers import Outcome

_BACKOFF_US = SECOND_US
_MOST_BACKOFF_US = 30 * SECOND_US
_MOST_DOUBLINGS = 5
# The first failures are mostly the machine's: the job is tried elsewhere at once. One that fails
# everywhere must not take the cluster's time.
_FREE_FAILURES = 3
_MOST_AVOIDED = 6


class Hold(Struct):
    """A job whose attempts fail for reasons that are not the machine's: wait before the next."""

    failures: int
    until_us: int


class FailureBackoff:
    """Kept for open jobs only; an owner that is new to a team begins without."""

    def __init__(self) -> None:
        self.avoided_machines: dict[str, set[str]] = {}
        self._holds: dict[str, Hold] = {}

    def record_outcome(self, job_id: str, outcome: Outcome, now_us: int) -> None:
        """Take in an attempt's outcome."""
        if outcome.kind == "done":
            self._holds.pop(job_id, None)
        if outcome.kind == "error":
            self._avoid(job_id, outcome.machine)
        if outcome.kind in ("error", "refused"):
            self._hold(job_id, now_us, refused=outcome.kind == "refused")

    def _avoid(self, job_id: str, machine: str) -> None:
        avoided = self.avoided_machines.setdefault(job_id, set())
        if len(avoided) >= _MOST_AVOIDED:
            avoided.clear()
        avoided.add(machine)

    def _hold(self, job_id: str, now_us: int, *, refused: bool) -> None:
        hold = self._holds.setdefault(job_id, Hold(0, 0))
        hold.failures += 1
        if hold.failures > _FREE_FAILURES or refused:
            doublings = min(_MOST_DOUBLINGS, max(0, hold.failures - _FREE_FAILURES - 1))
            hold.until_us = now_us + min(_MOST_BACKOFF_US, _BACKOFF_US << doublings)

    def delayed_jobs(self, now_us: int) -> dict[str, Hold]:
        """The jobs that wait."""
        return {job_id: hold for job_id, hold in self._holds.items() if hold.until_us > now_us}

    def retain_only(self, jobs: Container[str]) -> None:
        """Drop what is kept of jobs that are over."""
        for job_id in [job_id for job_id in self.avoided_machines if job_id not in jobs]:
            del self.avoided_machines[job_id]
        for job_id in [job_id for job_id in self._holds if job_id not in jobs]:
            del self._holds[job_id]
