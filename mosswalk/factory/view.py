"""What the factory decides on, and its decisions."""

from __future__ import annotations

from collections.abc import Mapping

from msgspec import Struct

from mosswalk.jobs.state import Job
from mosswalk.placement.capacity import ZoneRule
from mosswalk.wire.cloud import MachineType

# A machine type, a zone, and whether its machines are spot ones.
Pool = tuple[str, str, bool]


class MachineView(Struct, gc=False):
    """A machine as the factory sees it."""

    name: str
    pool: Pool
    phase: str  # requested, booting, up
    phase_since_us: int
    rented_at_us: int
    usable: bool
    idle_since_us: int | None
    load: float
    # Chosen to be emptied: an idle machine that is not stays, or cheap ones would be given
    # back while dear ones are still at work.
    cordoned: bool = True


class WaitingTasks(Struct):
    """Tasks of one job that found no room on booted machines."""

    job: Job
    count: int
    rule: ZoneRule
    # May wait a while for spot machines rather than have steady ones rented.
    waits_for_spot: bool = False
    # Prod, or within a guarantee: not to wait for others to fill a machine with it.
    urgent: bool = False


class FleetView(Struct):
    """All the factory decides on."""

    now_us: int
    types: Mapping[str, MachineType]
    machines: list[MachineView]
    waiting: list[WaitingTasks]
    calls_left: int


class Rent(Struct, frozen=True):
    """Rent one machine in each of these pools, the copies of one another."""

    group: int
    pools: tuple[Pool, ...]


class Release(Struct, frozen=True):
    """Return a machine."""

    machine: str
    reason: str


def release_order(machine: MachineView) -> tuple[int, int]:
    """Newest requested, then newest booting, then longest idle."""
    if machine.phase == "requested":
        return (0, -machine.phase_since_us)
    if machine.phase == "booting":
        return (1, -machine.phase_since_us)
    return (2, machine.idle_since_us if machine.idle_since_us is not None else 1 << 62)
