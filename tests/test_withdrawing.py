"""Withdrawn tasks: told of at once, ended in time, and what is left of jobs removed safely."""

import asyncio
import random

import pytest

from mosswalk.fleet.inventory import Machine
from mosswalk.fleet.record_maintenance import RecordMaintenance
from mosswalk.peers.withdrawal_broadcast import WithdrawalBroadcast
from mosswalk.store import records
from mosswalk.store.client import ConflictError
from mosswalk.store.records import Attempt, TaskChunk
from mosswalk.wire.peers import Withdrawal, Withdrawals
from tests.fakes import FakeClock, job_spec
from tests.fault_injection import Fault, run_scenario
from tests.simulated_services import LEASE_S
from tests.simulation import CANCEL_S, Simulation
from tests.virtual_time import run_in_virtual_time

S = 1_000_000


def refused_before_an_outage(tell):
    """A job is cancelled through another controller as the leader is refused; then all are."""
    left_s: list[float] = []

    async def run():
        region = Simulation(5)
        region.start()
        await asyncio.sleep(4)
        await region.submit(job_spec(tasks=6), 300.0)
        await region.wait_until(lambda: len(region.running_on) == 6)
        leader = region.leader()
        if not tell:
            for controller, _ in region.controllers.values():
                controller.job_service.on_withdrawn = lambda _: None
        region.state.refused_senders.add(leader)
        other = next(n for n in region.controller_names if n != leader)
        await region.withdraw("j-000001", other)
        region.state.begin_outage()
        told = region.reported_phases["j-000001"][1]
        await region.wait_until(lambda: not region.running_on)
        left_s.append(region.now() - told)
        assert region.violations == []

    run_in_virtual_time(run())
    return left_s[0]


def test_the_leader_hears_of_a_withdrawal_though_the_state_service_refuses_it():
    assert refused_before_an_outage(tell=True) < 3.0
    # Nothing rests on it: without it the tasks end by their leases, in time.
    assert 2 * LEASE_S < refused_before_an_outage(tell=False) < CANCEL_S


@pytest.mark.parametrize("seed", range(3))
def test_a_machine_that_hangs_with_withdrawn_tasks_is_released_whoever_leads(seed):
    troubles = [Fault(40, "cancel_and_hang", 70, seed), Fault(41, "leaders_change", 60)]
    region = run_scenario(seed, troubles)
    assert region.violations == [] and region.counts["withdrawn"]


def test_news_is_told_until_acknowledged_but_no_longer_than_it_is_of_use():
    async def run():
        clock, told, answers = FakeClock(), [], iter([False, True, False])

        class Peers:
            async def withdrawn(self, node, message):
                told.append([w.job for w in message.withdrawals])
                if not next(answers):
                    raise OSError

        withdrawal_broadcast = WithdrawalBroadcast(
            ["moss-1"], Peers(), 40 * S, clock, random.Random(1)
        )
        work = asyncio.ensure_future(withdrawal_broadcast.run())
        withdrawal_broadcast.enqueue(Withdrawal("j-000001", b"{}", 7))
        await asyncio.sleep(2)
        assert told == [["j-000001"]] * 2
        withdrawal_broadcast.enqueue(Withdrawal("j-000002", None, 8))
        await asyncio.sleep(0.1)
        clock.us += 41 * S
        await asyncio.sleep(2)
        assert told == [["j-000001"]] * 2 + [["j-000002"]]
        work.cancel()

    run_in_virtual_time(run())


def test_late_news_of_a_job_that_is_over_does_not_bring_it_back():
    async def run():
        region = Simulation(3)
        region.start()
        await asyncio.sleep(4)
        await region.submit(job_spec(tasks=2), 300.0)
        await region.wait_until(lambda: region.running_on)
        told = []
        for controller, _ in region.controllers.values():
            controller.job_service.on_withdrawn = told.append
        await region.withdraw("j-000001")
        await asyncio.sleep(20)
        controller = region.controllers[region.leader()][0]
        assert "j-000001" not in controller.registry.jobs
        controller.apply_peer_withdrawals(Withdrawals(tuple(told)))
        assert len(told) == 1 and "j-000001" not in controller.registry.jobs

    run_in_virtual_time(run())


def test_orphans_are_removed_only_where_the_state_service_knows_no_job():
    """When all keys are read anew, a new job's chunks are seen before its header."""

    async def run():
        region = Simulation(1)
        region.start()
        await asyncio.sleep(5)
        controller = region.controllers[region.leader()][0]
        chunk = TaskChunk("0", (Attempt(300, 1, "vm-1", 1, 1),))
        kept, gone = (records.chunk_key(f"j-00000{i}", 1) for i in (1, 2))
        for key in (kept, gone):
            controller.registry._chunk_changed(key, records.encode(chunk), 1)
        region.state.store.rows[records.job_key("j-000001")] = (b"{}", 3, None)
        deleted = []

        async def commit(change):
            failed = [
                k for k, v in change.guards.items() if v == 0 and k in region.state.store.rows
            ]
            if failed:
                raise ConflictError(tuple(failed))
            deleted.extend(change.deletes)

        controller.writer.commit = commit
        upkeep = RecordMaintenance(
            controller.settings,
            controller.mirror,
            controller.registry,
            controller.writer,
            controller.leadership,
        )
        await upkeep.remove_orphaned_chunks()
        assert kept not in deleted
        del region.state.store.rows[records.job_key("j-000001")]
        await upkeep.remove_orphaned_chunks()
        assert deleted == [kept, gone]

    run_in_virtual_time(run())


def test_a_start_without_an_answer_is_not_sent_twice():
    """An answer to the second would not tell that the first can't be carried out any more."""

    async def run():
        region = Simulation(2)
        region.start()
        await asyncio.sleep(4)
        await region.submit(job_spec(tasks=1), 300.0)
        await region.wait_until(lambda: region.running_on)
        controller = region.controllers[region.leader()][0]
        (machine,) = (m for m in controller.manager.inventory.machines.values() if m.tasks)
        assert isinstance(machine, Machine)
        ((name, number),) = machine.tasks
        job = controller.registry.jobs["j-000001"]
        (attempt,) = job.live_attempts()
        sent = []
        controller.manager._command_sender._post = lambda *args: (
            sent.append(args) or asyncio.sleep(0)
        )
        machine.unanswered_starts[(name, number)] = (
            controller.leadership.term_number(),
            machine.session,
        )
        controller.manager._on_attempt_recorded(machine.name, job, attempt)
        await asyncio.sleep(0.1)
        assert sent == []
        machine.unanswered_starts.clear()
        controller.manager._on_attempt_recorded(machine.name, job, attempt)
        await asyncio.sleep(0.1)
        assert len(sent) == 1

    run_in_virtual_time(run())
