"""Large arrays while controllers are cut off as their transactions are to be answered."""

import asyncio
from collections import Counter

import pytest

from mosswalk.config import Team
from mosswalk.store.records import CHUNK_PREFIX
from tests.fakes import job_spec
from tests.simulation import Simulation
from tests.virtual_time import run_in_virtual_time

TASKS = 600
CUT_S = 0.05
# Most cuts in a run, and the least time from one to the next.
CUTS = 12
GAP_S = 1.0
MAX_TIME_S = 240.0
# The teams of both arrays have owners that don't lead, as the seeds are chosen.
TEAMS = (Team("red", 0.0, 20.0), Team("blue", 0.0, 20.0), Team("green"))


@pytest.mark.parametrize("seed", [41, 42])
def test_no_rule_is_violated_when_answers_to_changes_of_large_arrays_are_lost(seed):
    """Guards against review/1: not_done, and ran_twice and quota where the owner doesn't lead."""

    async def run():
        region = Simulation(seed, teams=TEAMS)
        region.start()
        cuts = []

        def cut_s(_sender, transaction):
            changes_chunk = any(
                isinstance(w.key, str) and w.key.startswith(CHUNK_PREFIX)
                for w in transaction.writes
            )
            if (
                not changes_chunk
                or len(region.done_tasks) < 50
                or len(cuts) == CUTS
                or (cuts and region.now() - cuts[-1] < GAP_S)
            ):
                return 0.0
            cuts.append(region.now())
            return CUT_S

        region.state.cut_after_commit_s = cut_s
        await region.wait_until(region.leader)
        jobs = [
            job_spec(f"j-{i:06d}", tasks=TASKS, team=team, cpus=0.125, memory_gb=0.25, image_gb=0.1)
            for i, team in enumerate(("red", "blue"))
        ]
        await asyncio.gather(*(region.submit(job, 6.0) for job in jobs))
        withdrawn = job_spec("j-000002", tasks=TASKS, team="green", cpus=0.125, memory_gb=0.25)
        assert await region.submit(withdrawn, 60.0)
        polls = asyncio.gather(*(region.poll_until_final(job.id) for job in jobs))
        await region.wait_until(lambda: len(cuts) >= CUTS // 2)
        await region.withdraw(withdrawn.id)
        await region.wait_until(polls.done, MAX_TIME_S)
        assert region.violations == []
        ran = Counter(task.partition("/")[0] for task in region.done_tasks)
        assert polls.done() and all(ran[job.id] == TASKS for job in jobs)
        await region.wait_until(lambda: not region.running_on)
        assert not region.running_on
        assert len(cuts) == CUTS

    run_in_virtual_time(run())
