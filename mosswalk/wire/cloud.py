"""Messages between controllers and the cloud."""

from __future__ import annotations

from typing import Literal

from msgspec import Struct, field

MAX_MACHINES_PER_RENTAL = 50
MAX_MACHINES_PER_RELEASE = 100
MAX_MACHINES_PER_PAGE = 500


class MachineType(Struct, frozen=True):
    """A shape of machine that can be rented."""

    name: str = field(name="label")
    cpus: float = field(name="cores")
    gpus: float = field(name="cards")
    memory_gb: float = field(name="ram_gb")
    cache_gb: float
    fetch_gb_per_s: float
    price: float
    spot_price: float
    boot_s: float = field(name="ready_s")
    zones: tuple[str, ...] = field(name="yards")


class MachineTypes(Struct, frozen=True):
    """The answer to GET /machine_types."""

    types: tuple[MachineType, ...] = field(name="builds")


class RentRequest(Struct, frozen=True):
    """POST /machines."""

    request_id: str = field(name="hire")
    type: str = field(name="build")
    zone: str = field(name="yard")
    spot: bool = field(name="reclaimable")
    count: int = field(name="how_many")


class MachineNames(Struct, frozen=True):
    """The answer to a rental and the body of a release."""

    machines: tuple[str, ...] = field(name="hosts")


class ListedMachine(Struct, frozen=True):
    """A row of the machine list."""

    name: str = field(name="ref")
    type: str = field(name="build")
    zone: str = field(name="yard")
    phase: Literal["booting", "running", "failed"]
    spot: bool = field(name="reclaimable", default=False)
    address: str | None = field(name="addr", default=None)
    rented_for_s: float = field(name="held_s", default=0.0)


class MachineList(Struct, frozen=True):
    """A page of the machine list."""

    machines: tuple[ListedMachine, ...] = field(name="hosts")
    truncated: bool = False
