"""Consequences of failed attempts: machines that a job avoids, and delays before its next one."""

from __future__ import annotations

from collections.abc import Container

from msgspec import Struct

from mosswalk.actors import SECOND_US
from mosswalk.wire.peers import Outcome

_INITIAL_BACKOFF_US = SECOND_US
_MAX_BACKOFF_US = 30 * SECOND_US
_MAX_DOUBLINGS = 5
# The first failures are usually caused by the machine, so the job is retried elsewhere at once. A
# job that fails everywhere must not keep the cluster busy.
_FAILURES_WITHOUT_BACKOFF = 3
_MAX_AVOIDED_MACHINES = 6


class JobDelay(Struct):
    """Failures of a job that may be its own fault, and the end of the delay they cause."""

    failures: int
    until_us: int


class FailureBackoff:
    """Failures of open jobs, kept in memory: a team's new owner starts without them."""

    def __init__(self) -> None:
        self.avoided_machines: dict[str, set[str]] = {}
        self._delays: dict[str, JobDelay] = {}

    def record_outcome(self, job_id: str, outcome: Outcome, now_us: int) -> None:
        """Update the job's avoided machines and its delay after an attempt has ended."""
        if outcome.kind == "done":
            self._delays.pop(job_id, None)
        if outcome.kind == "error":
            self._avoid_machine(job_id, outcome.machine)
        if outcome.kind in ("error", "refused"):
            self._delay_job(job_id, now_us, refused=outcome.kind == "refused")

    def _avoid_machine(self, job_id: str, machine: str) -> None:
        avoided = self.avoided_machines.setdefault(job_id, set())
        if len(avoided) >= _MAX_AVOIDED_MACHINES:
            avoided.clear()
        avoided.add(machine)

    def _delay_job(self, job_id: str, now_us: int, *, refused: bool) -> None:
        delay = self._delays.setdefault(job_id, JobDelay(0, 0))
        delay.failures += 1
        if delay.failures > _FAILURES_WITHOUT_BACKOFF or refused:
            doublings = min(_MAX_DOUBLINGS, max(0, delay.failures - _FAILURES_WITHOUT_BACKOFF - 1))
            delay.until_us = now_us + min(_MAX_BACKOFF_US, _INITIAL_BACKOFF_US << doublings)

    def delayed_jobs(self, now_us: int) -> dict[str, JobDelay]:
        """The jobs that must not be placed yet."""
        return {job_id: delay for job_id, delay in self._delays.items() if delay.until_us > now_us}

    def retain_only(self, open_jobs: Container[str]) -> None:
        """Discard the failures of all other jobs."""
        for job_id in [job_id for job_id in self.avoided_machines if job_id not in open_jobs]:
            del self.avoided_machines[job_id]
        for job_id in [job_id for job_id in self._delays if job_id not in open_jobs]:
            del self._delays[job_id]
