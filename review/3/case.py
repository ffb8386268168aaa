"""A job that failed once on a machine is never run there again, though no other one can be had."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from common import sundarban
from common.world import BROKEN, HELD, TROUBLE, CaseError, Worker, World, job, run_case

REF, KEEPER = "j-000001", "j-000002"
# For how long the machine is faulty.
SICK_S = 5.0
# The bound of the rule.
WAIT_S = 90.0


async def case() -> int:
    """Run the case and return its verdict."""
    rented: list[Worker] = []
    world = World(
        Path(__file__).parent,
        nodes=sundarban.NODES,
        params=sundarban.params(),
        builds=sundarban.builds("dak-small", "ganga-mid", "hooghly-big"),
        # As in the site file.
        capacity={
            ("dak-small", "salt-lake", False): 9,
            ("dak-small", "salt-lake", True): 2,
            ("dak-small", "howrah-floor", False): 10,
            ("dak-small", "howrah-floor", True): 3,
            ("ganga-mid", "salt-lake", False): 1,
            ("ganga-mid", "salt-lake", True): 1,
            ("ganga-mid", "howrah-floor", False): 1,
            ("ganga-mid", "howrah-floor", True): 1,
            ("hooghly-big", "salt-lake", False): 1,
            ("hooghly-big", "salt-lake", True): 1,
            ("hooghly-big", "howrah-floor", False): 1,
            ("hooghly-big", "howrah-floor", True): 1,
        },
        state_latency_s=sundarban.STATE_LATENCY_S,
        cloud_latency_s=sundarban.CLOUD_LATENCY_S,
        boot_s=lambda: 2.0,
    )
    world.cloud.on_rented = rented.append
    world.run_s = lambda _piece: 3.0
    # All may run on this type in this zone only; the site has one such machine.
    where = {"builds": ["hooghly-big"], "yard": "salt-lake", "cores": 2.0}
    try:
        await world.start()
        keeper = job(KEEPER, lane="intake-desk", shape="daemon", rank="prod", expect_s=0.0, **where)
        await world.submit(keeper)
        await world.until(lambda: f"{KEEPER}/0" in world.on_machine, 30.0, "the replica runs")
        machine = world.cloud.machines[world.on_machine[f"{KEEPER}/0"]]
        if TROUBLE:
            machine.sick = True
            world.record("test", f"{machine.name} is faulty: it fails every task that it starts")
        await world.submit(job(REF, **where))
        if TROUBLE:
            await world.until(lambda: f"{REF}/0" in world.last_on, 10.0, "the task has failed")
            await asyncio.sleep(SICK_S)
            machine.sick = False
            world.record("test", f"{machine.name} is sound again")
        since = world.record.now()
        while f"{REF}/0" not in world.done and world.record.now() - since <= WAIT_S:
            if machine.name not in world.cloud.machines or machine.free("cores") < 2.0:
                raise CaseError("the machine with room is gone")
            await asyncio.sleep(0.5)
            if int(world.record.now()) % 5 == 0:
                world.record("user", f"poll {REF}: {await world.poll(REF)}")
                await asyncio.sleep(0.6)
        world.record("user", f"poll {REF}: {await world.poll(REF)}")
        starts = [s for s in world.started if s[1] == f"{REF}/0"]
        waiting = f"{REF}/0" not in world.done and not any(s[0] >= since for s in starts)
        if waiting:
            world.record(
                "CHECK",
                f"{REF} was on no machine for {WAIT_S:.0f} s, while {machine.name} has"
                f" {machine.free('cores'):.0f} of {machine.build['cores']:.0f} cores free",
            )
            print(f"{REF} left waiting for {WAIT_S:.0f} s with room on {machine.name}")
        return BROKEN if waiting else HELD
    finally:
        await world.stop()


run_case(case)
