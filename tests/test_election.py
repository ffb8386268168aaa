"""A controller that stands still in an election, or while it hands over, changes nothing."""

import asyncio
import contextlib
import random

import pytest
from msgspec import structs

from mosswalk.config import load
from mosswalk.leadership.actor import Leadership
from mosswalk.store.client import ConflictError, UnknownOutcomeError
from mosswalk.store.mirror import Mirror
from tests.fakes import FakeClock, FakeStateClient, InMemoryStore
from tests.test_config import write_settings


class Node:
    """One controller's leadership, on a store that it shares with others."""

    def __init__(self, settings, store, clock, name):
        self.client = FakeStateClient(store)
        self.mirror = Mirror(self.client, clock, random.Random(1))
        self.leadership = Leadership(
            structs.replace(settings, host_name=name),
            self.client,
            self.mirror,
            clock,
            random.Random(name),
        )
        self.leadership.lease = store.grant()

    async def see(self):
        if not self.mirror.loaded:
            await self.mirror._load()
        await self.mirror._follow()

    async def stand(self):
        task = asyncio.create_task(self.leadership._campaign("test"))
        for _ in range(3):
            await asyncio.sleep(0)
        await self.see()
        await task


def pair(tmp_path):
    store, clock, settings = InMemoryStore(), FakeClock(), load(write_settings(tmp_path))
    return [Node(settings, store, clock, name) for name in ("moss-0", "moss-1")]


def test_one_that_stood_still_while_it_stood_does_not_lead(tmp_path):
    async def run():
        slow, other = pair(tmp_path)
        for node in (slow, other):
            await node.see()
        # Its request is on its way when it stops; another is elected, and then it arrives.
        slow.client.planned_results.append("late")
        with pytest.raises(UnknownOutcomeError):
            await slow.leadership._campaign("nobody leads")
        await other.stand()
        slow.client.commit_delayed()
        assert other.leadership.leads()
        # It goes on with what it saw before, and asks once more.
        with pytest.raises(ConflictError):
            await slow.leadership._campaign("nobody leads")
        await slow.see()
        await other.see()
        assert other.leadership.leads() and not slow.leadership.leads()
        assert slow.leadership.term_number() == other.leadership.term_number() == 1

    asyncio.run(run())


def test_one_that_stood_still_while_handing_over_does_not_unseat_the_next_leader(tmp_path):
    async def run():
        slow, other = pair(tmp_path)
        for node in (slow, other):
            await node.see()
        await slow.stand()
        await other.see()
        slow.leadership.hand_over()
        # It stops there, its lease ends, and another leads.
        slow.client.store.end_lease(slow.leadership.lease)
        await other.see()
        await other.stand()
        assert slow.leadership.leads() and other.leadership.leads()
        with contextlib.suppress(ConflictError):
            await slow.leadership._review_term()
        for node in (slow, other):
            await node.see()
        assert other.leadership.leads() and not slow.leadership.leads()
        assert other.leadership.term_number() == 2

    asyncio.run(run())


def test_one_that_hands_over_frees_the_key_and_does_not_stand_at_once(tmp_path):
    async def run():
        first, other = pair(tmp_path)
        for node in (first, other):
            await node.see()
        await first.stand()
        first.leadership.hand_over()
        await first.leadership._review_term()
        await first.see()
        assert not first.leadership.leads()
        commits = first.client.commit_count
        await first.leadership._review_term()
        assert first.client.commit_count == commits
        await other.see()
        await other.stand()
        assert other.leadership.leads() and other.leadership.term_number() == 2

    asyncio.run(run())
