"""Messages between controllers and the cloud's API."""

from __future__ import annotations

from typing import Literal

from msgspec import Struct, field

# Limits of the cloud's API for each request.
MAX_MACHINES_PER_RENTAL = 50
MAX_MACHINES_PER_RELEASE = 100
MAX_MACHINES_PER_PAGE = 500


class MachineType(Struct, frozen=True):
    """A machine type that can be rented, with its current prices."""

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
    """The response to GET /machine_types."""

    types: tuple[MachineType, ...] = field(name="builds")


class RentRequest(Struct, frozen=True):
    """The body of POST /machines."""

    request_id: str = field(name="hire")
    type: str = field(name="build")
    zone: str = field(name="yard")
    spot: bool = field(name="reclaimable")
    count: int = field(name="how_many")


class MachineNames(Struct, frozen=True):
    """The response to POST /machines and the body of POST /machines/release."""

    machines: tuple[str, ...] = field(name="hosts")


class ListedMachine(Struct, frozen=True):
    """A machine as GET /machines lists it."""

    name: str = field(name="ref")
    type: str = field(name="build")
    zone: str = field(name="yard")
    phase: Literal["booting", "running", "failed"]
    spot: bool = field(name="reclaimable", default=False)
    address: str | None = field(name="addr", default=None)
    rented_for_s: float = field(name="held_s", default=0.0)


class MachineList(Struct, frozen=True):
    """A page of the response to GET /machines."""

    machines: tuple[ListedMachine, ...] = field(name="hosts")
    truncated: bool = False
