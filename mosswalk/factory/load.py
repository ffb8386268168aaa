"""The load ratio and its dwell rule (paper, Algorithm 1)."""

from __future__ import annotations

from msgspec import Struct

from mosswalk.jobs.admission import fits_machine_type
from mosswalk.jobs.state import Job, milli_ceil
from mosswalk.wire.cloud import MachineType


def machine_share(job: Job, machine: MachineType) -> float:
    """How much of an empty machine one task takes, by its scarcest amount."""
    parts = [
        job.cpus / max(1, milli_ceil(machine.cpus)),
        job.memory / max(1, milli_ceil(machine.memory_gb)),
    ]
    if job.gpus:
        parts.append(job.gpus / max(1, milli_ceil(machine.gpus)))
    return max(parts)


def fits(job: Job, machine: MachineType) -> bool:
    """Whether the job's tasks may and can run on a shape."""
    return fits_machine_type(job.spec, machine)


def load_ratio(demand: float, slots: int) -> float:
    """L: fitting tasks over slots, both in whole machines."""
    if slots > 0:
        return demand / slots
    return float("inf") if demand > 0 else 0.0


class Dwell(Struct):
    """Tells when a ratio has stayed beyond a threshold for long enough."""

    since_us: int | None = None

    def update(self, beyond: bool, now_us: int, dwell_us: int) -> bool:
        """Note the ratio's state now; whether it has lasted."""
        if not beyond:
            self.since_us = None
            return False
        if self.since_us is None:
            self.since_us = now_us
        return now_us - self.since_us >= dwell_us
