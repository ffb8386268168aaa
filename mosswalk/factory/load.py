"""The load ratio and its dwell rule (CBRAIN paper, Algorithm 1)."""

from __future__ import annotations

from msgspec import Struct

from mosswalk.jobs.admission import fits_machine_type
from mosswalk.jobs.state import Job, milli_ceil
from mosswalk.wire.cloud import MachineType


def machine_share(job: Job, machine_type: MachineType) -> float:
    """Return the fraction of an empty machine that one task uses, by its scarcest resource."""
    fractions = [
        job.cpus / max(1, milli_ceil(machine_type.cpus)),
        job.memory / max(1, milli_ceil(machine_type.memory_gb)),
    ]
    if job.gpus:
        fractions.append(job.gpus / max(1, milli_ceil(machine_type.gpus)))
    return max(fractions)


def fits(job: Job, machine_type: MachineType) -> bool:
    """Return whether the job allows a machine type and its tasks fit on it."""
    return fits_machine_type(job.spec, machine_type)


def load_ratio(demand: float, machines: int) -> float:
    """Return the load ratio L of the CBRAIN paper: demand over capacity, both in whole machines."""
    if machines > 0:
        return demand / machines
    return float("inf") if demand > 0 else 0.0


class Dwell(Struct):
    """Tracks whether a ratio has stayed beyond a threshold for long enough."""

    since_us: int | None = None

    def update(self, beyond: bool, now_us: int, dwell_us: int) -> bool:
        """Record whether the ratio is beyond the threshold now.

        Returns whether it has been for at least the dwell time.
        """
        if not beyond:
            self.since_us = None
            return False
        if self.since_us is None:
            self.since_us = now_us
        return now_us - self.since_us >= dwell_us
