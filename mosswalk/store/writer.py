"""Group commit within the write budget.

Requests whose guards are independent share a transaction. A transaction with no known outcome
is sent again, unchanged, until the service gives a definite answer: its guards name exact
versions, so of several copies at most one can apply, and a late one can't apply after another
change to the same keys. Until then nothing else is built on what it may have done.
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
from mosswalk.store.throttle import Throttle
from mosswalk.wire import state as wire

log = logging.getLogger(__name__)

_MAX_BYTES = 60 * 1024
_IN_FLIGHT = 4
# How often, and how long apart, the guards of a transaction are looked at whose kind is open.
_REJECTED_LOOKS = 20
_REJECTED_PAUSE_S = 1.0


class CommitGate(Protocol):
    """Who is asked right before a commit is sent."""

    async def admit(self, guards: Mapping[str, int], *, sent_before: bool) -> None:
        """Return if it may be sent; RefusedError if not now, ConflictError if it must fail."""


class Change(Struct):
    """Puts and deletes that are applied together, if the guards hold."""

    guards: dict[str, int]
    puts: dict[str, Raw]
    deletes: tuple[str, ...] = ()
    # Turned down at once when the service refuses, instead of tried again.
    fail_fast: bool = False

    def write_count(self) -> int:
        """How many writes it takes."""
        return len(self.puts) + len(self.deletes)

    def estimated_bytes(self) -> int:
        """Roughly how much room it takes in a transaction."""
        return sum(len(bytes(v)) + len(k) + 40 for k, v in self.puts.items()) + 60 * (
            len(self.guards) + len(self.deletes)
        )


class _Waiting:
    def __init__(self, change: Change, future: asyncio.Future[int]) -> None:
        self.change = change
        self.future = future
        # Its group was answered 400: it is committed by itself, so that only the culprit fails.
        self.alone = False


class GroupWriter:
    """Takes changes and commits them in groups."""

    def __init__(
        self, client: StateClient, clock: Clock, rng: random.Random, write_rps: float, txn_ops: int
    ) -> None:
        self._client = client
        self._clock = clock
        self._rng = rng
        self._ops = txn_ops
        self._write_rps = write_rps
        self._part = 1.0
        self._throttle = Throttle()
        self._burst = max(1.0, write_rps * 0.8)
        self._bucket = TokenBucket(write_rps, self._burst, clock.now_us())
        self._queue: deque[_Waiting] = deque()
        self._wake = asyncio.Event()
        self._broken: BaseException | None = None
        self.gate: CommitGate | None = None

    async def commit(self, change: Change) -> int:
        """The revision of the change; ConflictError, RefusedError or UnknownOutcomeError."""
        if change.write_count() > self._ops:
            raise ValueError(f"a change of {change.write_count()} writes can't be one transaction")
        future: asyncio.Future[int] = asyncio.get_running_loop().create_future()
        self._queue.append(_Waiting(change, future))
        self._wake.set()
        return await future

    def set_rate_share(self, part: float) -> None:
        """Use this part of the writes: the service counts all controllers' together."""
        if part != self._part:
            self._part = part
            self._adjust_rate()

    def _adjust_rate(self) -> None:
        now_us = self._clock.now_us()
        rate = self._write_rps * self._part * self._throttle.factor(now_us)
        self._bucket.change_rate(rate, now_us)

    def has_spare_rate(self) -> bool:
        """Whether a write now would keep nobody waiting."""
        return not self._queue and self._bucket.available(self._clock.now_us()) > self._burst / 2

    def estimated_wait_s(self) -> float:
        """How long a change of one write that comes now would wait for its turn, roughly."""
        return len(self._queue) / (self._write_rps * self._part)

    def queue_length(self) -> int:
        """How many changes wait for their turn."""
        return len(self._queue)

    def _next_group(self) -> list[_Waiting]:
        group: list[_Waiting] = []
        ops = size = 0
        guards: dict[str, int] = {}
        touched: set[str] = set()
        while self._queue:
            change = self._queue[0].change
            if self._queue[0].future.done():
                self._queue.popleft()
                continue
            keys = {*change.puts, *change.deletes}
            clash = touched & keys or any(guards.get(k, v) != v for k, v in change.guards.items())
            ops += change.write_count()
            size += change.estimated_bytes()
            if group and (ops > self._ops or size > _MAX_BYTES or clash):
                break
            if group and (self._queue[0].alone or group[0].alone):
                break
            if group and len(guards.keys() | change.guards.keys()) > 4 * self._ops:
                break
            guards.update(change.guards)
            touched |= keys
            group.append(self._queue.popleft())
        return group

    async def run(self) -> None:
        """Commit groups for ever."""
        running: set[asyncio.Task[None]] = set()

        def finished(task: asyncio.Task[None]) -> None:
            running.discard(task)
            if not task.cancelled() and task.exception() is not None:
                self._broken = task.exception()
                self._wake.set()

        while True:
            if self._broken is not None:
                # A kind nobody knows: the process must end, and its next run's new term settles
                # what this one may have written.
                raise RuntimeError("a commit failed unexpectedly") from self._broken
            if not self._queue:
                self._wake.clear()
                await self._wake.wait()
            if len(running) >= _IN_FLIGHT:
                await asyncio.wait(running, return_when=asyncio.FIRST_COMPLETED)
                continue
            # Others that are ready in this turn of the loop join the group.
            await asyncio.sleep(0)
            group = self._next_group()
            if not group:
                continue
            if self._throttle.poll_increase(self._clock.now_us()):
                self._adjust_rate()
            ops = sum(w.change.write_count() for w in group)
            wait_us = self._bucket.reserve_us(self._clock.now_us(), max(ops, 0.1))
            if wait_us > 0:
                await asyncio.sleep(to_s(wait_us))
            task = asyncio.create_task(self._commit_group(group))
            running.add(task)
            task.add_done_callback(finished)

    async def _commit_group(self, group: list[_Waiting]) -> None:
        guards = {k: v for w in group for k, v in w.change.guards.items()}
        puts = {k: v for w in group for k, v in w.change.puts.items()}
        deletes = [k for w in group for k in w.change.deletes]
        transaction = wire.Transaction(
            tuple(wire.Guard(k, v) for k, v in guards.items()),
            (
                *(wire.Write(key=k, value=v) for k, v in puts.items()),
                *(wire.Write(delete=k) for k in deletes),
            ),
        )
        unknown = False
        pause_s = 0.1
        while True:
            try:
                if self.gate is not None:
                    await self.gate.admit(guards, sent_before=unknown)
                revision = await self._client.commit(transaction)
            except ConflictError as conflict:
                self._sort_out(group, set(conflict.failed), conflict)
                return
            except NoLeaseError:
                self._fail(group, RefusedError("no such lease"))
                return
            except InvalidRequestError as error:
                if unknown:
                    await self._settle_rejected(group, guards)
                else:
                    self._isolate(group, error)
                return
            except RefusedError as error:
                if isinstance(error, ThrottledError):
                    self._throttle.note_refusal(self._clock.now_us())
                    self._adjust_rate()
                if not unknown:
                    group = self._fail_impatient(group, error)
                    if not group:
                        return
                    # Nothing was carried out, so the rest may be grouped anew.
                    await asyncio.sleep(pause_s * self._rng.uniform(0.7, 1.3))
                    self._queue.extendleft(reversed(group))
                    self._wake.set()
                    return
            except UnknownOutcomeError as error:
                unknown = True
                log.info("commit with no answer, sent again as it is: %s", error)
            else:
                for waiting in group:
                    if not waiting.future.done():
                        waiting.future.set_result(revision)
                return
            # No giving up here: an owner that took an unknown outcome for a failure would count
            # quota without attempts that a late copy may still bring.
            await asyncio.sleep(pause_s * self._rng.uniform(0.7, 1.3))
            pause_s = min(1.0, pause_s * 1.6)

    async def _settle_rejected(self, group: list[_Waiting], guards: dict[str, int]) -> None:
        """A transaction without an answer is turned down when it is sent again.

        Limits were lowered in between, so the first copy may have been carried out, or may be
        later. It can't be any more once one of its guards has changed.
        """
        impatient = [w for w in group if w.change.fail_fast]
        self._fail(impatient, UnknownOutcomeError("turned down after no answer"))
        for _ in range(_REJECTED_LOOKS):
            rows = [await self._look(key) for key in guards]
            failed = tuple(
                k for k, v in zip(guards, rows, strict=True) if v not in (None, guards[k])
            )
            if failed:
                self._fail(group, ConflictError(failed))
                return
            await asyncio.sleep(_REJECTED_PAUSE_S)
        if len(impatient) < len(group):
            # Nothing else outdates what was sent: the next run's new term does.
            raise InvalidRequestError("a transaction of unknown outcome was turned down")

    async def _look(self, key: str) -> int | None:
        """A key's version, or None if it can't be told."""
        try:
            row = await self._client.get(key)
        except (RefusedError, UnknownOutcomeError):
            return None
        return row.version if row is not None else 0

    def _isolate(self, group: list[_Waiting], error: Exception) -> None:
        """Fail a change that the service can't take; those of a group go again one by one."""
        if len(group) == 1:
            self._fail(group, error)
            return
        for waiting in group:
            waiting.alone = True
        self._queue.extendleft(reversed(group))
        self._wake.set()

    def _fail(self, group: list[_Waiting], error: Exception) -> None:
        for waiting in group:
            if not waiting.future.done():
                waiting.future.set_exception(error)

    def _fail_impatient(self, group: list[_Waiting], error: Exception) -> list[_Waiting]:
        self._fail([w for w in group if w.change.fail_fast], error)
        return [w for w in group if not w.change.fail_fast]

    def _sort_out(self, group: list[_Waiting], failed: set[str], error: ConflictError) -> None:
        blamed = [w for w in group if failed & w.change.guards.keys()]
        # An answer that names none of our guards would be sent again for ever.
        if not blamed:
            blamed = group
        self._fail(blamed, error)
        # A late copy of this transaction fails by the guard that failed now, since versions
        # never return: the others may go again on their own.
        rest = [w for w in group if w not in blamed]
        self._queue.extendleft(reversed(rest))
        if rest:
            self._wake.set()
