"""A message of an ended leader arrives late: the attempt that it calls lost runs by then."""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Callable
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "kit2"))

from world import Answer, Worker, World, job, machine_type, run

ZONE = "kakkanad-hall"
# The site file of malabar-enrol. Machines of the second type are cheaper, so that a task that is
# placed again goes there.
SITE = {
    "zones": [ZONE],
    "node_zones": [ZONE, ZONE, ZONE],
    "report_s": 1.5,
    "lease_s": 12.0,
    "cancel_s": 42.0,
    "write_rps": 40.0,
    "value_kb": 32.0,
    "state_ms": 6.0,
    "cloud_rps": 3.0,
    "cloud_ms": 120.0,
    "list_lag_s": 10.0,
    "types": [
        machine_type("kayal-small", 8.0, 32.0, ready_s=1.0, yards=[ZONE], price=1.2),
        machine_type("vembanad-mid", 16.0, 64.0, ready_s=1.0, yards=[ZONE], price=0.59),
    ],
    "capacity": {("kayal-small", ZONE, False): 1, ("vembanad-mid", ZONE, False): 9},
    "teams": [{"name": f"seat-office-{i}", "cpus": 24.0, "cpus_max": 40.0} for i in range(10)],
}
# The brief: "back about 4 s after an end".
BACK_S = 4.0
TASK = "j-000003/0"


def small_job(ref: str, team: str, cores: float, **changes: object) -> dict:
    """A job of one task without an image to wait for."""
    return job(ref, owner=team, cores=cores, image_gb=0.0, **changes)


async def choose_teams(world: World) -> tuple[str, str, str, str] | None:
    """The leader, another controller, its first team, and a team of the third one or the leader.

    The first team of a controller that doesn't lead keeps its owner when the leader ends.
    """
    teams = [team["name"] for team in SITE["teams"]]
    await world.until(lambda: all(node.healthy for node in world.nodes.values()), 20.0)
    await asyncio.sleep(4.0)
    leader = world.leader()
    team = next((t for t in teams if world.owner(t) not in (None, leader)), None)
    if leader is None or team is None:
        return None
    owner = world.owner(team)
    other = next((t for t in teams if world.owner(t) not in (None, owner)), None)
    if owner is None or other is None:
        return None
    world.note("case", f"{leader} leads, {owner} owns {team}")
    return leader, owner, team, other


async def bring_up_machines(world: World, other: str) -> Worker | None:
    """A replica keeps a machine of the dear type; one of the cheap type comes up and stays idle."""
    stays = small_job(
        "j-000001", other, 1.0, shape="daemon", rank="prod", builds=["kayal-small"], run_s=1e9
    )
    warms = small_job("j-000002", other, 2.0, builds=["vembanad-mid"], run_s=0.5)
    await asyncio.gather(world.submit(stays), world.submit(warms))
    if not await world.until(
        lambda: world.on_machine.get("j-000001/0") and world.starts.get("j-000002/0"), 30.0
    ):
        return None
    await asyncio.sleep(3.0)
    return next(iter(world.on_machine["j-000001/0"].values()))


def hang_with_next_command(world: World, machine: Worker) -> asyncio.Event:
    """Let the machine hang as a command reaches it; it is carried out when the machine goes on."""
    hung = asyncio.Event()

    async def serve(_body: dict, carry_out: Callable[[], Answer]) -> Answer:
        if not hung.is_set():
            machine.running.clear()
            world.note("TROUBLE", f"{machine.name} hangs")
            hung.set()
            await machine.running.wait()
        return carry_out()

    machine.on_orders = serve
    return hung


async def end_leader(world: World, leader: str) -> None:
    """End the leader, and start it again after the time that the brief names."""
    await world.nodes[leader].kill()
    await asyncio.sleep(BACK_S)
    await world.nodes[leader].start()


async def scenario(world: World, trouble: bool) -> str | None:
    """See claim.txt."""
    chosen = await choose_teams(world)
    if chosen is None:
        return "no leader, or one controller owns every team"
    leader, owner, team, other = chosen
    machine = await bring_up_machines(world, other)
    if machine is None:
        return "the machines did not come up"
    # The first start is on its way as the machine hangs: the next ones wait for its answer.
    hung = hang_with_next_command(world, machine) if trouble else None
    await world.submit(small_job("j-000004", other, 0.5, builds=["kayal-small"], run_s=1.0))
    if hung is not None:
        await asyncio.wait_for(hung.wait(), 10.0)
    hung_s = world.now()
    # The task is placed on the machine, and prod work that comes next has it stopped again.
    await world.submit(small_job("j-000003", team, 4.0, rank="idle", run_s=30.0))
    await world.until(lambda: world.live("j-000003"), 2.0)
    world.note("case", f"attempts of the task: {world.live('j-000003')}")
    urgent = small_job(
        "j-000005", other, 6.0, shape="daemon", rank="prod", builds=["kayal-small"], run_s=1e9
    )
    await world.submit(urgent)
    if not trouble:
        await asyncio.sleep(45.0)
        return None if await world.poll("j-000003") == "done" else "the task was not run"
    log = world.nodes[leader].log
    if not await world.until(
        lambda: "preempting j-000003/0" in log.read_text(), hung_s + 2.6 - world.now()
    ):
        return "the task was not stopped in time"
    link = world.links[(leader, owner)]
    link.open.clear()
    world.note("TROUBLE", f"what {leader} sends to {owner} is held")
    machine.running.set()
    world.note("TROUBLE", f"{machine.name} goes on after {world.now() - hung_s:.2f} s")
    # The user of the urgent job cancels it: nothing has the task stopped any more.
    cancelling = world.spawn(world.withdraw("j-000005"))
    # Until the leader has answered two reports made after the hang.
    answered_s = [machine.answered_s]
    for _ in range(2):
        await world.until(lambda: machine.answered_s > answered_s[-1], 2.0)
        answered_s.append(machine.answered_s)
    await cancelling
    ending = world.spawn(end_leader(world, leader))
    if not await world.until(lambda: world.on_machine.get(TASK), 20.0):
        return "the next leader did not start the task"
    where = next(iter(world.on_machine[TASK].values()))
    world.note("case", f"{world.leader()} leads, {world.owner(team)} owns {team}; on {where.name}")
    # The other machine reports to the next leader too, and this one has just reported.
    await world.until(
        lambda: all(w.epoch >= where.epoch >> 24 << 24 for w in world.cloud.machines.values()), 8.0
    )
    await ending
    await asyncio.sleep(3.0)
    answered = where.answered_s
    await world.until(lambda: where.answered_s > answered, 4.0)
    world.note("TROUBLE", f"what was held reaches {owner} after {world.now() - hung_s:.1f} s")
    link.open.set()
    await asyncio.sleep(8.0)
    return None


run(scenario, SITE)
