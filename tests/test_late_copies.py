"""Late copies of commands that were carried out and answered before: they start nothing again."""

import asyncio

import pytest

from tests.fakes import job_spec
from tests.fault_injection import JOB_KINDS, JOB_KINDS_WITH_GANGS, Fault, run_scenario
from tests.simulation import Simulation
from tests.virtual_time import run_in_virtual_time

F = Fault

# The troubles beside the copies, the kinds of jobs, and the seed.
TROUBLES = {
    "none": ([], JOB_KINDS, 1),
    "gangs": ([], JOB_KINDS_WITH_GANGS, 2),
    "jobs_cancelled": ([F(25, "cancel"), F(33, "cancel"), F(41, "cancel")], JOB_KINDS, 3),
    "leader_back_within_a_second": (
        [F(20, "crash", 1, 1), F(40, "crash", 1, 1), F(60, "crash", 1, 1)], JOB_KINDS, 4,
    ),
    "all_controllers_back_at_once": (
        [F(24, "crash_all", 0.4), F(50, "crash_all", 0.2)], JOB_KINDS, 5,
    ),
    "leaders_end_and_gangs_cancelled": (
        [F(20, "leaders_change", 40), F(30, "cancel")], JOB_KINDS_WITH_GANGS, 6,
    ),
    "leader_hands_over": ([F(30, "leader_without_workers", 12)], JOB_KINDS, 7),
    "machines_hang": ([F(20, "hang", 6), F(40, "hang", 9, 1)], JOB_KINDS, 8),
    "leader_frozen": ([F(25, "freeze", 8, 1), F(45, "freeze", 3, 1)], JOB_KINDS, 9),
    "state_service_down": ([F(30, "state_outage", 14), F(36, "cancel")], JOB_KINDS, 10),
    "machines_lost": (
        [F(25, "destroy_machines"), F(35, "machines_cut", 9), F(50, "machines_reclaimed", 12)],
        JOB_KINDS_WITH_GANGS, 11,
    ),
    "more_work_than_room": ([F(30, "slow_links", 20)], JOB_KINDS * 2, 12),
}  # fmt: skip


@pytest.mark.parametrize("trouble", TROUBLES)
def test_no_copy_of_a_command_starts_an_attempt_again(trouble):
    faults, job_kinds, seed = TROUBLES[trouble]
    region = run_scenario(seed, [F(8, "all_copies", 75), *faults], 14, job_kinds)
    assert region.counts["copies"] > 200
    assert region.counts["started_by_copies"] == 0
    assert region.violations == []


@pytest.mark.parametrize("selector", range(7))
def test_no_rule_is_violated_by_copies_of_requests_between_the_other_parts(selector):
    """Offers, outcomes, withdrawals; users' requests; rentals and releases; commits and leases."""
    faults = [
        F(8, "late_requests", 75, selector), F(25, "crash", 1, selector % 2), F(33, "cancel"),
        F(45, "leaders_change", 13), F(50, "destroy_machines"), F(58, "cancel"),
    ]  # fmt: skip
    region = run_scenario(selector, faults, 16, JOB_KINDS_WITH_GANGS)
    assert region.network.copies > 2
    assert region.violations == []


def test_start_on_the_way_of_a_cancelled_job_is_outdated_without_a_new_term():
    async def run():
        region = Simulation(3)
        region.start()
        await region.wait_until(region.leader)
        assert await region.submit(job_spec("j-000000", tasks=1, kind="daemon"), 1e9)
        await region.wait_until(lambda: region.running_on)
        controller = region.controllers[region.leader()][0]
        term, held = controller.leadership.term_number(), []
        for worker in region.workers.values():

            async def hold_start(method, path, body, sender, worker=worker):
                if b"j-000001/0" in body and not held:
                    held.append(body)
                    await asyncio.sleep(20.0)
                return await worker.serve(method, path, body, sender)

            region.network.hosts[worker.address] = (worker.name, hold_start)
        assert await region.submit(job_spec("j-000001", tasks=1), 1e9)
        await region.wait_until(lambda: held)
        await region.withdraw("j-000001")
        await region.wait_until(lambda: "j-000001" not in controller.registry.jobs, 15.0)
        assert held and "j-000001" not in controller.registry.jobs
        assert controller.manager.tokens.raised == 1
        await asyncio.sleep(30.0)
        assert controller.leadership.term_number() == term
        assert region.counts["started"] == 1 and region.violations == []

    run_in_virtual_time(run())


@pytest.mark.parametrize("controllers_restart", [False, True])
@pytest.mark.parametrize("cancelled", [False, True])
def test_copy_of_a_start_does_not_run_a_moved_or_cancelled_task(cancelled, controllers_restart):
    """Guards against the incident of 2026-12-04: ran_twice by copies of starts after a restart."""

    async def run():
        region = Simulation(3)
        region.start()
        await region.wait_until(region.leader)
        assert await region.submit(job_spec(tasks=1, kind="daemon"), 1e9)
        await region.wait_until(lambda: region.running_on)
        first_worker = region.running_on["j-000001/0"]
        manager = region.controllers[region.leader()][0].manager
        job = manager._registry.jobs["j-000001"]
        (attempt,) = job.live_attempts()
        manager._stops.stop(job, attempt, 0.0)
        await region.wait_until(lambda: not region.running_on)
        await region.wait_until(lambda: region.running_on)
        second_worker = region.running_on["j-000001/0"]
        if cancelled:
            await region.withdraw("j-000001")
        # Only attempts that still run are left on the machines: what has ended was reaped.
        left = {("j-000001/0", 2)} - ({("j-000001/0", 2)} if cancelled else set())
        await region.wait_until(lambda: first_worker.tasks.keys() | second_worker.tasks == left)
        if controllers_restart:
            for name in region.controller_names:
                region.kill_controller(name)
                region.start_controller(name)
        for worker in (first_worker, second_worker):
            worker.receive_all_copies()
        await asyncio.sleep(5.0)
        assert region.counts["copies"] >= 2
        assert region.counts["started_by_copies"] == 0
        assert region.violations == []

    run_in_virtual_time(run())
