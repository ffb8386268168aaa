"""Answers to submissions when more jobs are submitted than can be written."""

import asyncio
import random

import msgspec

from mosswalk.actors import SystemClock
from mosswalk.api.jobs import JobService
from mosswalk.config import load
from mosswalk.store import records
from mosswalk.store.mirror import Mirror
from mosswalk.store.writer import GroupWriter
from tests.fakes import FakeStateClient, InMemoryStore, job_spec, machine_type
from tests.test_config import write_settings


def test_submission_is_refused_at_once_when_write_queue_is_too_long(tmp_path):
    async def run():
        settings, clock, rng = load(write_settings(tmp_path)), SystemClock(), random.Random(1)
        client = FakeStateClient(InMemoryStore())
        mirror = Mirror(client, clock, rng)
        # At 10 writes a second; its loop, which would empty the queue, isn't running yet.
        writer = GroupWriter(client, clock, rng, 10.0, 4)
        job_service = JobService(settings, client, mirror, writer, clock, rng)
        job_service._on_machine_types("", records.encode([machine_type()]), 1)
        team = settings.params.teams[0].name

        def submit(i):
            return job_service.submit(msgspec.json.encode(job_spec(f"j-{i:06d}", team=team)))

        queued = [asyncio.ensure_future(submit(i)) for i in range(13)]
        await asyncio.sleep(0.01)
        assert not any(task.done() for task in queued)
        reply = await submit(99)
        assert reply.status == 503 and 1 <= reply.retry_after_s <= 3
        writer_loop = asyncio.create_task(writer.run())
        assert [reply.status for reply in await asyncio.gather(*queued)] == [201] * 13
        # A job that was accepted before is not refused, however long the queue is.
        writer.estimated_wait_s = lambda: 9.0
        assert (await submit(0)).status == 200
        writer_loop.cancel()

    asyncio.run(run())
