"""The state service's limits: announced ones hold from the start; 400s and 429s are handled."""

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
from tests.production import records as production_records
from tests.test_jobs import InMemoryMirror

S = 1_000_000
LOWERED_LIMITS = RecordLimits(2048, 5)


def test_lowest_limits_are_the_lower_of_the_current_and_the_announced_ones():
    limits = StateLimits(200.0, 40.0, 32.0, 16, NextStateLimits(write_rps=28.0, value_kb=2.0))
    lowest = limits.lowest()
    assert (lowest.rps, lowest.write_rps, lowest.value_kb, lowest.txn_ops) == (200.0, 28.0, 2.0, 16)
    raised = StateLimits(200.0, 40.0, 2.0, 5, NextStateLimits(value_kb=32.0, txn_ops=16))
    assert record_limits(raised.lowest()) == LOWERED_LIMITS
    assert record_limits(StateLimits(1.0, 1.0, 16.0, 16).lowest()) == RECORD_LIMITS


@given(st.integers(1, 700), st.data())
def test_split_job_fits_the_limits_and_keeps_its_state_whatever_runs(tasks, data):
    """A job written with 256 tasks per record is split; the split may stop between any commits."""
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
    added_attempts = []
    registry.on_attempt_added.append(lambda machine, _, attempt: added_attempts.append(attempt))
    state_before = (
        set(job.live_attempts()),
        list(job.pending_tasks()),
        copy.deepcopy(registry.attempts_by_machine),
    )
    if not needs_split(job, LOWERED_LIMITS):
        assert tasks <= 32
        return
    mirror.max_ops = LOWERED_LIMITS.txn_ops
    changes = split_records(job, LOWERED_LIMITS).changes({key: job.version}, LOWERED_LIMITS.txn_ops)
    commits_made = data.draw(st.integers(0, len(changes)))
    for change in changes[:commits_made]:
        mirror.commit(change)
        assert max(len(bytes(v)) for v in change.puts.values()) <= LOWERED_LIMITS.value_bytes
    if commits_made < len(changes):
        # Interrupted, and then tasks end or the job is withdrawn: what the first split wrote must
        # not count in the next one.
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
        state_now = (
            set(job.live_attempts()),
            list(job.pending_tasks()),
            copy.deepcopy(registry.attempts_by_machine),
        )
        assert ended or state_now == state_before
        state_before = state_now
        mirror.max_ops = LOWERED_LIMITS.txn_ops
        for change in split_records(job, LOWERED_LIMITS).changes(
            {key: job.version}, LOWERED_LIMITS.txn_ops
        ):
            mirror.commit(change)
    job = registry.jobs["j-000001"]
    assert (
        set(job.live_attempts()),
        list(job.pending_tasks()),
        registry.attempts_by_machine,
    ) == state_before
    assert not needs_split(job, LOWERED_LIMITS) and added_attempts == []
    # The version without gangs would write the record back without its layout, so it must fail to
    # read it.
    with pytest.raises(msgspec.ValidationError):
        production_records.decode(production_records.JobRecord, mirror.rows[key][0])
    # A controller that has just started sees the same.
    fresh_mirror = InMemoryMirror()
    fresh_registry = JobRegistry(fresh_mirror)
    for row in sorted(mirror.rows):
        for prefix, listener in fresh_mirror.listeners:
            if row.startswith(prefix):
                listener(row, *mirror.rows[row])
    assert (
        set(fresh_registry.jobs["j-000001"].live_attempts()) == state_before[0]
        and fresh_registry.attempts_by_machine == state_before[2]
    )
    # All records that the splits left behind are orphans, and no others.
    orphan_keys = {orphan.key for orphan in registry.orphaned_chunks()}
    current_keys = {records.chunk_key(job.id, n, job.record.layout) for n in job.chunks}
    assert orphan_keys | current_keys == {
        k for k in mirror.rows if k.startswith(records.CHUNK_PREFIX)
    }
    assert not orphan_keys & current_keys


def test_record_stays_within_the_limit_with_long_machine_names():
    job = Job(new_record(job_spec(tasks=29), 1 << 52, 29), 1)
    draft = Draft(job, LOWERED_LIMITS)
    for index in range(29):
        draft.place(Assignment(index, "machine-" + "x" * 60 + str(index), 10**6), 10**6)
    assert 8 < draft.record.live_count < 29
    assert (
        len(bytes(draft.to_change({}).puts[records.job_key(job.id)])) <= LOWERED_LIMITS.value_bytes
    )


class LimitedStateClient:
    """A state client that limits the size of values and can lose answers.

    Losing an answer lowers the limit, too.
    """

    def __init__(self) -> None:
        self.store = InMemoryStore()
        self.value_bytes = 1000
        self.answers_to_lose = 0
        self.commit_count = 0

    async def commit(self, transaction, timeout_s=2.0):
        self.commit_count += 1
        if any(len(bytes(w.value)) > self.value_bytes for w in transaction.writes):
            raise InvalidRequestError("status 400")
        revision = self.store.commit(transaction)
        if self.answers_to_lose:
            self.answers_to_lose -= 1
            self.value_bytes = 10
            raise UnknownOutcomeError("planned")
        return revision

    async def get(self, key):
        if key not in self.store.rows:
            return None
        from mosswalk.wire import state as wire

        # The caller compares only versions; the value is a placeholder.
        return wire.Row(key, Raw(b"1"), self.store.rows[key][1])


def _make_writer(client):
    return GroupWriter(client, FakeClock(), random.Random(1), 1000.0, 16)


def _make_change(key, size=20, **options):
    return Change({key: 0}, {key: Raw(b'"' + b"x" * size + b'"')}, **options)


async def _run_with_writer(writer, *commits):
    running = asyncio.create_task(writer.run())
    results = await asyncio.wait_for(asyncio.gather(*commits, return_exceptions=True), 10.0)
    running.cancel()
    return results


def test_status_400_fails_only_the_change_that_caused_it():
    client = LimitedStateClient()
    writer = _make_writer(client)
    results = asyncio.run(
        _run_with_writer(
            writer,
            *(writer.commit(_make_change(f"k{i}", 5000 if i == 2 else 20)) for i in range(5)),
        )
    )
    assert [isinstance(f, int) for f in results] == [True, True, False, True, True]
    assert isinstance(results[2], RefusedError) and client.commit_count == 6


def test_commit_retried_under_lowered_limits_after_a_lost_answer_conflicts():
    """The first copy was carried out, so the caller learns that the key has changed."""
    client = LimitedStateClient()
    client.answers_to_lose = 1
    writer = _make_writer(client)
    (result,) = asyncio.run(_run_with_writer(writer, writer.commit(_make_change("k", 100))))
    assert type(result).__name__ == "ConflictError" and "k" in client.store.rows


def test_rate_factor_falls_with_refusals_and_recovers():
    throttle = Throttle()
    assert throttle.factor(0) == 1.0
    for second in range(1, 20):
        throttle.note_refusal(second * 2 * S)
    lowest_factor = throttle.factor(38 * S)
    assert 0.15 < lowest_factor < 0.4
    throttle.note_refusal(38 * S + 1)
    assert throttle.factor(38 * S + 1) == pytest.approx(lowest_factor)
    assert throttle.factor(90 * S) == 1.0
