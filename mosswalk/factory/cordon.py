"""Which machines to empty so that they can be given back.

The paper's machines fall idle when load drops. Here small tasks keep trickling onto machines
that are mostly empty, so none stays idle for long and none is returned. Cordoned machines get
tasks only when nothing else fits; the give-back itself stays the paper's.
"""

from __future__ import annotations

from collections.abc import Iterable

from msgspec import Struct

# Emptied only if less than this part of it is used.
_MOST_USED = 0.6
# Room that stays open for what arrives next, as a part of what is used.
_RESERVE = 0.2


class Occupancy(Struct, frozen=True, gc=False):
    """A machine's used and free amounts, in thousandths, and its price."""

    machine: str
    used_cpus: int
    free_cpus: int
    used_memory: int
    free_memory: int
    price: float
    self_draining: bool

    def load(self) -> float:
        """The used part of its scarcer amount."""
        return max(
            self.used_cpus / max(1, self.used_cpus + self.free_cpus),
            self.used_memory / max(1, self.used_memory + self.free_memory),
        )


def choose_machines_to_cordon(machines: Iterable[Occupancy]) -> set[str]:
    """The machines that waste most, as far as the others have room for their work."""
    everything = list(machines)
    reserve_cpus = _RESERVE * sum(m.used_cpus for m in everything)
    reserve_memory = _RESERVE * sum(m.used_memory for m in everything)
    spare_cpus = sum(m.free_cpus for m in everything) - reserve_cpus
    spare_memory = sum(m.free_memory for m in everything) - reserve_memory
    cordoned: set[str] = set()
    for machine in sorted(everything, key=lambda m: (-m.price * (1 - m.load()), m.machine)):
        if not machine.self_draining or machine.load() >= _MOST_USED:
            continue
        # Without it, its free room is lost and its work needs room elsewhere.
        need_cpus = machine.free_cpus + machine.used_cpus
        need_memory = machine.free_memory + machine.used_memory
        if need_cpus <= spare_cpus and need_memory <= spare_memory:
            cordoned.add(machine.machine)
            spare_cpus -= need_cpus
            spare_memory -= need_memory
    return cordoned
