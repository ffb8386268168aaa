"""Users' requests: submissions, polls and withdrawals of jobs.

A change is acknowledged only after the state service has committed it.
"""

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

# Users time out after 5 s on submissions and 2 s on polls. A request that could not be served
# within half of that gets a 503 with Retry-After instead of being kept until the user times out.
_SUBMIT_TIMEOUT_S = 2.5
# The other half of a poll's time is left for asking another controller.
_POLL_TIMEOUT_S = 1.0
_MAX_CACHED_FINALS = 2000
_MAX_COMMIT_ATTEMPTS = 6
_MIN_RETRY_AFTER_S = 1
_MAX_RETRY_AFTER_S = 3
_MAX_ERROR_CHARS = 300


class Reply(Struct, frozen=True):
    """A response to a user."""

    status: int
    body: bytes
    retry_after_s: int | None = None


def _state_reply(status: int, state: JobState) -> Reply:
    return Reply(status, msgspec.json.encode(state))


def _error_reply(status: int, text: str, retry_after_s: int | None = None) -> Reply:
    return Reply(status, msgspec.json.encode(ErrorBody(text[:_MAX_ERROR_CHARS])), retry_after_s)


def state_of_unfinished_job(record: JobRecord) -> JobState:
    """The state of a job that has no final record yet, as shown to users.

    Such a job may be withdrawn or complete, while some of its attempts may still run. A complete
    one is shown as done and without running tasks.
    """
    job_id = record.spec.id
    if record.phase == "withdrawn":
        return JobState(job_id, "withdrawn", record.done_count, record.live_count)
    if record.completed():
        return JobState(job_id, "done", record.done_count, 0)
    phase = "running" if record.live_count else "pending"
    return JobState(job_id, phase, record.done_count, record.live_count)  # type: ignore[arg-type]


class JobService:
    """Handles submissions, polls and withdrawals.

    Its only state about jobs is a bounded cache of final records.
    """

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
        # Whether the version of every controller supports gangs.
        self.gangs_allowed: Callable[[], bool] = lambda: True
        # Polls through another controller, which the state service serves, while it does not serve
        # this one.
        self.poll_other_controller: Callable[[str], Awaitable[PollAnswer | None]] | None = None
        # Called for each withdrawal that was committed here, to inform the other controllers.
        self.on_withdrawn: Callable[[Withdrawal], None] = lambda _: None
        self._cached_finals: OrderedDict[str, FinalRecord] = OrderedDict()
        self._machine_types: tuple[MachineType, ...] = ()
        mirror.listen(records.MACHINE_TYPES_KEY, self._on_machine_types)

    def _on_machine_types(self, _key: str, value: bytes | None, _version: int) -> None:
        if value is not None:
            self._machine_types = records.decode_machine_types(value)

    def _retry_after_s(self) -> int:
        # Randomized, so that users who were rejected together do not all retry together.
        return self._rng.randint(_MIN_RETRY_AFTER_S, _MAX_RETRY_AFTER_S)

    def _unavailable(self, text: str) -> Reply:
        return _error_reply(503, text, self._retry_after_s())

    async def _read(self, job_id: str) -> tuple[JobRecord, int] | FinalRecord | None:
        """Read a job's record and version, or its final record; None if it was never submitted.

        A job moves from its own key to the key of its final record and never back, so reading them
        in this order can't miss it.
        """
        final = self._cached_finals.get(job_id)
        if final is not None:
            return final
        row = await self._client.get(records.job_key(job_id))
        if row is not None:
            return records.decode_job_record(bytes(row.value)), row.version
        row = await self._client.get(records.final_key(job_id))
        if row is None:
            return None
        final = records.decode_final(bytes(row.value))
        self._cache_final(job_id, final)
        return final

    def _cache_final(self, job_id: str, final: FinalRecord) -> None:
        # Final records never change, so only they may be answered without reading the store.
        self._cached_finals[job_id] = final
        while len(self._cached_finals) > _MAX_CACHED_FINALS:
            self._cached_finals.popitem(last=False)

    @staticmethod
    def _job_state(job_id: str, found: tuple[JobRecord, int] | FinalRecord) -> JobState:
        if isinstance(found, FinalRecord):
            return JobState(job_id, found.phase, found.done, 0)
        return state_of_unfinished_job(found[0])

    async def poll(self, job_id: str) -> Reply:
        """Handle GET /api/jobs/{id}."""
        reply = await self.poll_locally(job_id)
        if reply.status == 503 and self.poll_other_controller is not None:
            # Users whose connections stay open to this controller would otherwise not learn their
            # jobs' states while other controllers can read them.
            answer = await self.poll_other_controller(job_id)
            if answer is not None and answer.status in (200, 404):
                return Reply(answer.status, answer.body)
        return reply

    async def poll_for_peer(self, job_id: str) -> PollAnswer:
        """Handle a poll passed on by another controller; never passed on again, to avoid loops."""
        reply = await self.poll_locally(job_id)
        return PollAnswer(reply.status, reply.body)

    async def poll_locally(self, job_id: str) -> Reply:
        """Answer a poll from the state service without asking other controllers."""
        if not JOB_ID.match(job_id):
            return _error_reply(404, "no such job")
        try:
            async with asyncio.timeout(_POLL_TIMEOUT_S):
                found = await self._read(job_id)
        except (RefusedError, UnknownOutcomeError, TimeoutError):
            return self._unavailable("state service does not answer")
        if found is None:
            return _error_reply(404, "no such job")
        return _state_reply(200, self._job_state(job_id, found))

    async def submit(self, body: bytes) -> Reply:
        """Handle POST /api/jobs."""
        try:
            async with asyncio.timeout(_SUBMIT_TIMEOUT_S):
                return await self._submit(body)
        except (RefusedError, UnknownOutcomeError, TimeoutError):
            return self._unavailable("state service does not answer")

    async def _submit(self, body: bytes) -> Reply:
        try:
            spec = decode_job(body)
        except InvalidJobError as error:
            # If the job was accepted before, its state is returned even if this body is malformed.
            job_id = peek_id(body)
            known = await self._reply_if_known(job_id) if job_id is not None else None
            log.info("malformed submission of %s: %s", job_id, error)
            return known or _error_reply(400, str(error))
        if not self._machine_types:
            known = await self._reply_if_known(spec.id)
            return known or self._unavailable("machine types not known yet")
        reason = rejection_reason(spec, self._machine_types, self._teams)
        if reason is not None:
            known = await self._reply_if_known(spec.id)
            return known or _error_reply(422, reason)
        if spec.kind == GANG and not self.gangs_allowed():
            known = await self._reply_if_known(spec.id)
            return known or self._unavailable("gangs are taken once all controllers are upgraded")
        if self._writer.estimated_wait_s() > _SUBMIT_TIMEOUT_S / 2:
            # The job would wait in the write queue and time out. Rejecting it at once with
            # Retry-After gives the user time to submit it again.
            known = await self._reply_if_known(spec.id)
            return known or self._unavailable("more is submitted than can be written")
        return await self._create(spec)

    async def _reply_if_known(self, job_id: str) -> Reply | None:
        found = await self._read(job_id)
        return _state_reply(200, self._job_state(job_id, found)) if found is not None else None

    async def _create(self, spec: JobSpec) -> Reply:
        if spec.id in self._cached_finals:
            return _state_reply(200, self._job_state(spec.id, self._cached_finals[spec.id]))
        key = records.job_key(spec.id)
        chunk_size = records.chunk_size(self._limits, spec)
        record = new_record(spec, self._clock.wall_us(), chunk_size)
        value = records.encode(record)
        if len(value) > self._limits.value_bytes:
            log.error("%s: the job record of %d bytes exceeds the limit", spec.id, len(value))
            return self._unavailable("the description is larger than can be stored")
        change = Change({key: 0, records.final_key(spec.id): 0}, {key: Raw(value)}, fail_fast=True)
        for _ in range(_MAX_COMMIT_ATTEMPTS):
            try:
                revision = await self._writer.commit(change)
            except ConflictError:
                known = await self._reply_if_known(spec.id)
                if known is not None:
                    return known
                continue
            self._mirror.apply_change(change, revision)
            self._mirror.notify_batch_applied()
            log.info("accepted %s: %s of %s, %d tasks", spec.id, spec.kind, spec.team, spec.tasks)
            return _state_reply(201, JobState(spec.id, "pending"))
        return self._unavailable("try again")

    async def withdraw(self, job_id: str) -> Reply:
        """Handle POST /api/jobs/{id}/withdraw."""
        if not JOB_ID.match(job_id):
            return _error_reply(404, "no such job")
        try:
            async with asyncio.timeout(_SUBMIT_TIMEOUT_S):
                return await self._withdraw(job_id)
        except (RefusedError, UnknownOutcomeError, TimeoutError):
            return self._unavailable("state service does not answer")

    async def _withdraw(self, job_id: str) -> Reply:
        for _ in range(_MAX_COMMIT_ATTEMPTS):
            found = await self._read(job_id)
            if found is None:
                return _error_reply(404, "no such job")
            if isinstance(found, FinalRecord):
                return _state_reply(200, JobState(job_id, found.phase))
            record, version = found
            if record.phase == "withdrawn":
                return _state_reply(200, JobState(job_id, "withdrawn"))
            if record.completed():
                return _state_reply(200, JobState(job_id, "done"))
            change = withdraw_change(Job(record, version), self._clock.wall_us())
            change.fail_fast = True
            try:
                revision = await self._writer.commit(change)
            except ConflictError:
                # The team owner wrote the record in the meantime: read it again.
                continue
            self._mirror.apply_change(change, revision)
            self._mirror.notify_batch_applied()
            # If the change puts no job record, the withdrawal ended the job at once.
            remaining = change.puts.get(records.job_key(job_id))
            self.on_withdrawn(
                Withdrawal(job_id, bytes(remaining) if remaining is not None else None, revision)
            )
            log.info("withdrawn %s", job_id)
            return _state_reply(200, JobState(job_id, "withdrawn"))
        return self._unavailable("try again")
