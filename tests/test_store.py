"""Group commit and the mirror against a state service that refuses, loses and delays commits."""

import asyncio
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st
from msgspec import Raw

from mosswalk.actors import SystemClock
from mosswalk.cloud.bucket import TokenBucket
from mosswalk.store.client import ConflictError, RefusedError
from mosswalk.store.mirror import Mirror
from mosswalk.store.writer import Change, GroupWriter
from mosswalk.wire import state as wire
from tests.fakes import FakeClock, FakeStateClient, InMemoryStore


async def run_with_writer(client, work):
    writer = GroupWriter(client, SystemClock(), random.Random(1), 1e6, 4)
    writer_task = asyncio.create_task(writer.run())
    try:
        return await asyncio.wait_for(work(writer), 20)
    finally:
        writer_task.cancel()


def put_change(key, version, value="1", **options):
    return Change({key: version}, {key: Raw(value.encode())}, **options)


def test_changes_are_grouped_and_conflict_fails_only_its_own_change():
    store = InMemoryStore()
    client = FakeStateClient(store)

    async def work(writer):
        changes = [put_change(f"m/{i}", 0) for i in range(3)] + [put_change("m/9", 5)]
        return await asyncio.gather(*map(writer.commit, changes), return_exceptions=True)

    results = asyncio.run(run_with_writer(client, work))
    assert isinstance(results[3], ConflictError)
    assert sorted(store.rows) == ["m/0", "m/1", "m/2"]
    assert client.commit_count == 2


@given(st.lists(st.sampled_from(["lost", "late", "blind", "refused"]), max_size=2))
def test_commit_is_applied_once_with_known_outcome_under_any_failure(planned_results):
    store = InMemoryStore()
    client = FakeStateClient(store)
    client.planned_results.extend(planned_results)

    async def work(writer):
        try:
            return await writer.commit(put_change("m/a", 0))
        except ConflictError:
            return None

    revision = asyncio.run(run_with_writer(client, work))
    assert store.rows["m/a"][1] == 1
    assert revision == 1 or (revision is None and "blind" in planned_results)
    client.commit_delayed()
    assert store.rows["m/a"][1] == 1 and store.revision == 1


def test_late_copy_of_commit_does_not_overwrite_newer_change():
    store = InMemoryStore()
    client = FakeStateClient(store)
    client.planned_results.append("late")

    async def work(writer):
        first = await writer.commit(put_change("m/a", 0, "1"))
        return await writer.commit(put_change("m/a", first, "2"))

    asyncio.run(run_with_writer(client, work))
    client.commit_delayed()
    assert store.rows["m/a"][0] == b"2"


def test_fail_fast_change_is_refused_immediately():
    client = FakeStateClient(InMemoryStore())
    client.planned_results.extend(["refused"] * 50)

    async def work(writer):
        return await writer.commit(put_change("m/a", 0, fail_fast=True))

    try:
        asyncio.run(run_with_writer(client, work))
    except RefusedError:
        assert client.commit_count == 1
    else:
        raise AssertionError("the change was not refused")


mirror_operations = st.lists(
    st.tuples(
        st.sampled_from(["put", "delete", "put_own", "follow", "reload", "apply_response", "read"]),
        st.sampled_from(["m/a", "m/b", "m/c"]),
    ),
    max_size=25,
)


@given(mirror_operations)
def test_mirror_never_regresses_and_converges_to_the_store(operations):
    """Late responses to own commits and reads overtaken by events must not restore old values."""
    store = InMemoryStore()
    client = FakeStateClient(store)
    mirror = Mirror(client, FakeClock(), random.Random(1))
    seen_versions = {}
    mirror.listen("m/", lambda k, v, version: seen_versions.setdefault(k, []).append(version))
    pending_responses = []

    async def run():
        await mirror._load()
        for count, (operation, key) in enumerate(operations):
            if operation == "follow":
                await mirror._follow()
            elif operation == "reload":
                await mirror._load()
            elif operation == "read":
                row = await client.get(key)
                if row:
                    pending_responses.append((key, bytes(row.value), row.version))
            elif operation == "apply_response" and pending_responses:
                mirror.apply_response(*pending_responses.pop(0))
            elif operation in ("put", "put_own"):
                value = str(count).encode()
                write = wire.Write(key=key, value=Raw(value))
                revision = store.commit(wire.Transaction((), (write,)))
                if operation == "put_own":
                    pending_responses.append((key, value, revision))
            elif operation == "delete":
                store.commit(wire.Transaction((), (wire.Write(delete=key),)))
        for response in pending_responses:
            mirror.apply_response(*response)
        await mirror._follow()
        for response in pending_responses:
            mirror.apply_response(*response)

    asyncio.run(run())
    assert {k: mirror.value(k) for k in mirror.keys("m/")} == {
        k: row[0] for k, row in store.rows.items()
    }
    # Deletions are forgotten once the watch has passed them.
    assert not mirror._deleted and all(e.value is not None for e in mirror._entries.values())
    for versions in seen_versions.values():
        assert versions == sorted(versions)


@given(st.lists(st.tuples(st.integers(0, 500_000), st.integers(1, 3)), max_size=30))
def test_token_bucket_never_exceeds_its_rate_and_burst(requests):
    bucket = TokenBucket(2.0, 4.0, 0)
    now_us = tokens_taken = 0
    for wait_us, tokens in requests:
        now_us += wait_us
        if bucket.take(now_us, tokens):
            tokens_taken += tokens
        assert tokens_taken <= 4 + 2 * now_us / 1e6 + 1e-6


def test_unexpected_commit_error_stops_the_writer():
    """An owner left waiting would never place again; one told it failed could exceed its quota."""

    class FailingStateClient(FakeStateClient):
        async def commit(self, transaction, timeout_s=0):
            raise KeyError("unexpected")

    async def run():
        writer = GroupWriter(
            FailingStateClient(InMemoryStore()), SystemClock(), random.Random(1), 1e6, 4
        )
        commit_task = asyncio.create_task(writer.commit(put_change("m/a", 0)))
        try:
            async with asyncio.timeout(5):
                await writer.run()
        finally:
            commit_task.cancel()

    with pytest.raises(RuntimeError):
        asyncio.run(run())
