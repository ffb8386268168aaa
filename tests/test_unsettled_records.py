"""A job's records that arrive out of order: no change is computed from a half of them."""

import asyncio
import random
from functools import partial
from types import SimpleNamespace

from msgspec import Raw

from mosswalk.config import load
from mosswalk.jobs.registry import JobRegistry
from mosswalk.jobs.state import Assignment, Draft, new_record, withdraw_change
from mosswalk.leadership.actor import Leadership
from mosswalk.store import records
from mosswalk.store.mirror import Mirror
from mosswalk.store.records import Presence, TermRecord
from mosswalk.store.writer import Change
from mosswalk.wire import state as wire
from mosswalk.wire.peers import Outcome, Outcomes
from tests.fakes import RECORD_LIMITS, FakeClock, FakeStateClient, InMemoryStore, job_spec
from tests.owner_on_store import OwnerOnStore
from tests.test_config import write_settings

JOB = "j-000001"
KEY = records.job_key(JOB)
TASKS = 8
# The tasks 0 to 3 are in the job's header, the others in a chunk.
CHUNK_SIZE = 4


def commit(store, change):
    """Commit a change as another controller would, or as an earlier copy of a transaction."""
    guards = tuple(wire.Guard(key, version) for key, version in change.guards.items())
    writes = tuple(wire.Write(key=key, value=value) for key, value in change.puts.items())
    return store.commit(wire.Transaction(guards, writes))


async def until(condition):
    for _ in range(500):
        if condition():
            return
        await asyncio.sleep(0.01)
    raise AssertionError("the condition did not hold within 5 s")


def outcome_change(job, task):
    draft = Draft(job, RECORD_LIMITS)
    assert draft.record_outcome(task, task + 1, "done")
    return draft.to_change({})


class OwnedJob(OwnerOnStore):
    """An owner of one job, all of whose tasks run on one machine."""

    def __init__(self, tmp_path):
        super().__init__(load(write_settings(tmp_path)))

    async def __aenter__(self):
        record = new_record(job_spec(tasks=TASKS), 5, CHUNK_SIZE)
        commit(self.store, Change({KEY: 0}, {KEY: Raw(records.encode(record))}))
        await self.mirror._load()
        draft = Draft(self.registry.jobs[JOB], RECORD_LIMITS)
        for index in range(TASKS):
            draft.place(Assignment(index, "vm-1", 1), 1)
        commit(self.store, draft.to_change({}))
        await self.mirror._follow()
        self.start()
        return self

    async def __aexit__(self, *_):
        self.stop()

    def report_done(self, *tasks):
        self.owner.receive_outcomes(
            Outcomes(1, tuple(Outcome(f"{JOB}/{i}", i + 1, "vm-1", "done") for i in tasks))
        )

    def stored_record(self):
        return records.decode_job_record(self.store.rows[KEY][0])

    def stored_chunk(self):
        return records.decode_chunk(self.store.rows[records.chunk_key(JOB, 1)][0])

    def is_recorded(self, task):
        return self.registry.jobs[JOB].find_attempt(task, task + 1) is None

    async def until_recorded(self, live_count):
        async with asyncio.timeout(5):
            while self.stored_record().live_count != live_count:
                await asyncio.sleep(0.01)
                await self.mirror._follow()

    def assert_counts_match_tasks(self, done):
        record, chunk = self.stored_record(), self.stored_chunk()
        live = {a.task for a in (*record.tasks.live, *chunk.live)}
        assert live == set(range(TASKS)) - done
        assert record.live_count == len(live)
        done_masks = record.tasks.done_mask() | chunk.done_mask() << CHUNK_SIZE
        assert done_masks == sum(1 << task for task in done)
        assert record.done_count == len(done)


def test_outcome_whose_commit_got_no_answer_is_counted_once(tmp_path):
    """Guards against review/1: an array was called done while tasks of its second record ran."""

    async def run():
        async with OwnedJob(tmp_path) as job:
            job.client.planned_results.append("blind")
            job.report_done(5)
            # The second copy fails by its guard, since the first one was applied.
            await until(lambda: job.client.commit_count == 2)
            job.report_done(5, 6)
            await asyncio.sleep(0.05)
            await job.until_recorded(TASKS - 2)
            job.assert_counts_match_tasks({5, 6})

    asyncio.run(run())


def test_header_of_a_withdrawal_is_not_joined_with_older_records(tmp_path):
    """Guards against the fault of review/1 by a header that another controller sends."""

    async def run():
        async with OwnedJob(tmp_path) as job:
            # A commit of this owner that got no answer, and then a withdrawal elsewhere.
            commit(job.store, outcome_change(job.registry.jobs[JOB], 5))
            stored = SimpleNamespace(record=job.stored_record(), id=JOB, version=job.store.revision)
            change = withdraw_change(stored, 9)
            revision = commit(job.store, change)
            job.mirror.apply_response(KEY, bytes(change.puts[KEY]), revision)
            assert not job.registry.jobs[JOB].open
            job.report_done(5, 6)
            await asyncio.sleep(0.05)
            assert job.client.commit_count == 0
            # The watch alone makes the owner go on: the outcomes are not sent again.
            await job.until_recorded(TASKS - 2)
            job.assert_counts_match_tasks({5, 6})

    asyncio.run(run())


def test_own_commit_is_built_upon_before_the_watch_shows_it(tmp_path):
    async def run():
        async with OwnedJob(tmp_path) as job:
            revision = job.mirror.revision
            for task in (5, 6):
                job.report_done(task)
                await until(partial(job.is_recorded, task))
            assert job.mirror.revision == revision
            job.assert_counts_match_tasks({5, 6})

    asyncio.run(run())


def test_reading_all_keys_never_shows_a_header_newer_than_its_chunk():
    """Guards against the fault of review/1 by a job that changes while the keys are read."""
    chunk_key = records.chunk_key(JOB, 1)

    class OneKeyPerPage(FakeStateClient):
        async def read_range(self, prefix, after, limit=500):
            check()
            page = await super().read_range(prefix, after, 1)
            if after is None:
                write(2)
            return page

    store = InMemoryStore()
    client = OneKeyPerPage(store)
    mirror = Mirror(client, FakeClock(), random.Random(1))

    def write(number):
        writes = (wire.Write(key=k, value=Raw(b"%d" % number)) for k in (chunk_key, KEY))
        store.commit(wire.Transaction((), tuple(writes)))

    def check():
        header, chunk = mirror.value(KEY), mirror.value(chunk_key)
        assert header is None or header <= chunk

    async def run():
        write(1)
        await mirror._load()
        assert mirror.value(KEY) == mirror.value(chunk_key) == b"2"
        assert mirror.loaded and mirror.is_settled(KEY)

    mirror.on_batch_applied(check)
    asyncio.run(run())


def test_term_read_ahead_of_the_watch_gives_no_teams_before_all_commits_of_the_last_one(tmp_path):
    """Guards against usage counted without the last placements of a team's former owner."""

    async def run():
        store, clock = InMemoryStore(), FakeClock()
        client = FakeStateClient(store)
        mirror = Mirror(client, clock, random.Random(1))
        registry = JobRegistry(mirror)
        settings = load(write_settings(tmp_path))
        leadership = Leadership(settings, client, mirror, clock, random.Random(2))
        await mirror._load()
        record = new_record(job_spec(tasks=TASKS), 5, CHUNK_SIZE)
        commit(store, Change({}, {KEY: Raw(records.encode(record))}))
        node = leadership.node
        term = TermRecord(1, node, {"red": node}, {node: leadership.run_id})
        presence = records.encode(Presence(node, leadership.run_id))
        commit(
            store,
            Change(
                {},
                {
                    records.TERM_KEY: Raw(records.encode_term(term)),
                    records.LEADER_KEY: Raw(presence),
                },
            ),
        )
        await mirror.read_latest((records.TERM_KEY, records.LEADER_KEY))
        assert leadership.term == term and not registry.jobs
        assert not leadership.owns("red") and not leadership.leads()
        await mirror._follow()
        assert registry.jobs and leadership.owns("red") and leadership.leads()

    asyncio.run(run())
