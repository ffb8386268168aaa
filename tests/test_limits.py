"""The state service's limits: those of later are kept from the start, 400s and 429s survived."""

import asyncio
import copy
import random

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from msgspec import Raw

from mosswalk.config import NextStateLimits, StateLimits
from mosswalk.jobs.layout import needs_split, split_records
from mosswalk.jobs.registry import JobRegistry
from mosswalk.jobs.state import Assignment, Draft, Job, new_record, record_limits, withdraw_change
from mosswalk.store import records
from mosswalk.store.client import InvalidRequestError, RefusedError, UnknownOutcomeError
from mosswalk.store.records import RecordLimits
from mosswalk.store.throttle import Throttle
from mosswalk.store.writer import Change, GroupWriter
from tests.fakes import RECORD_LIMITS, FakeClock, InMemoryStore, job_spec
from tests.production import records as production
from tests.test_jobs import InMemoryMirror

S = 1_000_000
LOWERED = RecordLimits(2048, 5)


def test_the_lower_of_both_limits_holds_whichever_is_missing():
    limits = StateLimits(200.0, 40.0, 32.0, 16, NextStateLimits(write_rps=28.0, value_kb=2.0))
    lowest = limits.lowest()
    assert (lowest.rps, lowest.write_rps, lowest.value_kb, lowest.txn_ops) == (200.0, 28.0, 2.0, 16)
    raised = StateLimits(200.0, 40.0, 2.0, 5, NextStateLimits(value_kb=32.0, txn_ops=16))
    assert record_limits(raised.lowest()) == LOWERED
    assert record_limits(StateLimits(1.0, 1.0, 16.0, 16).lowest()) == RECORD_LIMITS


@given(st.integers(1, 700), st.data())
def test_a_job_is_split_into_records_that_fit_whatever_of_it_runs(tasks, data):
    """Written for 256 tasks a record; split between any two of its commits, or left half split."""
    mirror = InMemoryMirror()
    registry = JobRegistry(mirror)
    record = new_record(job_spec(tasks=tasks), 1 << 50, 256)
    key = records.job_key("j-000001")
    mirror.commit(Change({key: 0}, {key: Raw(records.encode(record))}))
    draft = Draft(registry.jobs["j-000001"], RECORD_LIMITS)
    for index in range(tasks):
        draft.place(Assignment(index, f"vm-{index // 8:06d}", 1), 12)
    mirror.max_ops = 16
    mirror.commit(draft.to_change({}))
    draft = Draft(registry.jobs["j-000001"], RECORD_LIMITS)
    for index in sorted(data.draw(st.sets(st.integers(0, tasks - 1), max_size=60))):
        draft.record_outcome(index, index + 1, data.draw(st.sampled_from(["done", "lost"])))
    if draft.final_record() is None:
        mirror.commit(draft.to_change({}))
    job = registry.jobs["j-000001"]
    seen = []
    registry.on_attempt_added.append(lambda machine, _, attempt: seen.append(attempt))
    before = (
        set(job.live_attempts()),
        list(job.pending_tasks()),
        copy.deepcopy(registry.attempts_by_machine),
    )
    if not needs_split(job, LOWERED):
        assert tasks <= 32
        return
    mirror.max_ops = LOWERED.txn_ops
    changes = split_records(job, LOWERED).changes({key: job.version}, LOWERED.txn_ops)
    stop = data.draw(st.integers(0, len(changes)))
    for change in changes[:stop]:
        mirror.commit(change)
        assert max(len(bytes(v)) for v in change.puts.values()) <= LOWERED.value_bytes
    if stop < len(changes):
        # Interrupted, and tasks end: nothing of the first try counts in the next one.
        mirror.max_ops = 16
        ended = data.draw(st.booleans())
        if ended:
            draft = Draft(job, RECORD_LIMITS)
            for attempt in sorted(job.live_attempts(), key=lambda a: -a.task)[: tasks // 2]:
                draft.record_outcome(attempt.task, attempt.number, "lost")
            mirror.commit(draft.to_change({}))
        else:
            mirror.commit(withdraw_change(job, 9))
        job = registry.jobs["j-000001"]
        now = (
            set(job.live_attempts()),
            list(job.pending_tasks()),
            copy.deepcopy(registry.attempts_by_machine),
        )
        assert ended or now == before
        before = now
        mirror.max_ops = LOWERED.txn_ops
        for change in split_records(job, LOWERED).changes({key: job.version}, LOWERED.txn_ops):
            mirror.commit(change)
    job = registry.jobs["j-000001"]
    assert (
        set(job.live_attempts()),
        list(job.pending_tasks()),
        registry.attempts_by_machine,
    ) == before
    assert not needs_split(job, LOWERED) and seen == []
    # The version before gangs would write it back without its layout: it can't read it.
    with pytest.raises(msgspec.ValidationError):
        production.decode(production.JobRecord, mirror.rows[key][0])
    # A controller that reads all of it anew sees the same.
    other = InMemoryMirror()
    again = JobRegistry(other)
    for row in sorted(mirror.rows):
        for prefix, listener in other.listeners:
            if row.startswith(prefix):
                listener(row, *mirror.rows[row])
    assert (
        set(again.jobs["j-000001"].live_attempts()) == before[0]
        and again.attempts_by_machine == before[2]
    )
    # What was left behind goes, and only that.
    stale = {orphan.key for orphan in registry.orphaned_chunks()}
    live = {records.chunk_key(job.id, n, job.record.layout) for n in job.chunks}
    assert stale | live == {k for k in mirror.rows if k.startswith(records.CHUNK_PREFIX)}
    assert not stale & live


def test_a_record_never_outgrows_the_limit_however_long_machines_are_named():
    job = Job(new_record(job_spec(tasks=29), 1 << 52, 29), 1)
    draft = Draft(job, LOWERED)
    for index in range(29):
        draft.place(Assignment(index, "machine-" + "x" * 60 + str(index), 10**6), 10**6)
    assert 8 < draft.record.live_count < 29
    assert len(bytes(draft.to_change({}).puts[records.job_key(job.id)])) <= LOWERED.value_bytes


class Limited:
    """A state client whose limits may be lowered, and that may lose answers."""

    def __init__(self) -> None:
        self.store = InMemoryStore()
        self.value_bytes = 1000
        self.lose = 0
        self.commits = 0

    async def commit(self, transaction, timeout_s=2.0):
        self.commits += 1
        if any(len(bytes(w.value)) > self.value_bytes for w in transaction.writes):
            raise InvalidRequestError("status 400")
        revision = self.store.commit(transaction)
        if self.lose:
            self.lose -= 1
            self.value_bytes = 10
            raise UnknownOutcomeError("planned")
        return revision

    async def get(self, key):
        if key not in self.store.rows:
            return None
        from mosswalk.wire import state as wire

        return wire.Row(key, Raw(b"1"), self.store.rows[key][1])


def _writer(client):
    return GroupWriter(client, FakeClock(), random.Random(1), 1000.0, 16)


def _change(key, size=20, **options):
    return Change({key: 0}, {key: Raw(b'"' + b"x" * size + b'"')}, **options)


async def _with(writer, *works):
    running = asyncio.create_task(writer.run())
    found = await asyncio.wait_for(asyncio.gather(*works, return_exceptions=True), 10.0)
    running.cancel()
    return found


def test_a_400_fails_the_one_change_that_caused_it():
    client = Limited()
    writer = _writer(client)
    found = asyncio.run(
        _with(writer, *(writer.commit(_change(f"k{i}", 5000 if i == 2 else 20)) for i in range(5)))
    )
    assert [isinstance(f, int) for f in found] == [True, True, False, True, True]
    assert isinstance(found[2], RefusedError) and client.commits == 6


def test_limits_lowered_between_a_lost_answer_and_its_repetition():
    """The first copy was carried out: whoever waits learns that the key has changed."""
    client = Limited()
    client.lose = 1
    writer = _writer(client)
    (found,) = asyncio.run(_with(writer, writer.commit(_change("k", 100))))
    assert type(found).__name__ == "ConflictError" and "k" in client.store.rows


def test_the_rate_follows_refusals_down_and_comes_back():
    throttle = Throttle()
    assert throttle.factor(0) == 1.0
    for second in range(1, 20):
        throttle.note_refusal(second * 2 * S)
    low = throttle.factor(38 * S)
    assert 0.15 < low < 0.4
    throttle.note_refusal(38 * S + 1)
    assert throttle.factor(38 * S + 1) == pytest.approx(low)
    assert throttle.factor(90 * S) == 1.0
