"""An array is called done before all of its tasks, after short cuts of a controller."""

from __future__ import annotations

import asyncio
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from common import sundarban
from common.world import BROKEN, HELD, TROUBLE, CaseError, Json, World, job, run_case

REF = "j-000001"
TASKS = 500
RUN_S = 15.0
# From it and a task's name follows how long the task runs.
SEED = 31
# The cuts: how many there are, how long each lasts, the time from one to the next, and how many
# tasks are done before the first one.
CUTS = 3
CUT_S = 0.05
GAP_S = 1.5
DONE_BEFORE_CUTS = 150


def run_s(piece: str) -> float:
    """How long a task runs: 15 s at the median, 29 s at the 95th percentile, 50 s at most."""
    return min(50.0, RUN_S * random.Random(f"{SEED} {piece}").lognormvariate(0.0, 0.4))


async def case() -> int:
    """Run the case and return its verdict."""
    world = World(
        Path(__file__).parent,
        nodes=sundarban.NODES,
        params=sundarban.params(),
        builds=sundarban.builds("dak-small"),
        capacity={("dak-small", "salt-lake", False): 9, ("dak-small", "howrah-floor", False): 10},
        state_latency_s=sundarban.STATE_LATENCY_S,
        cloud_latency_s=sundarban.CLOUD_LATENCY_S,
        boot_s=lambda: random.uniform(9.0, 11.0),
    )
    cuts: list[float] = []

    def cut_s(_node: str, body: Json) -> float:
        """How long the controller is cut off right after this transaction was carried out."""
        is_outcome = any(w.get("write", "").startswith(f"m/c/{REF}/") for w in body["writes"])
        if not is_outcome or len(world.done) < DONE_BEFORE_CUTS or len(cuts) == CUTS:
            return 0.0
        if cuts and time.monotonic() - cuts[-1] < GAP_S:
            return 0.0
        cuts.append(time.monotonic())
        return CUT_S

    if TROUBLE:
        world.state.cut_after_commit = cut_s
    world.run_s = run_s
    try:
        await world.start()
        await world.submit(job(REF, pieces=TASKS, cores=0.15, ram_gb=0.5, expect_s=RUN_S))
        until = time.monotonic() + 90.0
        broken = False
        all_done_at = None
        while time.monotonic() < until:
            status, answer = await world.poll(REF)
            done = len({p for p in world.done if p.startswith(f"{REF}/")})
            world.record("user", f"poll {REF}: {status} {answer}; tasks done {done}")
            if status == 200 and answer.get("phase") == "done":
                if done < TASKS:
                    broken = True
                    world.record("CHECK", f"{REF} is called done, but {done} of {TASKS} tasks are")
                    print(f"{REF} is called done when {done} of {TASKS} tasks are done: {answer}")
                break
            if done == TASKS:
                all_done_at = all_done_at or time.monotonic()
                if time.monotonic() - all_done_at > 20:
                    break
            await asyncio.sleep(0.2)
        await asyncio.sleep(3.0)
        done = len({p for p in world.done if p.startswith(f"{REF}/")})
        print(f"at the end {done} of {TASKS} tasks are done; last poll {await world.poll(REF)}")
        if TROUBLE and not cuts:
            raise CaseError("there was no moment for a cut")
        return BROKEN if broken else HELD
    finally:
        await world.stop()


run_case(case)
