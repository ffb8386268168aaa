"""Elections and handovers in which a controller's process is frozen at a critical point.

A frozen controller resumes with an outdated view, and must not take the lead from another.
"""

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


class Candidate:
    """The leadership of a controller, on a store that it shares with the others."""

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

    async def update_mirror(self):
        if not self.mirror.loaded:
            await self.mirror._load()
        await self.mirror._follow()

    async def campaign(self):
        task = asyncio.create_task(self.leadership._campaign("test"))
        for _ in range(3):
            await asyncio.sleep(0)
        await self.update_mirror()
        await task


def make_candidates(tmp_path):
    store, clock, settings = InMemoryStore(), FakeClock(), load(write_settings(tmp_path))
    return [Candidate(settings, store, clock, name) for name in ("moss-0", "moss-1")]


def test_candidate_frozen_during_campaign_does_not_lead(tmp_path):
    async def run():
        frozen, other = make_candidates(tmp_path)
        for node in (frozen, other):
            await node.update_mirror()
        # It is frozen while its transaction is in flight; another controller is elected before
        # the transaction arrives.
        frozen.client.planned_results.append("late")
        with pytest.raises(UnknownOutcomeError):
            await frozen.leadership._campaign("nobody leads")
        await other.campaign()
        frozen.client.commit_delayed()
        assert other.leadership.leads()
        # It resumes with its outdated mirror, and campaigns again.
        with pytest.raises(ConflictError):
            await frozen.leadership._campaign("nobody leads")
        await frozen.update_mirror()
        await other.update_mirror()
        assert other.leadership.leads() and not frozen.leadership.leads()
        assert frozen.leadership.term_number() == other.leadership.term_number() == 1

    asyncio.run(run())


def test_leader_frozen_during_handover_does_not_depose_next_leader(tmp_path):
    async def run():
        frozen, other = make_candidates(tmp_path)
        for node in (frozen, other):
            await node.update_mirror()
        await frozen.campaign()
        await other.update_mirror()
        frozen.leadership.hand_over()
        # It is frozen here; its lease ends, and another controller takes the lead.
        frozen.client.store.end_lease(frozen.leadership.lease)
        await other.update_mirror()
        await other.campaign()
        assert frozen.leadership.leads() and other.leadership.leads()
        with contextlib.suppress(ConflictError):
            await frozen.leadership._review_term()
        for node in (frozen, other):
            await node.update_mirror()
        assert other.leadership.leads() and not frozen.leadership.leads()
        assert other.leadership.term_number() == 2

    asyncio.run(run())


def test_handover_frees_leader_key_and_delays_own_campaign(tmp_path):
    async def run():
        first, other = make_candidates(tmp_path)
        for node in (first, other):
            await node.update_mirror()
        await first.campaign()
        first.leadership.hand_over()
        await first.leadership._review_term()
        await first.update_mirror()
        assert not first.leadership.leads()
        commits = first.client.commit_count
        await first.leadership._review_term()
        assert first.client.commit_count == commits
        await other.update_mirror()
        await other.campaign()
        assert other.leadership.leads() and other.leadership.term_number() == 2

    asyncio.run(run())
