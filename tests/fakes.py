"""Fakes of the clock and the state service, and builders of test data.

The state service is written from its published protocol.
"""

from __future__ import annotations

import contextlib
import json
from collections import deque

import msgspec
from msgspec import UNSET, Raw

from mosswalk.store.client import (
    ConflictError,
    InvalidRequestError,
    NoLeaseError,
    RefusedError,
    UnknownOutcomeError,
)
from mosswalk.store.records import RecordLimits
from mosswalk.wire import state as wire
from mosswalk.wire.cloud import MachineType
from mosswalk.wire.users import JobSpec

# Limits that tests use for the records in the state service.
RECORD_LIMITS = RecordLimits(16 * 1024, 16)


class FakeClock:
    """A clock that moves only when a test advances it."""

    def __init__(self) -> None:
        self.us = 1_000_000

    def now_us(self) -> int:
        return self.us

    def wall_us(self) -> int:
        return self.us


class InMemoryStore:
    """The rules of the state service in memory: versions, guards, leases and events."""

    def __init__(self) -> None:
        self.revision = 0
        self.rows: dict[str, tuple[bytes, int, int | None]] = {}
        self.events: list[dict] = []
        self.leases: set[int] = set()
        self.next_lease = 1

    def commit(self, transaction: wire.Transaction) -> int:
        writes = list(transaction.writes)
        failed = tuple(
            g.key
            for g in transaction.guards
            if (self.rows[g.key][1] if g.key in self.rows else 0) != g.version
        )
        for write in writes:
            if write.lease is not UNSET and write.lease not in self.leases:
                raise NoLeaseError
        if failed:
            raise ConflictError(failed, self.revision)
        if writes:
            self.revision += 1
        for write in writes:
            if write.delete is not UNSET:
                self._delete(write.delete)
            else:
                lease = None if write.lease is UNSET else write.lease
                self.rows[write.key] = (bytes(write.value), self.revision, lease)
                self.events.append(
                    {
                        "write": write.key,
                        "v": json.loads(bytes(write.value)),
                        "stamp": self.revision,
                    }
                )
        return self.revision

    def _delete(self, key: str) -> None:
        if self.rows.pop(key, None) is not None:
            self.events.append({"delete": key, "stamp": self.revision})

    def grant(self) -> int:
        lease, self.next_lease = self.next_lease, self.next_lease + 1
        self.leases.add(lease)
        return lease

    def end_lease(self, lease: int) -> None:
        self.leases.discard(lease)
        expired = [k for k, row in self.rows.items() if row[2] == lease]
        if expired:
            self.revision += 1
        for key in expired:
            self._delete(key)


def is_too_large(transaction: wire.Transaction) -> bool:
    """Whether the state service answers a transaction with 400 for its size."""
    return len(msgspec.json.encode(transaction)) > 64 * 1024


class FakeStateClient:
    """A client of the state service whose commits fail or are delayed as a test has planned.

    Each commit takes one entry of ``planned_results``; without an entry it succeeds:

    - ``ok``: executed and answered
    - ``refused``: the service refuses it
    - ``lost``: never executed, and the caller gets no answer
    - ``late``: the caller gets no answer; executed when the test calls ``commit_delayed``
    - ``blind``: executed, but the caller gets no answer
    """

    def __init__(self, store: InMemoryStore) -> None:
        self.store = store
        self.planned_results: deque[str] = deque()
        self.delayed_transactions: list[wire.Transaction] = []
        self.commit_count = 0

    async def commit(self, transaction: wire.Transaction, timeout_s: float = 0) -> int:
        self.commit_count += 1
        if is_too_large(transaction):
            raise InvalidRequestError("status 400")
        result = self.planned_results.popleft() if self.planned_results else "ok"
        if result == "refused":
            raise RefusedError("planned")
        if result == "lost":
            raise UnknownOutcomeError("planned")
        if result == "late":
            self.delayed_transactions.append(transaction)
            raise UnknownOutcomeError("planned")
        revision = self.store.commit(transaction)
        if result == "blind":
            raise UnknownOutcomeError("planned")
        return revision

    def commit_delayed(self) -> None:
        delayed, self.delayed_transactions = self.delayed_transactions, []
        for transaction in delayed:
            with contextlib.suppress(ConflictError):
                self.store.commit(transaction)

    async def end_lease(self, lease: int) -> None:
        self.store.end_lease(lease)

    async def get(self, key: str) -> wire.Row | None:
        row = self.store.rows.get(key)
        return wire.Row(key, Raw(row[0]), row[1]) if row else None

    async def read_range(self, prefix: str, after: str | None, limit: int = 500) -> wire.RowPage:
        keys = sorted(k for k in self.store.rows if k.startswith(prefix) and k > (after or ""))
        rows = tuple(
            wire.Row(k, Raw(self.store.rows[k][0]), self.store.rows[k][1]) for k in keys[:limit]
        )
        return wire.RowPage(rows, self.store.revision, len(keys) > limit)

    async def watch(self, prefix: str, after: int, hold_ms: int) -> wire.Events:
        body = {
            "ledger": self.store.revision,
            "events": [
                e
                for e in self.store.events
                if e["stamp"] > after and (e.get("write") or e.get("delete", "")).startswith(prefix)
            ],
        }
        return msgspec.json.decode(json.dumps(body).encode(), type=wire.Events)


def job_spec(job_id: str = "j-000001", **changes: object) -> JobSpec:
    """Build a job that fits on nearly every machine; ``changes`` replace single fields."""
    fields: dict = {
        "id": job_id,
        "job_class": "batch",
        "team": "red",
        "kind": "array",
        "priority": "standard",
        "tasks": 4,
        "cpus": 1.0,
        "gpus": 0.0,
        "memory_gb": 1.0,
        "image": "img",
        "image_gb": 1.0,
        "one_zone": False,
        "spread": False,
        "spot": True,
        "estimate_s": 30.0,
        "checkpoint_interval_s": 0.0,
        "checkpoint_duration_s": 0.0,
    }
    return JobSpec(**{**fields, **changes})


def machine_type(name: str = "small", **changes: object) -> MachineType:
    """Build a machine type; ``changes`` replace single fields."""
    fields: dict = {
        "cpus": 4.0,
        "gpus": 0.0,
        "memory_gb": 16.0,
        "cache_gb": 20.0,
        "fetch_gb_per_s": 1.0,
        "price": 0.4,
        "spot_price": 0.1,
        "boot_s": 10.0,
        "zones": ("a", "b"),
    }
    return MachineType(name, **{**fields, **changes})
