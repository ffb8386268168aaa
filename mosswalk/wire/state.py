"""Messages between controllers and the state service, a versioned key-value store.

A lease is called a hold on the wire. A field ``lease`` is the id of a lease.
"""

from __future__ import annotations

from msgspec import UNSET, Raw, Struct, UnsetType, field

# The largest transaction that the service accepts, encoded.
MAX_TRANSACTION_BYTES = 64 * 1024


class Row(Struct, frozen=True):
    """A key with its value, its version and the id of the lease it is attached to, if any."""

    key: str = field(name="path")
    value: Raw = field(name="v")
    version: int = field(name="stamp")
    lease: int | None = field(name="hold", default=None)


class RowPage(Struct, frozen=True):
    """A page of the response to a range read."""

    rows: tuple[Row, ...]
    revision: int = field(name="ledger")
    truncated: bool = False


class Guard(Struct, frozen=True):
    """A condition of a transaction: the key has this version.

    Version 0 means that the key doesn't exist.
    """

    key: str = field(name="path")
    version: int = field(name="stamp")


class Write(Struct, frozen=True, omit_defaults=True):
    """A put of ``key``, or a deletion of the key in ``delete`` if that is set."""

    key: str | UnsetType = field(name="write", default=UNSET)
    value: Raw | UnsetType = field(name="v", default=UNSET)
    lease: int | UnsetType = field(name="hold", default=UNSET)
    delete: str | UnsetType = field(default=UNSET)


class Transaction(Struct, frozen=True):
    """The body of POST /commit."""

    guards: tuple[Guard, ...]
    writes: tuple[Write, ...]


class Committed(Struct, frozen=True):
    """The 200 response to a commit."""

    revision: int = field(name="ledger")


class Conflict(Struct, frozen=True):
    """The 409 response to a commit: the keys whose guards failed, and the service's revision."""

    failed: tuple[str, ...]
    revision: int = field(name="ledger", default=0)


class LeaseRequest(Struct, frozen=True):
    """The body of POST /holds, which requests a lease."""

    ttl_ms: int


class Lease(Struct, frozen=True):
    """A granted lease: its id, which is ``hold`` on the wire."""

    lease: int = field(name="hold")


class Event(Struct, frozen=True):
    """One change reported by a watch: a put of ``key``, or a deletion of the key in ``delete``."""

    version: int = field(name="stamp")
    key: str | None = field(name="write", default=None)
    value: Raw = field(name="v", default=Raw(b""))
    delete: str | None = None


class Events(Struct, frozen=True):
    """The response to a watch request."""

    revision: int = field(name="ledger")
    events: tuple[Event, ...]
