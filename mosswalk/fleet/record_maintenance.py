"""Records that the leader maintains: the machine types and the chunks of ended jobs."""

from __future__ import annotations

import logging

from msgspec import Raw, structs

from mosswalk.config import Settings
from mosswalk.jobs.registry import JobRegistry
from mosswalk.leadership.actor import Leadership
from mosswalk.store import records
from mosswalk.store.client import ConflictError, RefusedError, UnknownOutcomeError
from mosswalk.store.mirror import Mirror
from mosswalk.store.writer import Change, GroupWriter
from mosswalk.wire.cloud import MachineType

log = logging.getLogger(__name__)


def _encode_without_prices(types: tuple[MachineType, ...]) -> bytes:
    # Prices change often, and other controllers don't need them.
    return records.encode([structs.replace(t, price=0.0, spot_price=0.0) for t in types])


class RecordMaintenance:
    """Writes the leader's records; each write is guarded by the term and the record concerned."""

    def __init__(
        self,
        settings: Settings,
        mirror: Mirror,
        registry: JobRegistry,
        writer: GroupWriter,
        leadership: Leadership,
    ) -> None:
        self._max_txn_ops = settings.params.state.txn_ops
        self._mirror = mirror
        self._registry = registry
        self._writer = writer
        self._leadership = leadership

    def machine_types_recorded(self, types: tuple[MachineType, ...]) -> bool:
        """Return whether the record contains these types, apart from their prices.

        Controllers check submissions against the record.
        """
        return self._mirror.value(records.MACHINE_TYPES_KEY) == _encode_without_prices(types)

    async def write_machine_types(self, types: tuple[MachineType, ...]) -> bool:
        """Record the types that controllers check submissions against; return whether it worked."""
        guards = {
            records.MACHINE_TYPES_KEY: self._mirror.version(records.MACHINE_TYPES_KEY),
            records.TERM_KEY: self._leadership.term_version,
        }
        try:
            await self._writer.commit(
                Change(guards, {records.MACHINE_TYPES_KEY: Raw(_encode_without_prices(types))})
            )
        except (ConflictError, RefusedError, UnknownOutcomeError) as error:
            log.info("machine types not written, to be retried: %s", error)
            return False
        return True

    async def remove_orphaned_chunks(self) -> None:
        """Remove chunks of ended jobs, which the transaction that ends a job leaves behind."""
        orphans = self._registry.orphaned_chunks()
        for start in range(0, len(orphans), self._max_txn_ops):
            batch = orphans[start : start + self._max_txn_ops]
            # While all keys are read anew, a new job's chunks may be seen before its header. Only
            # the state service can tell that there is no header, so the write is guarded by the
            # version of the header's key.
            guards = {records.TERM_KEY: self._leadership.term_version}
            guards.update((records.job_key(orphan.job), orphan.version) for orphan in batch)
            try:
                await self._writer.commit(Change(guards, {}, tuple(o.key for o in batch)))
            except (ConflictError, RefusedError, UnknownOutcomeError) as error:
                log.info("orphaned chunks not removed, to be retried: %s", error)
                return
