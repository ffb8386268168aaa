"""Days in the region of ``region.py``: a workload, troubles at their times, and what is checked."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable, Coroutine, Iterable
from dataclasses import dataclass
from typing import Any

from mosswalk.config.operator import Tuning
from tests.fakes import job_spec
from tests.simulated_services import LEASE_S
from tests.simulation import CANCEL_S, DEFAULT_TUNING, Simulation, min_cores_to_start
from tests.virtual_time import run_in_virtual_time

# Jobs are submitted from here on, about one every two seconds.
FIRST_S = 4.0
# What must have happened once all troubles are over.
ANSWER_S = 75.0
WAIT_S = 90.0


@dataclass(frozen=True)
class Fault:
    """One trouble: when, what, for how long, and a number to choose whom it meets."""

    at_s: float
    kind: str
    duration_s: float = 10.0
    selector: int = 0


def _someone(region: Simulation, pick: int) -> str:
    """The leader mostly, else a controller."""
    return (region.leader() if pick % 3 else None) or region.controller_names[
        pick % len(region.controller_names)
    ]


async def _state_outage(region: Simulation, trouble: Fault) -> None:
    region.state.begin_outage()
    await asyncio.sleep(trouble.duration_s)
    region.state.end_outage()


async def _state_slow(region: Simulation, trouble: Fault) -> None:
    region.network.extra_delay_s["state"] = 0.4
    await asyncio.sleep(trouble.duration_s)
    region.network.extra_delay_s.pop("state", None)


async def _refused(region: Simulation, trouble: Fault) -> None:
    """The state service refuses one controller alone."""
    name = _someone(region, trouble.selector)
    region.state.refused_senders.add(name)
    await asyncio.sleep(trouble.duration_s)
    region.state.refused_senders.discard(name)


async def _apart(region: Simulation, trouble: Fault) -> None:
    """A controller loses the state service and the others, not its workers or users."""
    name = _someone(region, trouble.selector)
    pairs = {(name, o) for o in region.controller_names if o != name}
    pairs |= {(o, name) for _, o in pairs}
    region.state.refused_senders.add(name)
    region.network.refused_pairs |= pairs
    await asyncio.sleep(trouble.duration_s)
    region.network.refused_pairs -= pairs
    region.state.refused_senders.discard(name)


async def _block(table: dict[Any, asyncio.Event], keys: Iterable[Any], for_s: float) -> None:
    """Have what the network looks up in a table wait, but for what waits there already."""
    over = asyncio.Event()
    fresh = [key for key in keys if key not in table]
    table.update(dict.fromkeys(fresh, over))
    await asyncio.sleep(for_s)
    for key in fresh:
        table.pop(key, None)
    over.set()


async def _hold(region: Simulation, trouble: Fault, pairs: set[tuple[str, str]]) -> None:
    await _block(region.network.held_pairs, pairs, trouble.duration_s)


async def _zone_cut(region: Simulation, trouble: Fault) -> None:
    """A zone with its workers and its controllers; all between it and the rest is held back."""
    zone = "ab"[trouble.selector % 2]
    inside = {n for n in region.controller_names if region.settings(n).zone == zone}
    inside |= {n for n, w in region.workers.items() if w.zone == zone}
    outside = {"state", "cloud", *region.controller_names, *region.workers} - inside
    pairs = {(i, o) for i in inside for o in outside if o != "cloud"}
    await _hold(region, trouble, pairs | {(o, i) for i, o in pairs})


def _ways(region: Simulation, name: str, pick: int) -> set[tuple[str, str]]:
    """What a controller sends, or what is sent to it, by other controllers, state or workers."""
    others = {
        0: [n for n in region.controller_names if n != name],
        1: ["state"],
        2: list(region.workers),
        3: [n for n in region.controller_names if n != name][:1],
    }[pick // 2 % 4]
    pairs = {(name, other) for other in others}
    return {(b, a) for a, b in pairs} if pick % 2 else pairs


async def _one_way(region: Simulation, trouble: Fault) -> None:
    """What goes in one direction is held back, and arrives once the trouble is over."""
    name = region.leader() or region.controller_names[0]
    await _hold(region, trouble, _ways(region, name, trouble.selector))


async def _machines_cut(region: Simulation, trouble: Fault) -> None:
    names = sorted(region.workers)[trouble.selector % 2 :: 2]
    pairs = {(n, c) for n in names for c in region.controller_names}
    await _hold(region, trouble, pairs | {(c, n) for n, c in pairs})


async def _leader_without_workers(region: Simulation, trouble: Fault) -> None:
    name = _someone(region, trouble.selector)
    pairs = {(name, w) for w in region.workers} | {(w, name) for w in region.workers}
    region.network.refused_pairs |= pairs
    await asyncio.sleep(trouble.duration_s)
    region.network.refused_pairs -= pairs


async def _crash(region: Simulation, trouble: Fault) -> None:
    name = _someone(region, trouble.selector)
    if name in region.controllers:
        region.kill_controller(name)
        await asyncio.sleep(0.2 if trouble.selector % 2 else min(trouble.duration_s, 4.0))
        region.start_controller(name)


async def _crash_all(region: Simulation, trouble: Fault) -> None:
    """All controllers end; they are away for longer than a lease at most."""
    for name in list(region.controllers):
        region.kill_controller(name)
    await asyncio.sleep(min(trouble.duration_s, LEASE_S + 8.0))
    for name in region.controller_names:
        if name not in region.controllers:
            region.start_controller(name)
            await asyncio.sleep(0.3 * (trouble.selector % 3))


async def _leaders_change(region: Simulation, trouble: Fault) -> None:
    """Leader after leader ends and is back within a fraction of a second."""
    until = region.now() + trouble.duration_s
    while region.now() < until:
        name = region.leader()
        if name is not None:
            region.kill_controller(name)
            await asyncio.sleep(0.3)
            region.start_controller(name)
        await asyncio.sleep(6.0)


def _few(region: Simulation, pick: int) -> list[str]:
    busy = sorted({worker.name for worker in region.running_on.values()}) or sorted(region.workers)
    return busy[pick % 2 :: 2][:8]


async def _hang(region: Simulation, trouble: Fault) -> None:
    await _block(region.network.hung_hosts, _few(region, trouble.selector), trouble.duration_s)


async def _freeze(region: Simulation, trouble: Fault) -> None:
    """A controller stands still, and then goes on with what it had begun."""
    await freeze_controller(region, _someone(region, trouble.selector), trouble.duration_s)


async def freeze_controller(region: Simulation, name: str, for_s: float) -> None:
    if name in region.network.hung_hosts:
        return
    awake = asyncio.Event()
    region.network.hung_hosts[name] = awake
    region.loop.frozen_callbacks.setdefault(name, [])
    await asyncio.sleep(for_s)
    region.network.hung_hosts.pop(name, None)
    region.loop.thaw(name)
    awake.set()


async def _stalls(region: Simulation, trouble: Fault) -> None:
    """A controller short of processor stands still again and again, about as long as its lease."""
    until = region.now() + trouble.duration_s
    stalls = itertools.cycle((1.0, 2.6, 3.4, 0.4, 6.0))
    while region.now() < until:
        await _freeze(region, Fault(region.now(), "freeze", next(stalls), trouble.selector))
        await asyncio.sleep(0.7)


async def _slow_starts(region: Simulation, trouble: Fault) -> None:
    """All controllers end at once, and each takes seconds from its start to its first answer."""
    for name in list(region.controllers):
        region.kill_controller(name)
    await asyncio.sleep(1.0)
    starting = []
    for index, name in enumerate(region.controller_names):
        if name not in region.controllers:
            region.start_controller(name)
            late_s = min(trouble.duration_s, 4.0) + 0.5 * index
            starting.append(freeze_controller(region, name, late_s))
    await asyncio.gather(*starting)


async def _flag(region: Simulation, trouble: Fault, flag: str, names: Iterable[str]) -> None:
    workers = [region.workers[name] for name in names]
    for worker in workers:
        setattr(worker, flag, True)
    await asyncio.sleep(trouble.duration_s)
    for worker in workers:
        setattr(worker, flag, False)


async def _deaf(region: Simulation, trouble: Fault) -> None:
    await _flag(region, trouble, "deaf", _few(region, trouble.selector))


async def _mute(region: Simulation, trouble: Fault) -> None:
    await _flag(region, trouble, "mute", _few(region, trouble.selector))


async def _all_mute(region: Simulation, trouble: Fault) -> None:
    """No worker can open a connection to any controller, while direct commands reach them."""
    await _flag(region, trouble, "mute", region.workers)


async def _slow_links(region: Simulation, trouble: Fault) -> None:
    names = [*region.controller_names, *region.workers]
    region.network.extra_delay_s.update(dict.fromkeys(names, 0.15))
    await asyncio.sleep(trouble.duration_s)
    for name in names:
        region.network.extra_delay_s.pop(name, None)


async def _die(region: Simulation, trouble: Fault) -> None:
    for name in _few(region, trouble.selector)[:3]:
        region.workers.pop(name).destroy()


async def _notices(region: Simulation, trouble: Fault) -> None:
    """Spot machines are taken back, with notice."""
    names = [n for n in _few(region, trouble.selector) if region.workers[n].spot]
    for name in names:
        region.workers[name].spot_notice_s = trouble.duration_s
        region.workers[name].notify_changed()
    await asyncio.sleep(trouble.duration_s)
    for name in names:
        if name in region.workers:
            region.workers.pop(name).destroy()


async def _late_writes(region: Simulation, trouble: Fault) -> None:
    region.state.late_commit_share = 0.3
    await asyncio.sleep(trouble.duration_s)
    region.state.late_commit_share = 0.0


async def _late_reports(region: Simulation, trouble: Fault) -> None:
    region.late_report_share = 0.3
    await asyncio.sleep(trouble.duration_s)
    region.late_report_share = 0.0


async def _cloud_outage(region: Simulation, trouble: Fault) -> None:
    region.cloud_down = True
    await asyncio.sleep(trouble.duration_s)
    region.cloud_down = False


async def _cancel(region: Simulation, trouble: Fault) -> None:
    """Users call off jobs that run, through any controller that confirms it."""
    running = sorted(
        {task.partition("/")[0] for task in region.running_on} - region.withdrawal_requested
    )
    for job_id in running[:4]:
        region.network.spawn(region.withdraw(job_id))


async def _cancel_and_hang(region: Simulation, trouble: Fault) -> None:
    await _cancel(region, trouble)
    await asyncio.sleep(0.1 * (trouble.selector % 3))
    await _hang(region, trouble)


async def _cancel_at_end(region: Simulation, trouble: Fault) -> None:
    """Jobs are called off, asked after and sent again just as their last task ends."""
    until = region.now() + trouble.duration_s
    met: set[str] = set()
    while region.now() < until:
        await asyncio.sleep(0.05)
        for job_id in sorted(region.accepted - met):
            tasks = {f"{job_id}/{i}" for i in range(region.specs[job_id].tasks)}
            if tasks <= region.done_tasks:
                met.add(job_id)
                if job_id not in region.withdrawal_requested:
                    region.network.spawn(region.withdraw(job_id))
                region.network.spawn(region.poll(job_id))
                region.network.spawn(region.submit(region.specs[job_id], 10.0))


async def _odd_requests(region: Simulation, trouble: Fault) -> None:
    until = region.now() + trouble.duration_s
    while region.now() < until:
        await asyncio.sleep(1.0)
        for job_id in sorted(region.accepted)[-3:]:
            region.network.spawn(region.submit(region.specs[job_id], 10.0))
        for odd in (job_spec("j-900001", cpus=64.0), job_spec("j-900002", team="red", cpus=30.0)):
            if await region.submit(odd, 1.0):
                region.record_violation("invented", f"{odd.id} accepted")
        status, _ = await region.send_user_request(
            "POST", "/api/jobs", b'{"ref":"j-900003","pieces":1}'
        )
        if status in (200, 201):
            region.record_violation("invented", "j-900003 accepted")
        status, _ = await region.send_user_request("POST", "/api/jobs/j-900004/withdraw")
        if status == 200:
            region.record_violation("invented", "j-900004 withdrawn")


FAULTS: dict[str, Callable[[Simulation, Fault], Coroutine[Any, Any, None]]] = {
    "all_mute": _all_mute,
    "apart": _apart,
    "cancel": _cancel,
    "cancel_and_hang": _cancel_and_hang,
    "cancel_at_end": _cancel_at_end,
    "cloud_outage": _cloud_outage,
    "crash": _crash,
    "crash_all": _crash_all,
    "deaf": _deaf,
    "die": _die,
    "freeze": _freeze,
    "hang": _hang,
    "late_reports": _late_reports,
    "late_writes": _late_writes,
    "leader_without_workers": _leader_without_workers,
    "leaders_change": _leaders_change,
    "machines_cut": _machines_cut,
    "mute": _mute,
    "notices": _notices,
    "odd_requests": _odd_requests,
    "one_way": _one_way,
    "refused": _refused,
    "slow_links": _slow_links,
    "slow_starts": _slow_starts,
    "stalls": _stalls,
    "state_outage": _state_outage,
    "state_slow": _state_slow,
    "zone_cut": _zone_cut,
}


KINDS = ("array", "array", "array", "daemon")
JOB_KINDS_WITH_GANGS = (*KINDS, "group", "group", "group")


def _jobs(region: Simulation, count: int, kinds: tuple[str, ...]) -> list[tuple[Any, float]]:
    rng = region.rng
    jobs = []
    for i in range(count):
        kind = rng.choice(kinds)
        changes = {
            "team": rng.choice(["red", "blue"]),
            "tasks": rng.choice([1, 2, 3, 6, 12]) if kind == "array" else rng.randint(1, 4),
            "cpus": rng.choice([1.0, 2.0]),
            "spot": rng.random() < 0.6,
            "kind": kind,
            "one_zone": rng.random() < 0.35,
            "image": rng.choice(["img", "img2"]),
            "checkpoint_interval_s": 0.0 if kind == "daemon" else rng.choice([0.0, 15.0]),
            "checkpoint_duration_s": 6.0,
            "priority": "prod" if kind == "daemon" else rng.choice(["standard", "idle"]),
        }
        if kind == "daemon" and not changes["one_zone"]:
            changes["spread"] = True
        run_s = 1e9 if kind == "daemon" else rng.choice([5.0, 20.0, 60.0, 90.0])
        jobs.append((job_spec(f"j-{i:06d}", **changes), run_s))
    return jobs


async def _day(
    seed: int,
    troubles: list[Fault],
    jobs: int,
    out: list[Simulation],
    kinds: tuple[str, ...],
    tuning: Tuning,
) -> None:
    region = Simulation(seed, tuning=tuning)
    out.append(region)
    region.start()
    await asyncio.sleep(FIRST_S)

    async def work() -> None:
        for job, run_s in _jobs(region, jobs, kinds):
            if await region.submit(job, run_s):
                region.network.spawn(region.poll_until_final(job.id))
            await asyncio.sleep(region.rng.uniform(0.5, 4.0))

    async def trouble(one: Fault) -> None:
        await asyncio.sleep(max(0.0, one.at_s - region.now()))
        await FAULTS[one.kind](region, one)

    await asyncio.gather(work(), *(trouble(one) for one in troubles))
    over = region.now()
    # Every job that nobody has called off is answered for, and ends or runs.
    unheard = dict.fromkeys(region.accepted, over)
    while region.now() < over + max(ANSWER_S, WAIT_S, CANCEL_S) + 5.0:
        await asyncio.sleep(5.0)
        for job_id in sorted(region.accepted):
            if await region.poll(job_id) is not None:
                unheard[job_id] = region.now()
            elif region.now() - unheard[job_id] > ANSWER_S:
                region.record_violation("forgotten", f"{job_id}: no answer")
    for job_id in sorted(region.accepted):
        job = region.specs[job_id]
        phase, since = region.reported_phases[job_id]
        since = max(since, region.last_at_limit_s.get((job.team, min_cores_to_start(job)), 0.0))
        if phase == "pending" and region.now() - since > WAIT_S:
            region.record_violation("waits", f"{job_id} of {job.team}, {job.tasks} tasks")


def run_scenario(
    seed: int,
    faults: list[Fault],
    job_count: int = 14,
    job_kinds: tuple[str, ...] = KINDS,
    tuning: Tuning = DEFAULT_TUNING,
) -> Simulation:
    """Play a day; the region with what was broken and counted."""
    out: list[Simulation] = []
    run_in_virtual_time(_day(seed, faults, job_count, out, job_kinds, tuning))
    return out[0]
