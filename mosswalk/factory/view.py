"""The factory's input, a view of machines and waiting tasks, and its decisions."""

from __future__ import annotations

from collections.abc import Mapping

from msgspec import Struct

from mosswalk.jobs.state import Job
from mosswalk.placement.capacity import ZoneRule
from mosswalk.wire.cloud import MachineType

# A machine type, a zone, and whether its machines are spot machines.
Pool = tuple[str, str, bool]


class MachineView(Struct, gc=False):
    """A machine as the factory sees it."""

    name: str
    pool: Pool
    phase: str  # "requested", "booting" or "up"
    phase_since_us: int
    rented_at_us: int
    usable: bool
    idle_since_us: int | None
    load: float
    # Only a cordoned machine is released when idle, or cheap machines would be released while
    # expensive ones still run tasks.
    cordoned: bool = True


class WaitingTasks(Struct):
    """Tasks of one job that do not fit on the booted machines."""

    job: Job
    count: int
    rule: ZoneRule
    # Whether they wait for spot machines for now, so that no on-demand machines are rented.
    waits_for_spot: bool = False
    # Tasks of prod jobs, of gangs, within the team's guarantee or that have waited for long: a
    # machine is rented for them even if they leave it mostly empty.
    urgent: bool = False


class FleetView(Struct):
    """All that the factory's decisions depend on."""

    now_us: int
    types: Mapping[str, MachineType]
    machines: list[MachineView]
    waiting: list[WaitingTasks]
    calls_left: int


class Rent(Struct, frozen=True):
    """Rent one machine in each of these pools, as a rental group.

    The group serves a need for one machine: once the first has booted, the others are released.
    """

    group: int
    pools: tuple[Pool, ...]


class Release(Struct, frozen=True):
    """Release a machine."""

    machine: str
    reason: str


def release_order(machine: MachineView) -> tuple[int, int]:
    """Sort key for releases: newest requested, then newest booting, then longest idle."""
    if machine.phase == "requested":
        return (0, -machine.phase_since_us)
    if machine.phase == "booting":
        return (1, -machine.phase_since_us)
    return (2, machine.idle_since_us if machine.idle_since_us is not None else 1 << 62)
