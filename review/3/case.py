"""A large array is never placed after an outage, since its one transaction is too large."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from common import sundarban
from common.world import BROKEN, HELD, TROUBLE, CaseError, World, job, run_case

REF = "j-000001"
# They fill the four machines of this type: 256 cores.
TASKS = 2560
OUTAGE_S = 12.0
# The bound of the rule.
WAIT_S = 90.0


async def case() -> int:
    """Run the case and return its verdict."""
    boots = iter((9.0, 9.5, 10.0, 10.5, *(12.0,) * 20))
    world = World(
        Path(__file__).parent,
        nodes=sundarban.NODES,
        params=sundarban.params(),
        builds=sundarban.builds("hooghly-big"),
        # As in the site file.
        capacity={
            ("hooghly-big", "salt-lake", False): 1,
            ("hooghly-big", "salt-lake", True): 1,
            ("hooghly-big", "howrah-floor", False): 1,
            ("hooghly-big", "howrah-floor", True): 1,
        },
        state_latency_s=sundarban.STATE_LATENCY_S,
        cloud_latency_s=sundarban.CLOUD_LATENCY_S,
        boot_s=lambda: next(boots),
    )
    world.run_s = lambda _piece: 20.0
    machines = world.cloud.machines
    try:
        await world.start()
        await world.submit(
            job(
                REF,
                pieces=TASKS,
                cores=0.1,
                ram_gb=0.5,
                reclaimable=True,
                expect_s=20.0,
                rank="high",
            )
        )
        await world.until(lambda: len(machines) == 4, 20.0, "four machines are rented")
        if TROUBLE:
            await world.state.outage(OUTAGE_S)
        else:
            await asyncio.sleep(OUTAGE_S)
        await world.until(
            lambda: sum(m.phase == "running" for m in machines.values()) == 4, 20.0, "all are up"
        )
        since = world.record.now()
        while world.record.now() - since <= WAIT_S:
            await asyncio.sleep(2.0)
            world.record("user", f"poll {REF}: {await world.poll(REF)}")
            if world.started:
                break
            if not machines:
                raise CaseError("the machines with room are gone")
        print(f"{len(world.started)} tasks of {REF} started")
        if not world.started:
            world.record("CHECK", f"no task of {REF} was started for {WAIT_S:.0f} s")
        return HELD if world.started else BROKEN
    finally:
        await world.stop()


run_case(case)
