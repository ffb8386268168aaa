"""A copy of an answered start arrives again while a new deployment has one token a term."""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Callable
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "kit2"))

from world import Answer, Worker, World, job, machine_type, run

SITE = {
    "types": [machine_type("dak-small", 4.0, 16.0, ready_s=1.0)],
    "capacity": {("dak-small", "salt-lake", False): 9, ("dak-small", "howrah-floor", False): 10},
    "started_by_case": ("moss-2",),
}
# The brief: "back about 6 s after an end".
BACK_S = 6.0
# Controllers of a new deployment are started one after the other: the last one this much later.
STAGGER_S = 3.0
TASK = "j-000001/0"


async def start_last(world: World, trouble: bool) -> float:
    """Start the last controller; with trouble, its process ends at once. Returns when."""
    await asyncio.sleep(STAGGER_S)
    await world.nodes["moss-2"].start()
    if trouble:
        await asyncio.sleep(0.05)
        await world.nodes["moss-2"].kill()
    return world.now()


async def scenario(world: World, trouble: bool) -> str | None:
    """One controller ends at its start; a start that was answered is delivered once more."""
    node = world.nodes["moss-2"]
    if not await world.until(world.leader, 20.0):
        return "no leader"
    starting = world.spawn(start_last(world, trouble))
    # The messages with a start of the task, and the workers that carried them out.
    sent: list[tuple[Worker, dict]] = []

    def watch_messages(worker: Worker) -> None:
        async def serve(body: dict, carry_out: Callable[[], Answer]) -> Answer:
            if any(o["verb"] == "run" and o["piece"] == TASK for o in body["orders"]):
                sent.append((worker, body))
                # The first machine fails what it starts now.
                worker.sick = trouble and len(sent) == 1
            return carry_out()

        worker.on_orders = serve

    world.on_new_worker = watch_messages
    # Two tasks that need a machine each. The second ends soon and leaves its machine to the next
    # attempt of the first.
    first = job("j-000001", cores=3.0, image_gb=0.04, run_s=30.0)
    second = job("j-000002", cores=3.0, image_gb=0.04, run_s=0.3)
    submissions = [world.spawn(world.submit(spec)) for spec in (first, second)]
    if not all(await asyncio.gather(*submissions)):
        return "the jobs were not accepted"
    if not trouble:
        await asyncio.sleep(50.0)
        return None if await world.poll("j-000001") == "done" else "the job was not run"

    def reaped() -> bool:
        """Whether the first attempt is forgotten and the second one runs."""
        return len(sent) > 1 and not sent[0][0].pieces and bool(world.on_machine.get(TASK))

    if not await world.until(lambda: sent and sent[0][0].pieces, 20.0):
        return "the first attempt was not started"
    worker, body = sent[0]
    await world.until(lambda: worker.pieces[(TASK, 1)]["phase"] == "exited", 5.0)
    worker.sick = False
    ended_s = await starting
    if not await world.until(reaped, ended_s + BACK_S - world.now()):
        return "the first attempt was not reaped before the controller is back"
    await asyncio.sleep(max(0.0, ended_s + BACK_S - world.now()))
    world.note("TROUBLE", f"moss-2 is started again after {world.now() - ended_s:.2f} s")
    await node.start()
    world.note("TROUBLE", f"a copy of a request that was carried out reaches {worker.name}: {body}")
    if body["epoch"] >= worker.epoch and body["tenure"] == worker.tenure:
        worker.execute(body["orders"], f"copy of /orders, token {body['epoch']}")
    else:
        world.note("worker", f"{worker.name} refuses it: token {worker.epoch}")
    await asyncio.sleep(6.0)
    return None


run(scenario, SITE)
