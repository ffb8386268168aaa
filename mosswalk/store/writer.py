"""Group commit within the write rate of the state service.

Changes that do not conflict are committed in batches, one transaction each. A transaction whose
outcome is unknown is sent again, unchanged, until the service gives a definite answer. Its guards
name exact versions, so at most one of several copies can apply, and a delayed copy can't apply
after another change to the same keys. Until then no other change is based on its possible effects.
"""

from __future__ import annotations

import asyncio
import logging
import random
from collections import deque
from collections.abc import Mapping
from typing import Protocol

from msgspec import Raw, Struct

from mosswalk.actors import Clock, to_s
from mosswalk.cloud.bucket import TokenBucket
from mosswalk.store.client import (
    ConflictError,
    InvalidRequestError,
    NoLeaseError,
    RefusedError,
    StateClient,
    ThrottledError,
    UnknownOutcomeError,
)
from mosswalk.store.records import MAX_TRANSACTION_BYTES
from mosswalk.store.throttle import Throttle
from mosswalk.wire import state as wire

log = logging.getLogger(__name__)

_MAX_COMMITS_IN_FLIGHT = 4
# A batch of several changes has at most this many guards per operation that the service allows in a
# transaction. The limit on operations itself counts only writes.
_MAX_GUARDS_PER_OP = 4
# The estimated size of a put in an encoded transaction, without its key and value.
_PUT_OVERHEAD_BYTES = 40
# The estimated size of a guard or a deletion in an encoded transaction, with its key.
_GUARD_OR_DELETE_BYTES = 60
# The writes of this many seconds may be sent in one burst.
_BURST_S = 0.8
_FIRST_RETRY_S = 0.1
_MAX_RETRY_S = 1.0
_RETRY_GROWTH = 1.6
# If a transaction is rejected while the outcome of an earlier copy is unknown, its guards are
# checked up to this many times.
_MAX_REJECTED_CHECKS = 20
# The pause after each of these checks.
_REJECTED_CHECK_PAUSE_S = 1.0


class CommitGate(Protocol):
    """A check right before each commit is sent."""

    async def admit(self, guards: Mapping[str, int], *, sent_before: bool) -> None:
        """Return if it may be sent; RefusedError if not yet, ConflictError if it must fail.

        ``sent_before`` says that an earlier copy of it may have been applied.
        """


class Change(Struct):
    """Puts and deletes that are applied atomically if the guards hold."""

    guards: dict[str, int]
    puts: dict[str, Raw]
    deletes: tuple[str, ...] = ()
    # Whether the change fails at once when the service refuses it, instead of being retried.
    fail_fast: bool = False

    def write_count(self) -> int:
        """The number of writes in the change."""
        return len(self.puts) + len(self.deletes)

    def estimated_bytes(self) -> int:
        """The estimated size of the change in a transaction, in bytes."""
        return _estimated_put_bytes(self.puts) + _GUARD_OR_DELETE_BYTES * (
            len(self.guards) + len(self.deletes)
        )

    def has_room_for(self, puts: Mapping[str, Raw], max_writes: int) -> bool:
        """Whether these puts and the change fit into one transaction."""
        size = self.estimated_bytes() + _estimated_put_bytes(puts)
        return self.write_count() + len(puts) <= max_writes and size <= MAX_TRANSACTION_BYTES


def _estimated_put_bytes(puts: Mapping[str, Raw]) -> int:
    return sum(len(bytes(v)) + len(k) + _PUT_OVERHEAD_BYTES for k, v in puts.items())


class _QueuedChange:
    def __init__(self, change: Change, future: asyncio.Future[int]) -> None:
        self.change = change
        self.future = future
        # Set after its batch was rejected with 400: each change is then committed on its own, so
        # that only the change that caused the rejection fails.
        self.commit_alone = False


class GroupWriter:
    """Queues changes and commits them in batches."""

    def __init__(
        self, client: StateClient, clock: Clock, rng: random.Random, write_rps: float, txn_ops: int
    ) -> None:
        self._client = client
        self._clock = clock
        self._rng = rng
        self._max_ops = txn_ops
        self._write_rps = write_rps
        self._rate_share = 1.0
        self._throttle = Throttle()
        self._burst = max(1.0, write_rps * _BURST_S)
        self._bucket = TokenBucket(write_rps, self._burst, clock.now_us())
        self._queue: deque[_QueuedChange] = deque()
        self._wake = asyncio.Event()
        self._failure: BaseException | None = None
        self.gate: CommitGate | None = None

    async def commit(self, change: Change) -> int:
        """Commit a change and return its revision.

        Raises ConflictError, RefusedError or UnknownOutcomeError.
        """
        if change.write_count() > self._max_ops:
            raise ValueError(
                f"a change of {change.write_count()} writes does not fit into one transaction"
            )
        future: asyncio.Future[int] = asyncio.get_running_loop().create_future()
        self._queue.append(_QueuedChange(change, future))
        self._wake.set()
        return await future

    def set_rate_share(self, share: float) -> None:
        """Set this writer's share of the write rate, a limit that all controllers share."""
        if share != self._rate_share:
            self._rate_share = share
            self._adjust_rate()

    def _adjust_rate(self) -> None:
        now_us = self._clock.now_us()
        rate = self._write_rps * self._rate_share * self._throttle.factor(now_us)
        self._bucket.change_rate(rate, now_us)

    def has_spare_rate(self) -> bool:
        """Whether a write now would not delay other writes."""
        return not self._queue and self._bucket.available(self._clock.now_us()) > self._burst / 2

    def estimated_wait_s(self) -> float:
        """Roughly how long a change of one write would wait in the queue if it were added now."""
        return len(self._queue) / (self._write_rps * self._rate_share)

    def queue_length(self) -> int:
        """The number of changes in the queue."""
        return len(self._queue)

    def _next_batch(self) -> list[_QueuedChange]:
        batch: list[_QueuedChange] = []
        ops = size = 0
        guards: dict[str, int] = {}
        written_keys: set[str] = set()
        while self._queue:
            change = self._queue[0].change
            if self._queue[0].future.done():
                self._queue.popleft()
                continue
            keys = {*change.puts, *change.deletes}
            conflicts = written_keys & keys or any(
                guards.get(k, v) != v for k, v in change.guards.items()
            )
            ops += change.write_count()
            size += change.estimated_bytes()
            if batch and (ops > self._max_ops or size > MAX_TRANSACTION_BYTES or conflicts):
                break
            if batch and (self._queue[0].commit_alone or batch[0].commit_alone):
                break
            if (
                batch
                and len(guards.keys() | change.guards.keys()) > _MAX_GUARDS_PER_OP * self._max_ops
            ):
                break
            guards.update(change.guards)
            written_keys |= keys
            batch.append(self._queue.popleft())
        return batch

    async def run(self) -> None:
        """Commit batches; raise RuntimeError once a commit has failed unexpectedly."""
        running: set[asyncio.Task[None]] = set()

        def on_done(task: asyncio.Task[None]) -> None:
            running.discard(task)
            if not task.cancelled() and task.exception() is not None:
                self._failure = task.exception()
                self._wake.set()

        while True:
            if self._failure is not None:
                # The outcome of that commit is unknown, so the process must end. The new term made
                # for its next run settles what this run may have written.
                raise RuntimeError("a commit failed unexpectedly") from self._failure
            if not self._queue:
                self._wake.clear()
                await self._wake.wait()
            if len(running) >= _MAX_COMMITS_IN_FLIGHT:
                await asyncio.wait(running, return_when=asyncio.FIRST_COMPLETED)
                continue
            # Changes from coroutines that are ready in this iteration of the loop join the batch.
            await asyncio.sleep(0)
            batch = self._next_batch()
            if not batch:
                continue
            if self._throttle.poll_increase(self._clock.now_us()):
                self._adjust_rate()
            ops = sum(queued.change.write_count() for queued in batch)
            wait_us = self._bucket.reserve_us(self._clock.now_us(), max(ops, 0.1))
            if wait_us > 0:
                await asyncio.sleep(to_s(wait_us))
            task = asyncio.create_task(self._commit_batch(batch))
            running.add(task)
            task.add_done_callback(on_done)

    async def _commit_batch(self, batch: list[_QueuedChange]) -> None:
        guards = {k: v for queued in batch for k, v in queued.change.guards.items()}
        puts = {k: v for queued in batch for k, v in queued.change.puts.items()}
        deletes = [k for queued in batch for k in queued.change.deletes]
        transaction = wire.Transaction(
            tuple(wire.Guard(k, v) for k, v in guards.items()),
            (
                *(wire.Write(key=k, value=v) for k, v in puts.items()),
                *(wire.Write(delete=k) for k in deletes),
            ),
        )
        outcome_unknown = False
        pause_s = _FIRST_RETRY_S
        while True:
            try:
                if self.gate is not None:
                    await self.gate.admit(guards, sent_before=outcome_unknown)
                revision = await self._client.commit(transaction)
            except ConflictError as conflict:
                self._resolve_conflict(batch, set(conflict.failed), conflict)
                return
            except NoLeaseError:
                self._fail(batch, RefusedError("no such lease"))
                return
            except InvalidRequestError as error:
                if outcome_unknown:
                    await self._resolve_rejected(batch, guards)
                else:
                    self._retry_one_by_one(batch, error)
                return
            except RefusedError as error:
                if isinstance(error, ThrottledError):
                    self._throttle.note_refusal(self._clock.now_us())
                    self._adjust_rate()
                if not outcome_unknown:
                    batch = self._reject_fail_fast(batch, error)
                    if not batch:
                        return
                    # Nothing was applied, so the remaining changes may form other batches.
                    await asyncio.sleep(pause_s * self._rng.uniform(0.7, 1.3))
                    self._queue.extendleft(reversed(batch))
                    self._wake.set()
                    return
            except UnknownOutcomeError as error:
                outcome_unknown = True
                log.info("no answer to a commit, sending it again unchanged: %s", error)
            else:
                for queued in batch:
                    if not queued.future.done():
                        queued.future.set_result(revision)
                return
            # A commit of unknown outcome is sent again without limit. A team owner that treated it
            # as failed would compute quotas without attempts that a delayed copy may still write.
            await asyncio.sleep(pause_s * self._rng.uniform(0.7, 1.3))
            pause_s = min(_MAX_RETRY_S, pause_s * _RETRY_GROWTH)

    async def _resolve_rejected(self, batch: list[_QueuedChange], guards: dict[str, int]) -> None:
        """Resolve a transaction that was rejected with 400 after an earlier copy got no answer.

        The service's limits were lowered in between, so the earlier copy may have been applied, or
        may still be. It can no longer be applied once the version of a guarded key has changed.
        """
        fail_fast = [queued for queued in batch if queued.change.fail_fast]
        self._fail(fail_fast, UnknownOutcomeError("rejected after an earlier copy got no answer"))
        for _ in range(_MAX_REJECTED_CHECKS):
            versions = [await self._read_version(key) for key in guards]
            failed = tuple(
                k for k, v in zip(guards, versions, strict=True) if v not in (None, guards[k])
            )
            if failed:
                revision = max(version for version in versions if version is not None)
                self._fail(batch, ConflictError(failed, revision))
                return
            await asyncio.sleep(_REJECTED_CHECK_PAUSE_S)
        if len(fail_fast) < len(batch):
            # Only a new term can still invalidate the earlier copy, so the process must end: its
            # restart causes one.
            raise InvalidRequestError("a transaction of unknown outcome was rejected")

    async def _read_version(self, key: str) -> int | None:
        """A key's version, 0 if it does not exist, or None if it can't be read."""
        try:
            row = await self._client.get(key)
        except (RefusedError, UnknownOutcomeError):
            return None
        return row.version if row is not None else 0

    def _retry_one_by_one(self, batch: list[_QueuedChange], error: Exception) -> None:
        """Fail a single rejected change; queue those of a larger batch to be sent one by one."""
        if len(batch) == 1:
            self._fail(batch, error)
            return
        for queued in batch:
            queued.commit_alone = True
        self._queue.extendleft(reversed(batch))
        self._wake.set()

    def _fail(self, batch: list[_QueuedChange], error: Exception) -> None:
        for queued in batch:
            if not queued.future.done():
                queued.future.set_exception(error)

    def _reject_fail_fast(
        self, batch: list[_QueuedChange], error: Exception
    ) -> list[_QueuedChange]:
        """Fail the changes that must not be retried; return the others."""
        self._fail([queued for queued in batch if queued.change.fail_fast], error)
        return [queued for queued in batch if not queued.change.fail_fast]

    def _resolve_conflict(
        self, batch: list[_QueuedChange], failed: set[str], error: ConflictError
    ) -> None:
        conflicting = [queued for queued in batch if failed & queued.change.guards.keys()]
        # If the answer names none of these guards, all changes fail: retrying would never end.
        if not conflicting:
            conflicting = batch
        self._fail(conflicting, error)
        # A delayed copy of this transaction fails by the same guard, because versions never recur.
        # The other changes may therefore be committed again.
        others = [queued for queued in batch if queued not in conflicting]
        self._queue.extendleft(reversed(others))
        if others:
            self._wake.set()
