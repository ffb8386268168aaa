"""Commits and the mirror against a state service that refuses, loses and delays."""

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


async def with_writer(client, work):
    writer = GroupWriter(client, SystemClock(), random.Random(1), 1e6, 4)
    loop = asyncio.create_task(writer.run())
    try:
        return await asyncio.wait_for(work(writer), 20)
    finally:
        loop.cancel()


def put(key, version, text="1", **options):
    return Change({key: version}, {key: Raw(text.encode())}, **options)


def test_changes_are_grouped_and_a_conflict_hurts_only_its_own_change():
    store = InMemoryStore()
    client = FakeStateClient(store)

    async def work(writer):
        changes = [put(f"m/{i}", 0) for i in range(3)] + [put("m/9", 5)]
        return await asyncio.gather(*map(writer.commit, changes), return_exceptions=True)

    results = asyncio.run(with_writer(client, work))
    assert isinstance(results[3], ConflictError)
    assert sorted(store.rows) == ["m/0", "m/1", "m/2"]
    assert client.commit_count == 2


@given(st.lists(st.sampled_from(["lost", "late", "blind", "refused"]), max_size=2))
def test_however_a_commit_fares_it_is_applied_once_and_its_fate_is_known(plan):
    store = InMemoryStore()
    client = FakeStateClient(store)
    client.planned_results.extend(plan)

    async def work(writer):
        try:
            return await writer.commit(put("m/a", 0))
        except ConflictError:
            return None

    revision = asyncio.run(with_writer(client, work))
    assert store.rows["m/a"][1] == 1
    assert revision == 1 or (revision is None and "blind" in plan)
    client.commit_delayed()
    assert store.rows["m/a"][1] == 1 and store.revision == 1


def test_a_late_copy_is_harmless_after_the_owner_went_on():
    store = InMemoryStore()
    client = FakeStateClient(store)
    client.planned_results.append("late")

    async def work(writer):
        first = await writer.commit(put("m/a", 0, "1"))
        return await writer.commit(put("m/a", first, "2"))

    asyncio.run(with_writer(client, work))
    client.commit_delayed()
    assert store.rows["m/a"][0] == b"2"


def test_an_impatient_change_is_turned_down_at_once():
    client = FakeStateClient(InMemoryStore())
    client.planned_results.extend(["refused"] * 50)

    async def work(writer):
        return await writer.commit(put("m/a", 0, fail_fast=True))

    try:
        asyncio.run(with_writer(client, work))
    except RefusedError:
        assert client.commit_count == 1
    else:
        raise AssertionError("it was held back")


steps = st.lists(
    st.tuples(
        st.sampled_from(["put", "delete", "own", "follow", "reload", "tell", "read"]),
        st.sampled_from(["m/a", "m/b", "m/c"]),
    ),
    max_size=25,
)


@given(steps)
def test_the_mirror_never_goes_back_and_ends_as_the_store(moves):
    """Own commits told late, and reads that are overtaken, must not bring old values back."""
    store = InMemoryStore()
    client = FakeStateClient(store)
    mirror = Mirror(client, FakeClock(), random.Random(1))
    seen = {}
    mirror.listen("m/", lambda k, v, version: seen.setdefault(k, []).append(version))
    told = []

    async def run():
        await mirror._load()
        for count, (move, key) in enumerate(moves):
            if move == "follow":
                await mirror._follow()
            elif move == "reload":
                await mirror._load()
            elif move == "read":
                row = await client.get(key)
                if row:
                    told.append((key, bytes(row.value), row.version))
            elif move == "tell" and told:
                mirror.apply_response(*told.pop(0))
            elif move in ("put", "own"):
                value = str(count).encode()
                write = wire.Write(key=key, value=Raw(value))
                revision = store.commit(wire.Transaction((), (write,)))
                if move == "own":
                    told.append((key, value, revision))
            elif move == "delete":
                store.commit(wire.Transaction((), (wire.Write(delete=key),)))
        for late in told:
            mirror.apply_response(*late)
        await mirror._follow()
        for late in told:
            mirror.apply_response(*late)

    asyncio.run(run())
    assert {k: mirror.value(k) for k in mirror.keys("m/")} == {
        k: row[0] for k, row in store.rows.items()
    }
    # No key is remembered as deleted once the watch has passed its deletion.
    assert not mirror._deleted and all(e.value is not None for e in mirror._entries.values())
    for versions in seen.values():
        assert versions == sorted(versions)


@given(st.lists(st.tuples(st.integers(0, 500_000), st.integers(1, 3)), max_size=30))
def test_a_token_bucket_never_gives_more_than_its_rate_and_burst(takes):
    bucket = TokenBucket(2.0, 4.0, 0)
    now_us = taken = 0
    for wait_us, tokens in takes:
        now_us += wait_us
        if bucket.take(now_us, tokens):
            taken += tokens
        assert taken <= 4 + 2 * now_us / 1e6 + 1e-6


def test_a_commit_that_fails_unexpectedly_ends_the_writer():
    """Left waiting, its owner would never place again; taken as failed, quota could break."""

    class Broken(FakeStateClient):
        async def commit(self, transaction, timeout_s=0):
            raise KeyError("unexpected")

    async def run():
        writer = GroupWriter(Broken(InMemoryStore()), SystemClock(), random.Random(1), 1e6, 4)
        waiting = asyncio.create_task(writer.commit(put("m/a", 0)))
        try:
            async with asyncio.timeout(5):
                await writer.run()
        finally:
            waiting.cancel()

    with pytest.raises(RuntimeError):
        asyncio.run(run())
