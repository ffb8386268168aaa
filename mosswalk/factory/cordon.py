"""Which machines to cordon, so that they drain and can be released.

In the CBRAIN paper, machines become idle when load drops. Here small tasks keep arriving on
machines that are mostly empty, so none of these stays idle for long and none is released. A
cordoned machine takes tasks only if nothing else fits; the release itself follows the paper.
"""

from __future__ import annotations

from collections.abc import Iterable

from msgspec import Struct

# A machine with this load or more is not cordoned.
_CORDON_LOAD_LIMIT = 0.6
# Capacity that stays free for new tasks, as a fraction of the used capacity.
_RESERVE_FRACTION = 0.2


class Occupancy(Struct, frozen=True, gc=False):
    """A machine's used and free resources, in thousandths, and its price per hour."""

    machine: str
    used_cpus: int
    free_cpus: int
    used_memory: int
    free_memory: int
    price: float
    # Whether it runs no replica: all its tasks end by themselves.
    self_draining: bool

    def load(self) -> float:
        """Return the used fraction of its scarcer resource."""
        return max(
            self.used_cpus / max(1, self.used_cpus + self.free_cpus),
            self.used_memory / max(1, self.used_memory + self.free_memory),
        )


def choose_machines_to_cordon(machines: Iterable[Occupancy]) -> set[str]:
    """Return the machines that waste most, as far as the others have capacity for their tasks."""
    all_machines = list(machines)
    reserve_cpus = _RESERVE_FRACTION * sum(m.used_cpus for m in all_machines)
    reserve_memory = _RESERVE_FRACTION * sum(m.used_memory for m in all_machines)
    spare_cpus = sum(m.free_cpus for m in all_machines) - reserve_cpus
    spare_memory = sum(m.free_memory for m in all_machines) - reserve_memory
    cordoned: set[str] = set()
    for machine in sorted(all_machines, key=lambda m: (-m.price * (1 - m.load()), m.machine)):
        if not machine.self_draining or machine.load() >= _CORDON_LOAD_LIMIT:
            continue
        # Cordoning it takes away its free capacity, and its tasks need capacity elsewhere.
        needed_cpus = machine.free_cpus + machine.used_cpus
        needed_memory = machine.free_memory + machine.used_memory
        if needed_cpus <= spare_cpus and needed_memory <= spare_memory:
            cordoned.add(machine.machine)
            spare_cpus -= needed_cpus
            spare_memory -= needed_memory
    return cordoned
