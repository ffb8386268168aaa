"""Counts task failures by job and machine, to tell faulty machines from faulty jobs."""

from __future__ import annotations

import logging
from collections.abc import Container

from mosswalk.fleet.inventory import Machine
from mosswalk.wire.workers import TaskReport

log = logging.getLogger(__name__)

# Failures of a job on more machines than this are the fault of the job, not of the machines.
_MAX_BLAMED_MACHINES_PER_JOB = 2


class TaskFailures:
    """Counts the failed tasks of each machine, except those of jobs that fail on many machines."""

    def __init__(self, errors_to_distrust: int) -> None:
        self._errors_to_distrust = errors_to_distrust
        # The machines on which tasks of each job have failed.
        self.failed_machines_by_job: dict[str, set[str]] = {}

    def record_exit(self, machine: Machine, job_id: str, task: TaskReport) -> None:
        """Update the machine's error count from the exit of a task."""
        if task.cause == "done":
            machine.consecutive_errors = 0
        elif task.cause == "error":
            failed_on = self.failed_machines_by_job.setdefault(job_id, set())
            failed_on.add(machine.name)
            if len(failed_on) <= _MAX_BLAMED_MACHINES_PER_JOB:
                machine.consecutive_errors += 1
                log.info(
                    "machine %s: %s failed, %d consecutive errors",
                    machine.name,
                    task.task,
                    machine.consecutive_errors,
                )

    def is_unhealthy(self, machine: Machine) -> bool:
        """Whether tasks have failed on a machine too often."""
        return machine.consecutive_errors >= self._errors_to_distrust

    def retain_jobs(self, jobs: Container[str]) -> None:
        """Discard the failures of all jobs but these."""
        for job_id in [j for j in self.failed_machines_by_job if j not in jobs]:
            del self.failed_machines_by_job[job_id]
