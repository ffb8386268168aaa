"""Jobs whose placement is written after their faulty machine was released are never run."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from common import sundarban
from common.world import BROKEN, HELD, TROUBLE, CaseError, Worker, World, job, run_case

# Jobs that wait when the first machine comes up.
JOBS = 60
# The bound of the rule.
WAIT_S = 90.0


async def case() -> int:
    """Run the case and return its verdict."""
    rented: list[Worker] = []
    world = World(
        Path(__file__).parent,
        nodes=sundarban.NODES,
        params=sundarban.params(),
        builds=sundarban.builds("hooghly-big"),
        capacity={
            ("hooghly-big", "salt-lake", False): 1,
            ("hooghly-big", "howrah-floor", False): 1,
        },
        state_latency_s=sundarban.STATE_LATENCY_S,
        cloud_latency_s=sundarban.CLOUD_LATENCY_S,
        boot_s=lambda: 2.0,
    )

    def on_rented(worker: Worker) -> None:
        rented.append(worker)
        if TROUBLE and len(rented) == 1:
            worker.sick = True
            world.record("test", f"{worker.name} is faulty: it fails every task that it starts")

    world.cloud.on_rented = on_rented
    world.run_s = lambda _piece: 2.0
    try:
        await world.start()
        refs = [f"j-{n:06d}" for n in range(1, JOBS + 1)]
        await asyncio.gather(*(world.submit(job(ref)) for ref in refs))
        if TROUBLE:
            await world.until(lambda: rented[0].name in world.cloud.gone, 40.0, "faulty one gone")
        # A machine that fits, with room, from here on: this replica keeps it.
        keeper = job("j-900000", lane="intake-desk", shape="daemon", rank="prod", expect_s=0.0)
        await world.submit(keeper)
        await world.until(lambda: "j-900000/0" in world.on_machine, 40.0, "a good machine is up")
        since = world.record.now()
        world.record("test", "the trouble is over, and a machine with room is up")
        while True:
            left = [f"{ref}/0" for ref in refs if f"{ref}/0" not in world.done]
            home = world.cloud.machines.get(world.on_machine.get("j-900000/0", ""))
            if not left:
                break
            if home is None or home.free("cores") < 1.0:
                raise CaseError("the machine with room is gone")
            if world.record.now() - since > WAIT_S:
                break
            await asyncio.sleep(0.5)
        for ref in refs:
            world.record("user", f"{ref}: {await world.poll(ref)}")
        waiting = [
            piece
            for piece in left
            if piece not in world.on_machine and world.last_on.get(piece, 0.0) <= since
        ]
        for piece in waiting:
            world.record("CHECK", f"{piece} was on no machine for {WAIT_S:.0f} s, and is not done")
        print(f"{len(waiting)} of {JOBS} accepted jobs left waiting for {WAIT_S:.0f} s")
        return BROKEN if waiting else HELD
    finally:
        await world.stop()


run_case(case)
