"""A controller that was frozen takes no action before its authority has been confirmed again."""

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

SECOND_US = 1_000_000
WINDOW_US = 1_200_000


class FencedController:
    """A controller's leadership and commits behind a fence, on a store that others also write."""

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
        self.state_service_up = True

    async def renew(self, lease, _timeout_s):
        if not self.state_service_up:
            raise RefusedError("down")
        if lease not in self.store.leases:
            raise NoLeaseError

    async def become_leader(self):
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
        """Have another controller lead in the next term, which the mirror does not show yet."""
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

    def make_change(self):
        guards = {records.TERM_KEY: self.leadership.term_version}
        return Change(guards, {"m/j/x": Raw(b"{}")})


@pytest.fixture
def controller(tmp_path):
    return FencedController(tmp_path)


def test_all_authority_checks_fail_after_a_freeze_until_confirmation(controller):
    async def run():
        await controller.become_leader()
        controller.clock.us += WINDOW_US
        assert (
            controller.leadership.may_start_tasks()
            and controller.leadership.may_renew_worker_leases()
        )
        controller.freeze()
        assert not controller.leadership.may_renew_worker_leases()
        assert not controller.leadership.may_start_tasks()
        assert controller.fence.freezes == 1
        await controller.fence.confirm()
        assert controller.leadership.may_renew_worker_leases()

    asyncio.run(run())


def test_deposed_leader_loses_authority_at_confirmation(controller, caplog):
    async def run():
        await controller.become_leader()
        controller.depose()
        controller.freeze()
        assert controller.leadership.leads()
        await controller.fence.confirm()
        assert (
            not controller.leadership.leads()
            and not controller.leadership.may_renew_worker_leases()
        )
        assert controller.leadership.lease is None

    with caplog.at_level("INFO"):
        asyncio.run(run())
    assert (
        "deposed while this process was frozen: led term 1, now other leads in term 2"
        in caplog.text
    )


def test_controller_with_ended_lease_does_not_lead_even_without_successor(controller):
    async def run():
        await controller.become_leader()
        controller.store.end_lease(controller.leadership.lease)
        controller.freeze()
        await controller.fence.confirm()
        assert not controller.leadership.leads() and controller.leadership.leader() is None

    asyncio.run(run())


@pytest.mark.parametrize("queued", ["before_freeze", "after_freeze"])
def test_commit_of_an_old_term_fails_without_being_sent(controller, queued):
    async def run():
        await controller.become_leader()
        writer_task = asyncio.create_task(controller.writer.run())
        change, commits_before = controller.make_change(), controller.client.commit_count
        if queued == "before_freeze":
            commit_task = asyncio.create_task(controller.writer.commit(change))
            controller.depose()
            controller.freeze()
        else:
            controller.depose()
            controller.freeze()
            commit_task = asyncio.create_task(controller.writer.commit(change))
        with pytest.raises(ConflictError):
            await commit_task
        assert controller.client.commit_count == commits_before
        writer_task.cancel()

    asyncio.run(run())


def test_commit_without_answer_before_the_freeze_is_sent_again_for_its_outcome(controller):
    async def run():
        await controller.become_leader()
        writer_task = asyncio.create_task(controller.writer.run())
        controller.client.planned_results.append("blind")
        commit_task = asyncio.create_task(controller.writer.commit(controller.make_change()))
        for _ in range(20):
            await asyncio.sleep(0)
        assert controller.client.commit_count == 2
        controller.depose()
        controller.freeze()
        with pytest.raises(ConflictError):
            await commit_task
        # The first copy was applied, which only the state service could tell.
        assert "m/j/x" in controller.store.rows and controller.client.commit_count == 3
        writer_task.cancel()

    asyncio.run(run())


def test_leader_confirmed_after_a_freeze_sends_its_queued_commits(controller):
    async def run():
        await controller.become_leader()
        writer_task = asyncio.create_task(controller.writer.run())
        commit_task = asyncio.create_task(controller.writer.commit(controller.make_change()))
        controller.freeze()
        await commit_task
        assert "m/j/x" in controller.store.rows
        writer_task.cancel()

    asyncio.run(run())


def test_fail_fast_change_is_refused_while_authority_cannot_be_confirmed(controller):
    async def run():
        await controller.become_leader()
        writer_task = asyncio.create_task(controller.writer.run())
        controller.freeze()
        controller.state_service_up = False
        change = Change({}, {"m/j/x": Raw(b"{}")}, fail_fast=True)
        with pytest.raises(RefusedError):
            await controller.writer.commit(change)
        writer_task.cancel()

    asyncio.run(run())


def test_outage_after_a_freeze_allows_bounded_lease_renewal_but_no_task_starts(controller):
    async def run():
        await controller.become_leader()
        controller.freeze()
        controller.state_service_up = False
        assert not controller.leadership.may_renew_worker_leases()
        with pytest.raises(RefusedError):
            await controller.fence.confirm()
        assert (
            controller.leadership.may_renew_worker_leases()
            and not controller.leadership.may_start_tasks()
        )
        controller.clock.us += controller.leadership.max_unconfirmed_us
        assert not controller.leadership.may_renew_worker_leases()

    asyncio.run(run())


def test_no_campaign_between_a_freeze_and_its_confirmation(controller):
    async def run():
        await controller.become_leader()
        commits_before = controller.client.commit_count
        controller.freeze()
        with pytest.raises(RefusedError):
            await controller.leadership._campaign("test")
        assert controller.client.commit_count == commits_before

    asyncio.run(run())


def test_freeze_during_confirmation_requires_another_confirmation(controller):
    async def run():
        await controller.become_leader()
        confirm, confirmations = controller.leadership.confirm_authority, 0

        async def confirm_with_freeze():
            nonlocal confirmations
            confirmations += 1
            await confirm()
            if confirmations == 1:
                controller.freeze()
                assert not controller.fence.may_act()

        controller.fence._check = SimpleNamespace(confirm_authority=confirm_with_freeze)
        controller.freeze()
        await controller.fence.confirm()
        assert confirmations == 2 and controller.fence.may_act()

    asyncio.run(run())


def test_deposed_leader_does_not_repeat_a_rental_request(controller):
    class FailingCloud:
        def __init__(self):
            self.request_count = 0

        async def rent(self, _request):
            self.request_count += 1
            controller.depose()
            controller.freeze()
            raise CloudError("no answer")

    async def run():
        await controller.become_leader()
        cloud, results = FailingCloud(), []
        caller = CloudCaller(
            cloud,
            controller.clock,
            random.Random(1),
            100.0,
            results.append,
            controller.leadership.may_start_tasks,
            controller.leadership.may_renew_worker_leases,
        )
        await caller.rent((1,), ("small", "a", False))
        # The request is not sent again under its name: the next leader takes what it rented.
        assert cloud.request_count == 1 and results[0].machines == ()

    asyncio.run(run())


class StateServiceThread(threading.Thread):
    """Runs the state service on its own event loop, since the test blocks the main thread."""

    def __init__(self):
        super().__init__(daemon=True)
        self.service, self.ready, self.stopping = StateService(), threading.Event(), False
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
            while not self.stopping:
                self.service.expire_leases()
                await asyncio.sleep(0.02)


@pytest.mark.parametrize("loop_makes_progress", [True, False])
def test_lease_is_renewed_for_a_busy_loop_but_not_for_a_dead_one(loop_makes_progress):
    state, clock = StateServiceThread(), SystemClock()
    state.start()
    assert state.ready.wait(5)
    holder = SimpleNamespace(lease=state.lease, lease_renewed_at_us=clock.now_us())
    progress = SimpleNamespace(last_progress_at_us=clock.now_us())
    renewer = LeaseRenewer(
        f"127.0.0.1:{state.port}", holder, progress, clock, ttl_s=1.0, renew_s=0.2, progress_s=0.6
    )
    renewer.start()
    assert renewer.max_lease_after_progress_us == 600_000 + 500_000 + 1_000_000
    # The main loop renews nothing: it is busy, or has stopped altogether.
    for _ in range(30):
        time.sleep(0.1)
        if loop_makes_progress:
            progress.last_progress_at_us = clock.now_us()
    assert (state.lease in state.service.lease_deadlines) is loop_makes_progress
    assert renewer.renewals > 0
    renewer.stop()
    renewer.join(5)
    state.stopping = True
    state.join(5)
