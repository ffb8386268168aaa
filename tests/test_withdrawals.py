"""Withdrawals: peers are told at once, tasks end in time, leftover records are removed safely."""

import asyncio
import random

import pytest

from mosswalk.fleet.inventory import Machine, SentStart
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

SECOND_US = 1_000_000


def measure_termination_s(broadcast):
    """How long tasks run after a withdrawal that the leader can't read from the state service.

    The job is withdrawn through another controller while the state service refuses the leader,
    and then an outage of the state service begins.
    """
    terminated_after_s: list[float] = []

    async def run():
        region = Simulation(5)
        region.start()
        await asyncio.sleep(4)
        await region.submit(job_spec(tasks=6), 300.0)
        await region.wait_until(lambda: len(region.running_on) == 6)
        leader = region.leader()
        if not broadcast:
            for controller, _ in region.controllers.values():
                controller.job_service.on_withdrawn = lambda _: None
        region.state.refused_senders.add(leader)
        other = next(n for n in region.controller_names if n != leader)
        await region.withdraw("j-000001", other)
        region.state.begin_outage()
        withdrawn_at_s = region.reported_phases["j-000001"][1]
        await region.wait_until(lambda: not region.running_on)
        terminated_after_s.append(region.now() - withdrawn_at_s)
        assert region.violations == []

    run_in_virtual_time(run())
    return terminated_after_s[0]


def test_withdrawal_reaches_leader_that_state_service_refuses():
    assert measure_termination_s(broadcast=True) < 3.0
    # Correctness doesn't depend on the broadcast: without it the tasks end in time by their leases.
    assert 2 * LEASE_S < measure_termination_s(broadcast=False) < CANCEL_S


@pytest.mark.parametrize("seed", range(3))
def test_hung_machine_with_withdrawn_tasks_is_released_across_leader_changes(seed):
    faults = [Fault(40, "cancel_and_hang", 70, seed), Fault(41, "leaders_change", 60)]
    region = run_scenario(seed, faults)
    assert region.violations == [] and region.counts["withdrawn"]


def test_withdrawal_is_resent_until_acknowledged_or_expired():
    async def run():
        clock, sent_jobs, answers = FakeClock(), [], iter([False, True, False])

        class Peers:
            async def withdrawn(self, node, message):
                sent_jobs.append([w.job for w in message.withdrawals])
                if not next(answers):
                    raise OSError

        withdrawal_broadcast = WithdrawalBroadcast(
            ["moss-1"], Peers(), 40 * SECOND_US, clock, random.Random(1)
        )
        broadcast_loop = asyncio.ensure_future(withdrawal_broadcast.run())
        withdrawal_broadcast.enqueue(Withdrawal("j-000001", b"{}", 7))
        await asyncio.sleep(2)
        assert sent_jobs == [["j-000001"]] * 2
        withdrawal_broadcast.enqueue(Withdrawal("j-000002", None, 8))
        await asyncio.sleep(0.1)
        clock.us += 41 * SECOND_US
        await asyncio.sleep(2)
        assert sent_jobs == [["j-000001"]] * 2 + [["j-000002"]]
        broadcast_loop.cancel()

    run_in_virtual_time(run())


def test_late_withdrawal_does_not_restore_finished_job():
    async def run():
        region = Simulation(3)
        region.start()
        await asyncio.sleep(4)
        await region.submit(job_spec(tasks=2), 300.0)
        await region.wait_until(lambda: region.running_on)
        withdrawals = []
        for controller, _ in region.controllers.values():
            controller.job_service.on_withdrawn = withdrawals.append
        await region.withdraw("j-000001")
        await asyncio.sleep(20)
        controller = region.controllers[region.leader()][0]
        assert "j-000001" not in controller.registry.jobs
        controller.apply_peer_withdrawals(Withdrawals(tuple(withdrawals)))
        assert len(withdrawals) == 1 and "j-000001" not in controller.registry.jobs

    run_in_virtual_time(run())


def test_chunks_are_removed_only_if_state_service_has_no_job_record():
    """When all keys are read anew, the chunks of a new job are seen before its job record."""

    async def run():
        region = Simulation(1)
        region.start()
        await asyncio.sleep(5)
        controller = region.controllers[region.leader()][0]
        chunk = TaskChunk("0", (Attempt(300, 1, "vm-1", 1, 1),))
        kept, orphaned = (records.chunk_key(f"j-00000{i}", 1) for i in (1, 2))
        for key in (kept, orphaned):
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
        record_maintenance = RecordMaintenance(
            controller.settings,
            controller.mirror,
            controller.registry,
            controller.writer,
            controller.leadership,
        )
        await record_maintenance.remove_orphaned_chunks()
        assert kept not in deleted
        del region.state.store.rows[records.job_key("j-000001")]
        await record_maintenance.remove_orphaned_chunks()
        assert deleted == [kept, orphaned]

    run_in_virtual_time(run())


def test_unanswered_run_command_is_not_sent_again():
    """An answer to a second command would not prove that the first can no longer take effect."""

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
        machine.unanswered_starts[(name, number)] = SentStart(
            controller.manager.tokens.current(machine),
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
