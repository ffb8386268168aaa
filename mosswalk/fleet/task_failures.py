"""Failed tasks by job and by machine: tells a faulty machine from a job that fails everywhere."""

from __future__ import annotations

import logging
from collections.abc import Container

from mosswalk.fleet.inventory import Machine
from mosswalk.wire.workers import TaskReport

log = logging.getLogger(__name__)

# A job that has failed on more machines than this says nothing of the next one.
_MOST_BLAMED_BY_A_JOB = 2


class TaskFailures:
    """What exits of tasks tell of machines and of jobs."""

    def __init__(self, errors_to_distrust: int) -> None:
        self._errors_to_distrust = errors_to_distrust
        # The machines on which each job's tasks have failed.
        self.failed_machines_by_job: dict[str, set[str]] = {}

    def record_exit(self, machine: Machine, job_id: str, task: TaskReport) -> None:
        """Count a task's exit for or against its machine."""
        if task.cause == "done":
            machine.consecutive_errors = 0
        elif task.cause == "error":
            failed_on = self.failed_machines_by_job.setdefault(job_id, set())
            failed_on.add(machine.name)
            if len(failed_on) <= _MOST_BLAMED_BY_A_JOB:
                machine.consecutive_errors += 1
                log.info(
                    "machine %s: %s failed, %d errors",
                    machine.name,
                    task.task,
                    machine.consecutive_errors,
                )

    def is_unhealthy(self, machine: Machine) -> bool:
        """Whether a machine fails its tasks."""
        return machine.consecutive_errors >= self._errors_to_distrust

    def retain_jobs(self, jobs: Container[str]) -> None:
        """Drop what is known of jobs that are over."""
        for job_id in [j for j in self.failed_machines_by_job if j not in jobs]:
            del self.failed_machines_by_job[job_id]
