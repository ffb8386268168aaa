"""Messages between controllers and the state service."""

from __future__ import annotations

from msgspec import UNSET, Raw, Struct, UnsetType, field


class Row(Struct, frozen=True):
    """A key with its value."""

    key: str = field(name="path")
    value: Raw = field(name="v")
    version: int = field(name="stamp")
    lease: int | None = field(name="hold", default=None)


class RowPage(Struct, frozen=True):
    """The answer to a range read."""

    rows: tuple[Row, ...]
    revision: int = field(name="ledger")
    truncated: bool = False


class Guard(Struct, frozen=True):
    """A condition: the key must have this version, 0 for none."""

    key: str = field(name="path")
    version: int = field(name="stamp")


class Write(Struct, frozen=True, omit_defaults=True):
    """A put, or a delete when ``delete`` is set."""

    key: str | UnsetType = field(name="write", default=UNSET)
    value: Raw | UnsetType = field(name="v", default=UNSET)
    lease: int | UnsetType = field(name="hold", default=UNSET)
    delete: str | UnsetType = field(default=UNSET)


class Transaction(Struct, frozen=True):
    """POST /commit."""

    guards: tuple[Guard, ...]
    writes: tuple[Write, ...]


class Committed(Struct, frozen=True):
    """The 200 answer to a commit."""

    revision: int = field(name="ledger")


class Conflict(Struct, frozen=True):
    """The 409 answer to a commit."""

    failed: tuple[str, ...]


class LeaseRequest(Struct, frozen=True):
    """POST /holds."""

    ttl_ms: int


class Lease(Struct, frozen=True):
    """A granted lease."""

    lease: int = field(name="hold")


class Event(Struct, frozen=True):
    """One change seen by a watch."""

    version: int = field(name="stamp")
    key: str | None = field(name="write", default=None)
    value: Raw = field(name="v", default=Raw(b""))
    delete: str | None = None


class Events(Struct, frozen=True):
    """The answer to a watch."""

    revision: int = field(name="ledger")
    events: tuple[Event, ...]
