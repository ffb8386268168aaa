"""Changes of large jobs are spread over as many transactions as the state service requires."""

import asyncio
from contextlib import asynccontextmanager

from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec import Raw, structs

from mosswalk.config import StateLimits, Team, load
from mosswalk.jobs.layout import split_records
from mosswalk.jobs.registry import JobRegistry
from mosswalk.jobs.state import Assignment, Draft, new_record, record_limits
from mosswalk.store import records
from mosswalk.store.writer import Change
from mosswalk.wire.peers import MachineOffer, Offer, Outcome, Outcomes, TeamOffer
from tests.fakes import RECORD_LIMITS, job_spec
from tests.owner_on_store import OwnerOnStore
from tests.test_config import write_settings
from tests.test_jobs import InMemoryMirror

JOB = "j-000001"
KEY = records.job_key(JOB)


def submit(mirror, spec, chunk_size):
    record = new_record(spec, 1 << 50, chunk_size)
    mirror.commit(Change({KEY: 0}, {KEY: Raw(records.encode(record))}))


@settings(max_examples=30, deadline=None)
@given(
    st.integers(1, 4000),
    st.sampled_from([2.0, 16.0, 32.0, 64.0]),
    st.integers(3, 120),
    st.sampled_from(["done", "lost"]),
)
def test_every_change_of_a_job_fits_a_transaction_and_all_tasks_get_their_turn(
    tasks, value_kb, name_length, outcome
):
    """The mirror refuses what the state service would."""
    limits = record_limits(StateLimits(200.0, 40.0, value_kb, 16))
    mirror = InMemoryMirror()
    mirror.max_ops = 16
    registry = JobRegistry(mirror)
    spec = job_spec(tasks=tasks)
    submit(mirror, spec, records.chunk_size(limits, spec))
    machine = "m" * name_length
    # Long names leave room for fewer attempts in a record than it has tasks: the attempts that fit
    # are placed, they end, and the others follow.
    done = 0
    while JOB in registry.jobs and registry.jobs[JOB].pending_count():
        progress = False
        while True:
            draft = Draft(registry.jobs[JOB], limits)
            for index in registry.jobs[JOB].pending_tasks():
                draft.place(Assignment(index, machine, 1 << 20), 1 << 40)
            if not draft.placed:
                break
            progress = True
            mirror.commit(draft.to_change({}))
        assert progress
        while JOB in registry.jobs and registry.jobs[JOB].record.live_count:
            draft = Draft(registry.jobs[JOB], limits)
            for attempt in list(registry.jobs[JOB].live_attempts()):
                draft.record_outcome(attempt.task, attempt.number, outcome)
            assert draft.ended
            done += len(draft.ended)
            mirror.commit(draft.to_change({}))
        if outcome == "lost":
            break
    assert outcome == "lost" or done == tasks


def test_split_of_a_large_job_fits_the_transactions():
    """Guards against the fault of review/3 where a job's records are split."""
    mirror = InMemoryMirror()
    mirror.max_ops = 16
    registry = JobRegistry(mirror)
    spec = job_spec(tasks=4000)
    submit(mirror, spec, 256)
    while registry.jobs[JOB].pending_count():
        draft = Draft(registry.jobs[JOB], RECORD_LIMITS)
        for index in registry.jobs[JOB].pending_tasks():
            draft.place(Assignment(index, f"vm-{index:06d}", 1 << 20), 1 << 40)
        mirror.commit(draft.to_change({}))
    lowered = record_limits(StateLimits(200.0, 40.0, 9.0, 16))
    job = registry.jobs[JOB]
    for change in split_records(job, lowered).changes({KEY: job.version}, lowered.txn_ops):
        mirror.commit(change)
    assert registry.jobs[JOB].record.layout == job.version
    assert set(registry.jobs[JOB].live_attempts()) == set(job.live_attempts())


@asynccontextmanager
async def owner_of_large_job(tmp_path, tasks):
    """An owner on a store that refuses large transactions; the watch is not running."""
    configuration = load(write_settings(tmp_path))
    params = structs.replace(configuration.params, teams=(Team("red"),))
    owned = OwnerOnStore(structs.replace(configuration, params=params))
    await owned.mirror._load()
    owned.start()
    spec = job_spec(tasks=tasks, cpus=0.1, memory_gb=0.5)
    change = Change({KEY: 0}, {KEY: Raw(records.encode(new_record(spec, 5, 256)))})
    owned.mirror.apply_change(change, await owned.writer.commit(change))
    try:
        yield owned.owner, owned.registry, owned.store
    finally:
        owned.stop()


def test_large_array_that_finds_room_for_all_tasks_at_once_is_placed_and_ends(tmp_path):
    """Guards against review/3: after an outage an array of 2,560 tasks was never started."""
    tasks, machines = 2560, 4
    offers = [
        MachineOffer(f"vm-{i:06d}", "small", "a", False, 1, 64_000, 0, 512_000, (), 0.1, 1.0)
        for i in range(machines)
    ]

    async def run():
        async with (
            asyncio.timeout(60),
            owner_of_large_job(tmp_path, tasks) as (owner, registry, store),
        ):
            placed = 0
            while placed < tasks:
                answer = await owner.receive_offer(Offer(1, (TeamOffer("red", tuple(offers)),), {}))
                assert answer.placed > 0
                placed += answer.placed
                assert registry.jobs[JOB].record.live_count == placed
            # All of them end at once. They are told once: the next rounds record the rest.
            owner.receive_outcomes(
                Outcomes(
                    1,
                    tuple(
                        Outcome(f"{JOB}/{a.task}", a.number, a.machine, "done")
                        for a in registry.jobs[JOB].live_attempts()
                    ),
                )
            )
            while JOB in registry.jobs:
                await asyncio.sleep(0.01)
                await asyncio.sleep(0)
            final = records.decode_final(store.rows[records.final_key(JOB)][0])
            assert (final.phase, final.done) == ("done", tasks)

    asyncio.run(run())
