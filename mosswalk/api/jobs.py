"""What users are told: each answer only after the state service has it."""

from __future__ import annotations

import asyncio
import logging
import random
from collections import OrderedDict
from collections.abc import Awaitable, Callable, Mapping

import msgspec
from msgspec import Raw, Struct

from mosswalk.actors import Clock
from mosswalk.config import Settings, Team
from mosswalk.jobs.admission import rejection_reason
from mosswalk.jobs.state import Job, new_record, record_limits, withdraw_change
from mosswalk.store import records
from mosswalk.store.client import (
    ConflictError,
    RefusedError,
    StateClient,
    UnknownOutcomeError,
)
from mosswalk.store.mirror import Mirror
from mosswalk.store.records import FinalRecord, JobRecord
from mosswalk.store.writer import Change, GroupWriter
from mosswalk.wire.cloud import MachineType
from mosswalk.wire.peers import PollAnswer, Withdrawal
from mosswalk.wire.users import (
    GANG,
    JOB_ID,
    ErrorBody,
    InvalidJobError,
    JobSpec,
    JobState,
    decode_job,
    peek_id,
)

log = logging.getLogger(__name__)

# Users give up after 5 s on submissions and 2 s on polls. One that could not be written by half
# of that is told when to come back, not held to the end.
_SUBMIT_S = 2.5
# A poll leaves time to ask another controller.
_POLL_S = 1.0
_MOST_FINAL = 2000
_TRIES = 6


class Reply(Struct, frozen=True):
    """An answer to a user."""

    status: int
    body: bytes
    retry_after_s: int | None = None


def _state(status: int, state: JobState) -> Reply:
    return Reply(status, msgspec.json.encode(state))


def _error(status: int, text: str, retry_after_s: int | None = None) -> Reply:
    return Reply(status, msgspec.json.encode(ErrorBody(text[:300])), retry_after_s)


def open_state(record: JobRecord) -> JobState:
    """The state of a job that is in the mirror."""
    job_id = record.spec.id
    if record.phase == "withdrawn":
        return JobState(job_id, "withdrawn", record.done_count, record.live_count)
    if record.completed():
        return JobState(job_id, "done", record.done_count, 0)
    phase = "running" if record.live_count else "pending"
    return JobState(job_id, phase, record.done_count, record.live_count)  # type: ignore[arg-type]


class JobService:
    """Submissions, polls and withdrawals; holds nothing but a bounded cache of final states."""

    def __init__(
        self,
        settings: Settings,
        client: StateClient,
        mirror: Mirror,
        writer: GroupWriter,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._client = client
        self._mirror = mirror
        self._writer = writer
        self._clock = clock
        self._rng = rng
        self._teams: Mapping[str, Team] = {team.name: team for team in settings.params.teams}
        self._limits = record_limits(settings.params.state)
        # Whether all controllers can deal with gangs.
        self.gangs_allowed: Callable[[], bool] = lambda: True
        # Asks another controller that the state service serves, while it does not serve this one.
        self.poll_other_controller: Callable[[str], Awaitable[PollAnswer | None]] | None = None
        # Tells the other controllers of a withdrawal.
        self.on_withdrawn: Callable[[Withdrawal], None] = lambda _: None
        self._final: OrderedDict[str, FinalRecord] = OrderedDict()
        self._types: tuple[MachineType, ...] = ()
        mirror.listen(records.MACHINE_TYPES_KEY, self._types_changed)

    def _types_changed(self, _key: str, value: bytes | None, _version: int) -> None:
        if value is not None:
            self._types = records.decode_machine_types(value)

    def _retry_after_s(self) -> int:
        # Spread out, so that users turned away together do not come back together.
        return self._rng.randint(1, 3)

    def _busy(self, text: str) -> Reply:
        return _error(503, text, self._retry_after_s())

    # Reading.

    async def _read(self, job_id: str) -> tuple[JobRecord, int] | FinalRecord | None:
        """A job's record and version, its final record, or None if nobody submitted it.

        A job moves from its own key to the final one and never back, so asking in this order
        can't miss it.
        """
        final = self._final.get(job_id)
        if final is not None:
            return final
        row = await self._client.get(records.job_key(job_id))
        if row is not None:
            return records.decode_job_record(bytes(row.value)), row.version
        row = await self._client.get(records.final_key(job_id))
        if row is None:
            return None
        final = records.decode_final(bytes(row.value))
        self._remember(job_id, final)
        return final

    def _remember(self, job_id: str, final: FinalRecord) -> None:
        # Only what can't change any more may be answered without asking the state service.
        self._final[job_id] = final
        while len(self._final) > _MOST_FINAL:
            self._final.popitem(last=False)

    @staticmethod
    def _describe(job_id: str, found: tuple[JobRecord, int] | FinalRecord) -> JobState:
        if isinstance(found, FinalRecord):
            return JobState(job_id, found.phase, found.done, 0)
        return open_state(found[0])

    # What users ask.

    async def poll(self, job_id: str) -> Reply:
        """GET /api/jobs/{id}."""
        reply = await self.poll_here(job_id)
        if reply.status == 503 and self.poll_other_controller is not None:
            # Else the jobs of users whose connections stay with us would look forgotten.
            answer = await self.poll_other_controller(job_id)
            if answer is not None and answer.status in (200, 404):
                return Reply(answer.status, answer.body)
        return reply

    async def poll_for_peer(self, job_id: str) -> PollAnswer:
        """The same, for another controller; never asked on, or it would go in circles."""
        reply = await self.poll_here(job_id)
        return PollAnswer(reply.status, reply.body)

    async def poll_here(self, job_id: str) -> Reply:
        """A poll answered by what the state service tells this controller."""
        if not JOB_ID.match(job_id):
            return _error(404, "no such job")
        try:
            async with asyncio.timeout(_POLL_S):
                found = await self._read(job_id)
        except (RefusedError, UnknownOutcomeError, TimeoutError):
            return self._busy("state service does not answer")
        if found is None:
            return _error(404, "no such job")
        return _state(200, self._describe(job_id, found))

    async def submit(self, body: bytes) -> Reply:
        """POST /api/jobs."""
        try:
            async with asyncio.timeout(_SUBMIT_S):
                return await self._submit(body)
        except (RefusedError, UnknownOutcomeError, TimeoutError):
            return self._busy("state service does not answer")

    async def _submit(self, body: bytes) -> Reply:
        try:
            spec = decode_job(body)
        except InvalidJobError as error:
            # An accepted job stays known, however a later submission of it looks.
            job_id = peek_id(body)
            known = await self._known(job_id) if job_id is not None else None
            log.info("malformed submission of %s: %s", job_id, error)
            return known or _error(400, str(error))
        if not self._types:
            known = await self._known(spec.id)
            return known or self._busy("machine types not known yet")
        reason = rejection_reason(spec, self._types, self._teams)
        if reason is not None:
            known = await self._known(spec.id)
            return known or _error(422, reason)
        if spec.kind == GANG and not self.gangs_allowed():
            known = await self._known(spec.id)
            return known or self._busy("gangs are taken once all controllers are upgraded")
        if self._writer.estimated_wait_s() > _SUBMIT_S / 2:
            # It would wait for nothing: told at once when to come back, it may be in time.
            known = await self._known(spec.id)
            return known or self._busy("more is submitted than can be written")
        return await self._create(spec)

    async def _known(self, job_id: str) -> Reply | None:
        found = await self._read(job_id)
        return _state(200, self._describe(job_id, found)) if found is not None else None

    async def _create(self, spec: JobSpec) -> Reply:
        if spec.id in self._final:
            return _state(200, self._describe(spec.id, self._final[spec.id]))
        key = records.job_key(spec.id)
        chunk = records.chunk_size(self._limits, spec)
        record = new_record(spec, self._clock.wall_us(), chunk)
        value = records.encode(record)
        if len(value) > self._limits.value_bytes:
            log.error("%s: its description takes %d bytes", spec.id, len(value))
            return self._busy("the description is larger than can be stored")
        change = Change({key: 0, records.final_key(spec.id): 0}, {key: Raw(value)}, fail_fast=True)
        for _ in range(_TRIES):
            try:
                revision = await self._writer.commit(change)
            except ConflictError:
                known = await self._known(spec.id)
                if known is not None:
                    return known
                continue
            self._mirror.apply_response(key, value, revision)
            self._mirror.notify_batch_applied()
            log.info("accepted %s: %s of %s, %d tasks", spec.id, spec.kind, spec.team, spec.tasks)
            return _state(201, JobState(spec.id, "pending"))
        return self._busy("try again")

    async def withdraw(self, job_id: str) -> Reply:
        """POST /api/jobs/{id}/withdraw."""
        if not JOB_ID.match(job_id):
            return _error(404, "no such job")
        try:
            async with asyncio.timeout(_SUBMIT_S):
                return await self._withdraw(job_id)
        except (RefusedError, UnknownOutcomeError, TimeoutError):
            return self._busy("state service does not answer")

    async def _withdraw(self, job_id: str) -> Reply:
        for _ in range(_TRIES):
            found = await self._read(job_id)
            if found is None:
                return _error(404, "no such job")
            if isinstance(found, FinalRecord):
                return _state(200, JobState(job_id, found.phase))
            record, version = found
            if record.phase == "withdrawn":
                return _state(200, JobState(job_id, "withdrawn"))
            if record.completed():
                return _state(200, JobState(job_id, "done"))
            change = withdraw_change(Job(record, version), self._clock.wall_us())
            change.fail_fast = True
            try:
                revision = await self._writer.commit(change)
            except ConflictError:
                # Its owner wrote meanwhile: look again.
                continue
            self._mirror.apply_change(change, revision)
            self._mirror.notify_batch_applied()
            # Without a record the job was over at once.
            left = change.puts.get(records.job_key(job_id))
            self.on_withdrawn(
                Withdrawal(job_id, bytes(left) if left is not None else None, revision)
            )
            log.info("withdrawn %s", job_id)
            return _state(200, JobState(job_id, "withdrawn"))
        return self._busy("try again")
