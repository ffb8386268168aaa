"""A controller that stood still acts on nothing before it has judged its authority anew."""

import asyncio
import random
import threading
import time
from contextlib import AsyncExitStack
from types import SimpleNamespace

import pytest
from msgspec import Raw

from mosswalk.actors import SystemClock
from mosswalk.cloud.actor import CloudCaller
from mosswalk.cloud.client import CloudError
from mosswalk.config import load
from mosswalk.detection.fence import AuthorityFence, CommitGate
from mosswalk.detection.renewer import LeaseRenewer
from mosswalk.leadership.actor import Leadership
from mosswalk.service import listen
from mosswalk.store import records
from mosswalk.store.client import ConflictError, NoLeaseError, RefusedError
from mosswalk.store.mirror import Mirror
from mosswalk.store.writer import Change, GroupWriter
from mosswalk.wire import state as wire
from tests.fakes import FakeClock, FakeStateClient, InMemoryStore
from tests.loopback import StateService, free_port
from tests.test_config import write_settings

S = 1_000_000
WINDOW_US = 1_200_000


class Node:
    """A controller's leadership with its fence, on a store that others change."""

    def __init__(self, tmp_path):
        self.store, self.clock = InMemoryStore(), FakeClock()
        self.client = FakeStateClient(self.store)
        self.client.renew = self.renew
        self.mirror = Mirror(self.client, self.clock, random.Random(1))
        settings = load(write_settings(tmp_path))
        self.leadership = Leadership(
            settings, self.client, self.mirror, self.clock, random.Random(2)
        )
        self.fence = AuthorityFence(WINDOW_US, self.clock, self.leadership)
        self.leadership.authority = self.fence
        self.writer = GroupWriter(self.client, self.clock, random.Random(3), 100.0, 16)
        self.writer.gate = CommitGate(self.fence, self.mirror)
        self.served = True

    async def renew(self, lease, _timeout_s):
        if not self.served:
            raise RefusedError("down")
        if lease not in self.store.leases:
            raise NoLeaseError

    async def lead(self):
        self.leadership.lease = self.store.grant()
        await self.mirror._load()
        task = asyncio.create_task(self.leadership._campaign("test"))
        for _ in range(3):
            await asyncio.sleep(0)
        await self.mirror._follow()
        await task
        self.leadership.lease_renewed_at_us = self.clock.us
        assert self.leadership.leads() and self.leadership.may_start_tasks()

    def depose(self):
        """Another controller leads in the next term, which the mirror does not show yet."""
        self.store.end_lease(self.leadership.lease)
        term = records.TermRecord(2, "other", {"red": "other"}, {"other": "r"})
        other = records.encode(records.Presence("other", "r"))
        writes = (
            wire.Write(key=records.LEADER_KEY, value=Raw(other), lease=self.store.grant()),
            wire.Write(key=records.TERM_KEY, value=Raw(records.encode_term(term))),
        )
        self.store.commit(wire.Transaction((), writes))

    def freeze(self):
        self.clock.us += 2 * WINDOW_US

    def change(self):
        guards = {records.TERM_KEY: self.leadership.term_version}
        return Change(guards, {"m/j/x": Raw(b"{}")})


@pytest.fixture
def node(tmp_path):
    return Node(tmp_path)


def test_all_acts_are_withheld_at_once_whoever_asks_first(node):
    async def run():
        await node.lead()
        node.clock.us += WINDOW_US
        assert node.leadership.may_start_tasks() and node.leadership.may_renew_worker_leases()
        node.freeze()
        assert not node.leadership.may_renew_worker_leases()
        assert not node.leadership.may_start_tasks()
        assert node.fence.freezes == 1
        await node.fence.confirm()
        assert node.leadership.may_renew_worker_leases()

    asyncio.run(run())


def test_one_that_was_deposed_finds_out_before_it_acts(node, caplog):
    async def run():
        await node.lead()
        node.depose()
        node.freeze()
        assert node.leadership.leads()
        await node.fence.confirm()
        assert not node.leadership.leads() and not node.leadership.may_renew_worker_leases()
        assert node.leadership.lease is None

    with caplog.at_level("INFO"):
        asyncio.run(run())
    assert "deposed while we stood still: led term 1, now other leads in term 2" in caplog.text


def test_one_whose_lease_ended_does_not_lead_though_nobody_else_does(node):
    async def run():
        await node.lead()
        node.store.end_lease(node.leadership.lease)
        node.freeze()
        await node.fence.confirm()
        assert not node.leadership.leads() and node.leadership.leader() is None

    asyncio.run(run())


@pytest.mark.parametrize("when", ["queued before", "decided after"])
def test_a_commit_of_an_old_term_fails_unsent(node, when):
    async def run():
        await node.lead()
        running = asyncio.create_task(node.writer.run())
        change, sent = node.change(), node.client.commit_count
        if when == "queued before":
            work = asyncio.create_task(node.writer.commit(change))
            node.depose()
            node.freeze()
        else:
            node.depose()
            node.freeze()
            work = asyncio.create_task(node.writer.commit(change))
        with pytest.raises(ConflictError):
            await work
        assert node.client.commit_count == sent
        running.cancel()

    asyncio.run(run())


def test_a_commit_with_no_answer_before_the_freeze_is_left_to_the_state_service(node):
    async def run():
        await node.lead()
        running = asyncio.create_task(node.writer.run())
        node.client.planned_results.append("blind")
        work = asyncio.create_task(node.writer.commit(node.change()))
        for _ in range(20):
            await asyncio.sleep(0)
        assert node.client.commit_count == 2
        node.depose()
        node.freeze()
        with pytest.raises(ConflictError):
            await work
        # It was carried out the first time: only the state service could tell.
        assert "m/j/x" in node.store.rows and node.client.commit_count == 3
        running.cancel()

    asyncio.run(run())


def test_one_that_still_leads_goes_on_with_what_was_queued(node):
    async def run():
        await node.lead()
        running = asyncio.create_task(node.writer.run())
        work = asyncio.create_task(node.writer.commit(node.change()))
        node.freeze()
        await work
        assert "m/j/x" in node.store.rows
        running.cancel()

    asyncio.run(run())


def test_users_are_refused_at_once_while_authority_cant_be_confirmed(node):
    async def run():
        await node.lead()
        running = asyncio.create_task(node.writer.run())
        node.freeze()
        node.served = False
        change = Change({}, {"m/j/x": Raw(b"{}")}, fail_fast=True)
        with pytest.raises(RefusedError):
            await node.writer.commit(change)
        running.cancel()

    asyncio.run(run())


def test_in_an_outage_workers_are_kept_within_the_bound_but_nothing_starts(node):
    async def run():
        await node.lead()
        node.freeze()
        node.served = False
        assert not node.leadership.may_renew_worker_leases()
        with pytest.raises(RefusedError):
            await node.fence.confirm()
        assert node.leadership.may_renew_worker_leases() and not node.leadership.may_start_tasks()
        node.clock.us += node.leadership.max_unconfirmed_us
        assert not node.leadership.may_renew_worker_leases()

    asyncio.run(run())


def test_no_term_is_stood_for_between_a_freeze_and_its_confirmation(node):
    async def run():
        await node.lead()
        sent = node.client.commit_count
        node.freeze()
        with pytest.raises(RefusedError):
            await node.leadership._campaign("test")
        assert node.client.commit_count == sent

    asyncio.run(run())


def test_a_second_freeze_while_confirming_needs_another_confirmation(node):
    async def run():
        await node.lead()
        confirm, asked = node.leadership.confirm_authority, 0

        async def slow():
            nonlocal asked
            asked += 1
            await confirm()
            if asked == 1:
                node.freeze()
                assert not node.fence.may_act()

        node.fence._check = SimpleNamespace(confirm_authority=slow)
        node.freeze()
        await node.fence.confirm()
        assert asked == 2 and node.fence.may_act()

    asyncio.run(run())


def test_the_second_half_of_a_rental_is_not_sent_by_one_that_was_deposed(node):
    class Cloud:
        def __init__(self):
            self.asked = 0

        async def rent(self, _request):
            self.asked += 1
            node.depose()
            node.freeze()
            raise CloudError("no answer")

    async def run():
        await node.lead()
        cloud, told = Cloud(), []
        caller = CloudCaller(
            cloud,
            node.clock,
            random.Random(1),
            100.0,
            told.append,
            node.leadership.may_start_tasks,
            node.leadership.may_renew_worker_leases,
        )
        await caller.rent((1,), ("small", "a", False))
        # Not asked again under the same name: what it brought is the next leader's.
        assert cloud.asked == 1 and told[0].machines == ()

    asyncio.run(run())


class StateThread(threading.Thread):
    """The state service on a loop of its own: the main one is held up by the test."""

    def __init__(self):
        super().__init__(daemon=True)
        self.service, self.ready, self.over = StateService(), threading.Event(), False
        self.port = free_port()

    def run(self):
        asyncio.run(self._serve())

    async def _serve(self):
        async with AsyncExitStack() as stack:
            runner = await listen(self.service.app(), f"127.0.0.1:{self.port}")
            stack.push_async_callback(runner.cleanup)
            self.lease = self.service.store.grant()
            self.service.lease_deadlines[self.lease] = (time.monotonic() + 1.0, 1.0)
            self.ready.set()
            while not self.over:
                self.service.expire_leases()
                await asyncio.sleep(0.02)


@pytest.mark.parametrize("alive", [True, False])
def test_the_lease_outlives_a_busy_loop_but_not_a_dead_one(alive):
    state, clock = StateThread(), SystemClock()
    state.start()
    assert state.ready.wait(5)
    holder = SimpleNamespace(lease=state.lease, lease_renewed_at_us=clock.now_us())
    progress = SimpleNamespace(last_progress_at_us=clock.now_us())
    renewer = LeaseRenewer(
        f"127.0.0.1:{state.port}", holder, progress, clock, ttl_s=1.0, renew_s=0.2, progress_s=0.6
    )
    renewer.start()
    assert renewer.max_lease_after_progress_us == 600_000 + 500_000 + 1_000_000
    # The main loop does not renew; it is late, or has stopped altogether.
    for _ in range(30):
        time.sleep(0.1)
        if alive:
            progress.last_progress_at_us = clock.now_us()
    assert (state.lease in state.service.lease_deadlines) is alive
    assert renewer.renewals > 0
    renewer.stop()
    renewer.join(5)
    state.over = True
    state.join(5)
