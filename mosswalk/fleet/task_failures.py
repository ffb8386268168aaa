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
        self.machines_by_job: dict[str, set[str]] = {}

    def note_exit(self, machine: Machine, job_id: str, task: TaskReport) -> None:
        """Count a task's exit for or against its machine."""
        if task.cause == "done":
            machine.errors = 0
        elif task.cause == "error":
            failed_on = self.machines_by_job.setdefault(job_id, set())
            failed_on.add(machine.name)
            if len(failed_on) <= _MOST_BLAMED_BY_A_JOB:
                machine.errors += 1
                log.info(
                    "machine %s: %s failed, %d errors", machine.name, task.task, machine.errors
                )

    def distrusts(self, machine: Machine) -> bool:
        """Whether a machine fails its tasks."""
        return machine.errors >= self._errors_to_distrust

    def forget_all_but(self, jobs: Container[str]) -> None:
        """Drop what is known of jobs that are over."""
        for job_id in [j for j in self.machines_by_job if j not in jobs]:
            del self.machines_by_job[job_id]
