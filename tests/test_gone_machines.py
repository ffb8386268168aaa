"""Attempts that are recorded on a machine after it is gone are lost, and their tasks run again."""

import asyncio

from mosswalk.jobs.state import Assignment, Draft, record_limits
from mosswalk.wire import state as wire
from tests.fakes import job_spec
from tests.simulation import Simulation
from tests.virtual_time import run_in_virtual_time

JOBS = 160
# The bound of the users' rule on jobs that wait although there is room.
MAX_WAIT_S = 90.0


async def submit_jobs(region, count, **changes):
    """Submit jobs of one task each and return them."""
    jobs = [job_spec(f"j-{n:06d}", tasks=1, image_gb=0.1, **changes) for n in range(count)]
    accepted = await asyncio.gather(*(region.submit(job, 2.0) for job in jobs))
    assert all(accepted)
    return jobs


def test_jobs_placed_on_a_faulty_machine_as_it_is_released_run_elsewhere():
    """Guards against review/2: jobs stayed on a machine that had been released for its failures."""

    async def run():
        region = Simulation(31)
        region.start()
        await region.wait_until(region.leader)
        # All of them fit one machine, and recording their placements takes four seconds.
        await submit_jobs(region, JOBS, cpus=0.02, memory_gb=0.05)
        await region.wait_until(lambda: region.workers)
        for worker in region.workers.values():
            worker.faulty = True
            # No image has to be fetched first.
            worker.images.add("img")
        recorded_late = []
        controller = region.controllers[region.leader()][0]
        controller.registry.on_attempt_added.append(
            lambda machine, job, _: machine in region.workers or recorded_late.append(job.id)
        )
        await region.wait_until(lambda: len(region.done_tasks) == JOBS, MAX_WAIT_S)
        assert recorded_late, "no placement was recorded after its machine's release"
        assert len(region.done_tasks) == JOBS and not region.violations

    run_in_virtual_time(run())


def test_attempt_recorded_long_after_its_machine_is_gone_is_lost():
    """Guards against review/2 where the placement was held up, as in an outage of the writes."""

    async def run():
        region = Simulation(32)
        region.start()
        await region.wait_until(region.leader)
        controller = region.controllers[region.leader()][0]
        (job,) = await submit_jobs(region, 1)
        registry, inventory = controller.registry, controller.manager.inventory
        await region.wait_until(lambda: job.id in registry.jobs)
        inventory.remove("vm-900000", controller.manager._clock.now_us())
        draft = Draft(registry.jobs[job.id], record_limits(controller.settings.params.state))
        draft.place(Assignment(0, "vm-900000", 1), controller.leadership.term_number())
        change = draft.to_change({})
        writes = tuple(wire.Write(key=key, value=value) for key, value in change.puts.items())
        region.state.store.commit(wire.Transaction((), writes))
        region.state._notify()
        await region.wait_until(lambda: region.done_tasks, MAX_WAIT_S)
        assert region.done_tasks and not region.violations

    run_in_virtual_time(run())
