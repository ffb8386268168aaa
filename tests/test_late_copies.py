"""Late copies of commands that were carried out and answered before: they start nothing again."""

import asyncio
from functools import partial

import pytest

from mosswalk.config import Team
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


async def move_replica(region):
    """Run the replica j-000001/0 and have it stopped and placed again; returns both machines."""
    await region.wait_until(region.leader)
    assert await region.submit(job_spec(tasks=1, kind="daemon"), 1e9)
    await region.wait_until(lambda: "j-000001/0" in region.running_on)
    first_worker = region.running_on["j-000001/0"]
    manager = region.controllers[region.leader()][0].manager
    job = manager._registry.jobs["j-000001"]
    (attempt,) = job.live_attempts()
    manager._stops.stop(job, attempt, 0.0)
    await region.wait_until(lambda: "j-000001/0" not in region.running_on)
    await region.wait_until(lambda: "j-000001/0" in region.running_on)
    return first_worker, region.running_on["j-000001/0"]


@pytest.mark.parametrize("trouble", TROUBLES)
def test_no_copy_of_a_command_starts_an_attempt_again(trouble):
    faults, job_kinds, seed = TROUBLES[trouble]
    region = run_scenario(seed, [F(8, "all_copies", 75), *faults], 14, job_kinds)
    assert region.counts["copies"] > 200
    assert region.counts["started_by_copies"] == 0
    assert region.violations == []


# The controller that has not been up: nothing is known of it, or the state service shows it as one
# of the production version, so that terms have a single token.
MISSING = {"unknown": [], "old": ["moss-2"]}


@pytest.mark.parametrize("missing", MISSING)
@pytest.mark.parametrize("joins", [False, True])
@pytest.mark.parametrize("trouble", ["none", "jobs_cancelled", "leader_back_within_a_second",
                                     "all_controllers_back_at_once", "machines_hang",
                                     "machines_lost", "more_work_than_room"])  # fmt: skip
def test_no_copy_starts_an_attempt_again_while_a_controller_has_not_been_up(
    trouble, joins, missing
):
    """Guards against review/5: ran_twice by a copy while terms had a single token."""
    faults, job_kinds, seed = TROUBLES[trouble]
    faults = [F(8, "all_copies", 75), *faults, *([F(38, "controllers_join")] if joins else [])]
    kinds = tuple(kind for kind in job_kinds if kind != "group")
    region = run_scenario(seed + 20, faults, 14, kinds, absent=["moss-2"], old=MISSING[missing])
    assert region.counts["copies"] > 200
    assert region.counts["started_by_copies"] == 0
    assert region.violations == []


@pytest.mark.parametrize("missing", MISSING)
@pytest.mark.parametrize("cancelled", [False, True])
def test_copy_of_a_start_runs_nothing_before_all_controllers_have_been_up(cancelled, missing):
    """Guards against review/5; without an old controller what has ended is reaped at once."""

    async def run():
        region = Simulation(3)
        region.absent = {"moss-2"}
        region.start()
        for name in MISSING[missing]:
            region.add_old_presence(name)
        await region.wait_until(region.leader)
        # Another replica keeps the machine when the job has ended.
        assert await region.submit(job_spec("j-000002", tasks=1, kind="daemon"), 1e9)
        await region.wait_until(lambda: region.running_on)
        (worker,) = region.running_on.values()
        assert await move_replica(region) == (worker, worker)
        if cancelled:
            await region.withdraw("j-000001")
            await region.wait_until(lambda: "j-000001/0" not in region.running_on)
        await asyncio.sleep(10.0)
        worker.receive_all_copies()
        await asyncio.sleep(5.0)
        assert region.counts["copies"] >= 2
        assert region.counts["started_by_copies"] == 0
        ended = {("j-000001/0", number) for number in range(1, 3 if cancelled else 2)}
        assert worker.tasks.keys() & ended == (ended if missing == "old" else set())
        region.absent = set()
        region.start_controller("moss-2")
        await region.wait_until(lambda: not ended & worker.tasks.keys(), 20.0)
        assert not ended & worker.tasks.keys() and not worker.destroyed
        worker.receive_all_copies()
        await asyncio.sleep(5.0)
        assert region.counts["started_by_copies"] == 0
        assert region.violations == []

    run_in_virtual_time(run())


def test_reports_stay_small_and_tasks_go_on_while_nothing_can_be_reaped():
    """Beside an old controller a new term is made once many ended attempts wait to be reaped."""
    tasks = 1200

    async def run():
        region = Simulation(6, teams=(Team("blue", 0.0, 4.0),))
        region.absent = {"moss-2"}
        region.start()
        region.add_old_presence("moss-2")
        await region.wait_until(region.leader)
        # The old controller can't be reached, so its teams get other owners in a new term.
        await asyncio.sleep(10.0)
        controller = region.controllers[region.leader()][0]
        sizes, ended = [], []

        async def measure(method, path, body, sender, serve):
            if path == "/v1/report":
                sizes.append(len(body))
                ended.append(body.count(b'"exited"'))
            return await serve(method, path, body, sender)

        for name in region.controllers:
            host, serve = region.network.hosts[region.addresses[name]]
            region.network.hosts[region.addresses[name]] = (host, partial(measure, serve=serve))
        job = job_spec(tasks=tasks, team="blue", cpus=0.125, memory_gb=0.1, image_gb=0.1)
        first_term = controller.leadership.term_number()
        assert await region.submit(job, 0.2)
        await region.wait_until(lambda: len(region.done_tasks) == tasks, 180.0)
        assert len(region.done_tasks) == tasks and region.violations == []
        assert not controller.leadership.has_token_range()
        assert max(ended) > 256 and max(sizes) < 64 * 1024
        assert 0 < controller.leadership.term_number() - first_term <= tasks // 256

    run_in_virtual_time(run())


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
        first_worker, second_worker = await move_replica(region)
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
