"""Records that the leader keeps in order: the machine types, and what is left of jobs."""

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


def _without_prices(types: tuple[MachineType, ...]) -> bytes:
    # They move, and do not matter to others.
    return records.encode([structs.replace(t, price=0.0, spot_price=0.0) for t in types])


class RecordMaintenance:
    """Every write is guarded by the term, and by what it is about."""

    def __init__(
        self,
        settings: Settings,
        mirror: Mirror,
        registry: JobRegistry,
        writer: GroupWriter,
        leadership: Leadership,
    ) -> None:
        self._ops = settings.params.state.txn_ops
        self._mirror = mirror
        self._registry = registry
        self._writer = writer
        self._leadership = leadership

    def machine_types_recorded(self, types: tuple[MachineType, ...]) -> bool:
        """Whether these are the types that others judge submissions by."""
        return self._mirror.value(records.MACHINE_TYPES_KEY) == _without_prices(types)

    async def write_machine_types(self, types: tuple[MachineType, ...]) -> bool:
        """Write what others judge submissions by; whether that worked."""
        guards = {
            records.MACHINE_TYPES_KEY: self._mirror.version(records.MACHINE_TYPES_KEY),
            records.TERM_KEY: self._leadership.term_version,
        }
        try:
            await self._writer.commit(
                Change(guards, {records.MACHINE_TYPES_KEY: Raw(_without_prices(types))})
            )
        except (ConflictError, RefusedError, UnknownOutcomeError) as error:
            log.info("machine types not written: %s", error)
            return False
        return True

    async def remove_orphaned_chunks(self) -> None:
        """Remove chunks of jobs that are over; their removal is not part of the job's end."""
        orphans = self._registry.orphaned_chunks()
        for start in range(0, len(orphans), self._ops):
            some = orphans[start : start + self._ops]
            # When all keys are read anew, a new job's chunks may be seen before its header: only
            # the state service knows that there is none.
            guards = {records.TERM_KEY: self._leadership.term_version}
            guards.update((records.job_key(orphan.job), orphan.version) for orphan in some)
            try:
                await self._writer.commit(Change(guards, {}, tuple(o.key for o in some)))
            except (ConflictError, RefusedError, UnknownOutcomeError) as error:
                log.info("orphans not removed: %s", error)
                return
