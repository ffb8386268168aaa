"""Scenarios in a simulated region: a workload, faults injected at set times, and final checks."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable, Coroutine, Iterable
from dataclasses import dataclass
from typing import Any

from mosswalk.config.operator import Tuning
from mosswalk.fleet.manager import FleetManager
from mosswalk.jobs.state import Job
from mosswalk.service import Controller
from mosswalk.store.records import Attempt
from tests.fakes import job_spec
from tests.simulated_services import LEASE_S
from tests.simulation import CANCEL_S, DEFAULT_TUNING, Simulation, min_cores_to_start
from tests.virtual_time import run_in_virtual_time

# When the first job is submitted; the others follow at about one every two seconds.
FIRST_SUBMIT_AT_S = 4.0
# Limits once all faults are over: on polls of a job that go unanswered, and on a job's wait.
MAX_UNANSWERED_S = 75.0
MAX_PENDING_S = 90.0


@dataclass(frozen=True)
class Fault:
    """A fault: when it begins, its kind, its duration, and a number that selects its targets."""

    at_s: float
    kind: str
    duration_s: float = 10.0
    selector: int = 0


def _choose_controller(region: Simulation, selector: int) -> str:
    """The leader in two cases out of three, if there is one, or else any controller."""
    return (region.leader() if selector % 3 else None) or region.controller_names[
        selector % len(region.controller_names)
    ]


async def _state_outage(region: Simulation, fault: Fault) -> None:
    region.state.begin_outage()
    await asyncio.sleep(fault.duration_s)
    region.state.end_outage()


async def _state_slow(region: Simulation, fault: Fault) -> None:
    region.network.extra_delay_s["state"] = 0.4
    await asyncio.sleep(fault.duration_s)
    region.network.extra_delay_s.pop("state", None)


async def _state_refusal(region: Simulation, fault: Fault) -> None:
    """The state service refuses one controller alone."""
    name = _choose_controller(region, fault.selector)
    region.state.refused_senders.add(name)
    await asyncio.sleep(fault.duration_s)
    region.state.refused_senders.discard(name)


async def _apart(region: Simulation, fault: Fault) -> None:
    """A controller loses the state service and its peers, but not its workers or users."""
    name = _choose_controller(region, fault.selector)
    pairs = {(name, o) for o in region.controller_names if o != name}
    pairs |= {(o, name) for _, o in pairs}
    region.state.refused_senders.add(name)
    region.network.refused_pairs |= pairs
    await asyncio.sleep(fault.duration_s)
    region.network.refused_pairs -= pairs
    region.state.refused_senders.discard(name)


async def _block_keys(
    table: dict[Any, asyncio.Event], keys: Iterable[Any], duration_s: float
) -> None:
    """Block hosts or pairs in a table of the network, except those that are blocked already."""
    over = asyncio.Event()
    added = [key for key in keys if key not in table]
    table.update(dict.fromkeys(added, over))
    await asyncio.sleep(duration_s)
    for key in added:
        table.pop(key, None)
    over.set()


async def _hold_pairs(region: Simulation, fault: Fault, pairs: set[tuple[str, str]]) -> None:
    await _block_keys(region.network.held_pairs, pairs, fault.duration_s)


async def _zone_cut(region: Simulation, fault: Fault) -> None:
    """Hold all messages between a zone, with its workers and controllers, and the rest."""
    zone = "ab"[fault.selector % 2]
    inside = {n for n in region.controller_names if region.settings(n).zone == zone}
    inside |= {n for n, w in region.workers.items() if w.zone == zone}
    outside = {"state", "cloud", *region.controller_names, *region.workers} - inside
    pairs = {(i, o) for i in inside for o in outside if o != "cloud"}
    await _hold_pairs(region, fault, pairs | {(o, i) for i, o in pairs})


def _directed_links(region: Simulation, name: str, selector: int) -> set[tuple[str, str]]:
    """Links in one direction between a controller and its peers, the state service or workers."""
    others = {
        0: [n for n in region.controller_names if n != name],
        1: ["state"],
        2: list(region.workers),
        3: [n for n in region.controller_names if n != name][:1],
    }[selector // 2 % 4]
    pairs = {(name, other) for other in others}
    return {(b, a) for a, b in pairs} if selector % 2 else pairs


async def _one_way(region: Simulation, fault: Fault) -> None:
    """Messages in one direction are held back, and arrive once the fault is over."""
    name = region.leader() or region.controller_names[0]
    await _hold_pairs(region, fault, _directed_links(region, name, fault.selector))


async def _machines_cut(region: Simulation, fault: Fault) -> None:
    """Hold all messages between half of the machines and the controllers."""
    names = sorted(region.workers)[fault.selector % 2 :: 2]
    pairs = {(n, c) for n in names for c in region.controller_names}
    await _hold_pairs(region, fault, pairs | {(c, n) for n, c in pairs})


async def _leader_without_workers(region: Simulation, fault: Fault) -> None:
    """Connections between a controller, mostly the leader, and all workers are refused."""
    name = _choose_controller(region, fault.selector)
    pairs = {(name, w) for w in region.workers} | {(w, name) for w in region.workers}
    region.network.refused_pairs |= pairs
    await asyncio.sleep(fault.duration_s)
    region.network.refused_pairs -= pairs


async def _crash(region: Simulation, fault: Fault) -> None:
    name = _choose_controller(region, fault.selector)
    if name in region.controllers:
        region.kill_controller(name)
        await asyncio.sleep(0.2 if fault.selector % 2 else min(fault.duration_s, 4.0))
        region.start_controller(name)


async def _crash_all(region: Simulation, fault: Fault) -> None:
    """All controllers end, for at most 8 s longer than a worker's lease."""
    for name in list(region.controllers):
        region.kill_controller(name)
    await asyncio.sleep(min(fault.duration_s, LEASE_S + 8.0))
    for name in region.controller_names:
        if name not in region.controllers:
            region.start_controller(name)
            await asyncio.sleep(0.3 * (fault.selector % 3))


async def _controllers_join(region: Simulation, _fault: Fault) -> None:
    """Controllers that have never been up are started."""
    joining, region.absent = region.absent, set()
    for name in sorted(joining):
        region.start_controller(name)


async def _leaders_change(region: Simulation, fault: Fault) -> None:
    """One leader after another ends, and restarts 0.3 s later."""
    end_at_s = region.now() + fault.duration_s
    while region.now() < end_at_s:
        name = region.leader()
        if name is not None:
            region.kill_controller(name)
            await asyncio.sleep(0.3)
            region.start_controller(name)
        await asyncio.sleep(6.0)


def _choose_machines(region: Simulation, selector: int) -> list[str]:
    busy = sorted({worker.name for worker in region.running_on.values()}) or sorted(region.workers)
    return busy[selector % 2 :: 2][:8]


async def _hang(region: Simulation, fault: Fault) -> None:
    await _block_keys(
        region.network.hung_hosts, _choose_machines(region, fault.selector), fault.duration_s
    )


async def _freeze(region: Simulation, fault: Fault) -> None:
    """A controller's process is suspended, and then resumes where it stopped."""
    await freeze_controller(region, _choose_controller(region, fault.selector), fault.duration_s)


async def freeze_controller(region: Simulation, name: str, duration_s: float) -> None:
    if name in region.network.hung_hosts:
        return
    resumed = asyncio.Event()
    region.network.hung_hosts[name] = resumed
    region.loop.frozen_callbacks.setdefault(name, [])
    await asyncio.sleep(duration_s)
    region.network.hung_hosts.pop(name, None)
    region.loop.thaw(name)
    resumed.set()


async def _stalls(region: Simulation, fault: Fault) -> None:
    """A controller starved of CPU stalls repeatedly, for about as long as its lease."""
    end_at_s = region.now() + fault.duration_s
    stalls = itertools.cycle((1.0, 2.6, 3.4, 0.4, 6.0))
    while region.now() < end_at_s:
        await _freeze(region, Fault(region.now(), "freeze", next(stalls), fault.selector))
        await asyncio.sleep(0.7)


async def _slow_starts(region: Simulation, fault: Fault) -> None:
    """All controllers end at once, and each takes seconds from its start to its first answer."""
    for name in list(region.controllers):
        region.kill_controller(name)
    await asyncio.sleep(1.0)
    freezes = []
    for index, name in enumerate(region.controller_names):
        if name not in region.controllers:
            region.start_controller(name)
            startup_s = min(fault.duration_s, 4.0) + 0.5 * index
            freezes.append(freeze_controller(region, name, startup_s))
    await asyncio.gather(*freezes)


async def _set_worker_flag(
    region: Simulation, fault: Fault, flag: str, names: Iterable[str]
) -> None:
    workers = [region.workers[name] for name in names]
    for worker in workers:
        setattr(worker, flag, True)
    await asyncio.sleep(fault.duration_s)
    for worker in workers:
        setattr(worker, flag, False)


async def _cut_inbound(region: Simulation, fault: Fault) -> None:
    """Machines receive neither commands nor answers, while their reports arrive."""
    await _set_worker_flag(
        region, fault, "receives_nothing", _choose_machines(region, fault.selector)
    )


async def _machines_not_reporting(region: Simulation, fault: Fault) -> None:
    """Machines can't open a connection to any controller, while direct commands reach them."""
    await _set_worker_flag(region, fault, "cannot_report", _choose_machines(region, fault.selector))


async def _all_not_reporting(region: Simulation, fault: Fault) -> None:
    """No worker can open a connection to any controller, while direct commands reach them."""
    await _set_worker_flag(region, fault, "cannot_report", region.workers)


async def _slow_links(region: Simulation, fault: Fault) -> None:
    names = [*region.controller_names, *region.workers]
    region.network.extra_delay_s.update(dict.fromkeys(names, 0.15))
    await asyncio.sleep(fault.duration_s)
    for name in names:
        region.network.extra_delay_s.pop(name, None)


async def _destroy_machines(region: Simulation, fault: Fault) -> None:
    for name in _choose_machines(region, fault.selector)[:3]:
        region.workers.pop(name).destroy()


async def _machines_reclaimed(region: Simulation, fault: Fault) -> None:
    """The cloud reclaims spot machines, after a notice."""
    names = [n for n in _choose_machines(region, fault.selector) if region.workers[n].spot]
    for name in names:
        region.workers[name].spot_notice_s = fault.duration_s
        region.workers[name].notify_changed()
    await asyncio.sleep(fault.duration_s)
    for name in names:
        if name in region.workers:
            region.workers.pop(name).destroy()


async def _late_writes(region: Simulation, fault: Fault) -> None:
    region.state.late_commit_share = 0.3
    await asyncio.sleep(fault.duration_s)
    region.state.late_commit_share = 0.0


async def _late_reports(region: Simulation, fault: Fault) -> None:
    region.late_report_share = 0.3
    await asyncio.sleep(fault.duration_s)
    region.late_report_share = 0.0


def _stop_new_attempts(region: Simulation, manager: FleetManager, end_at_s: float) -> None:
    """Have the leader stop a third of the new attempts before their starts are sent."""

    def stop(_machine: str, job: Job, attempt: Attempt) -> None:
        active = manager._leading and region.now() < end_at_s and not job.is_gang
        if active and region.rng.random() < 0.35:
            region.counts["early_stops"] += 1
            manager._stops.stop(job, attempt, 0.0)

    manager._registry.on_attempt_added.append(stop)


def _delay_outcomes(region: Simulation, name: str, end_at_s: float) -> None:
    """Let two in five messages with outcomes reach a controller 1 to 20 s late."""
    address = f"{name}:8081"
    host, serve = region.network.hosts[address]

    async def serve_late(method: str, path: str, body: bytes, sender: str) -> tuple[int, bytes]:
        if path == "/outcomes" and region.now() < end_at_s and region.rng.random() < 0.4:
            region.counts["late_outcomes"] += 1
            await asyncio.sleep(region.rng.uniform(1.0, 20.0))
        return await serve(method, path, body, sender)

    region.network.hosts[address] = (host, serve_late)


async def _late_outcomes(region: Simulation, fault: Fault) -> None:
    """Attempts are stopped as they are recorded, and outcomes reach their owners late."""
    end_at_s = region.now() + fault.duration_s
    affected: list[Controller] = []
    while region.now() < end_at_s:
        for name, (controller, _) in region.controllers.items():
            if controller not in affected:
                affected.append(controller)
                _stop_new_attempts(region, controller.manager, end_at_s)
                _delay_outcomes(region, name, end_at_s)
        await asyncio.sleep(0.1)


async def _late_copies(region: Simulation, fault: Fault) -> None:
    """Copies of answered commands reach their machines again, some long after the fault ends."""
    region.late_copy_share = 0.6
    await asyncio.sleep(fault.duration_s)
    region.late_copy_share = 0.0


# The paths of the requests to controllers, the cloud and the state service that change something.
_COPIED_PATHS = (
    "/offer", "/outcomes", "/withdrawn", "/api/jobs", "/machines", "/commit", "/holds",
)  # fmt: skip


async def _late_requests(region: Simulation, fault: Fault) -> None:
    """Copies of answered requests reach controllers, the cloud and the state service again.

    The selector chooses one kind of request; there are as many as ``_COPIED_PATHS``.
    """
    path = _COPIED_PATHS[fault.selector % len(_COPIED_PATHS)]
    region.network.copied_shares[path] = 0.4
    await asyncio.sleep(fault.duration_s)
    region.network.copied_shares.pop(path, None)


async def _all_copies(region: Simulation, fault: Fault) -> None:
    """Again and again, copies of all commands ever carried out reach the machines that are up."""
    end_at_s = region.now() + fault.duration_s
    while region.now() < end_at_s:
        await asyncio.sleep(1.0)
        for worker in list(region.workers.values()):
            if worker.name not in region.network.hung_hosts:
                worker.receive_all_copies()


async def _cloud_outage(region: Simulation, fault: Fault) -> None:
    region.cloud_down = True
    await asyncio.sleep(fault.duration_s)
    region.cloud_down = False


async def _cancel(region: Simulation, fault: Fault) -> None:
    """Users withdraw running jobs, through any controller that confirms it."""
    running = sorted(
        {task.partition("/")[0] for task in region.running_on} - region.withdrawal_requested
    )
    for job_id in running[:4]:
        region.network.spawn(region.withdraw(job_id))


async def _cancel_and_hang(region: Simulation, fault: Fault) -> None:
    await _cancel(region, fault)
    await asyncio.sleep(0.1 * (fault.selector % 3))
    await _hang(region, fault)


async def _cancel_at_end(region: Simulation, fault: Fault) -> None:
    """Jobs are withdrawn, polled and submitted again just as their last task ends."""
    end_at_s = region.now() + fault.duration_s
    handled: set[str] = set()
    while region.now() < end_at_s:
        await asyncio.sleep(0.05)
        for job_id in sorted(region.accepted - handled):
            tasks = {f"{job_id}/{i}" for i in range(region.specs[job_id].tasks)}
            if tasks <= region.done_tasks:
                handled.add(job_id)
                if job_id not in region.withdrawal_requested:
                    region.network.spawn(region.withdraw(job_id))
                region.network.spawn(region.poll(job_id))
                region.network.spawn(region.submit(region.specs[job_id], 10.0))


async def _odd_requests(region: Simulation, fault: Fault) -> None:
    """Users submit known jobs again, and send requests that must be refused."""
    end_at_s = region.now() + fault.duration_s
    while region.now() < end_at_s:
        await asyncio.sleep(1.0)
        for job_id in sorted(region.accepted)[-3:]:
            region.network.spawn(region.submit(region.specs[job_id], 10.0))
        for impossible_job in (
            job_spec("j-900001", cpus=64.0),
            job_spec("j-900002", team="red", cpus=30.0),
        ):
            if await region.submit(impossible_job, 1.0):
                region.record_violation("invented", f"{impossible_job.id} accepted")
        status, _ = await region.send_user_request(
            "POST", "/api/jobs", b'{"ref":"j-900003","pieces":1}'
        )
        if status in (200, 201):
            region.record_violation("invented", "j-900003 accepted")
        status, _ = await region.send_user_request("POST", "/api/jobs/j-900004/withdraw")
        if status == 200:
            region.record_violation("invented", "j-900004 withdrawn")


FAULTS: dict[str, Callable[[Simulation, Fault], Coroutine[Any, Any, None]]] = {
    "all_copies": _all_copies,
    "all_not_reporting": _all_not_reporting,
    "apart": _apart,
    "cancel": _cancel,
    "cancel_and_hang": _cancel_and_hang,
    "cancel_at_end": _cancel_at_end,
    "cloud_outage": _cloud_outage,
    "controllers_join": _controllers_join,
    "crash": _crash,
    "crash_all": _crash_all,
    "cut_inbound": _cut_inbound,
    "destroy_machines": _destroy_machines,
    "freeze": _freeze,
    "hang": _hang,
    "late_copies": _late_copies,
    "late_outcomes": _late_outcomes,
    "late_reports": _late_reports,
    "late_requests": _late_requests,
    "late_writes": _late_writes,
    "leader_without_workers": _leader_without_workers,
    "leaders_change": _leaders_change,
    "machines_cut": _machines_cut,
    "machines_not_reporting": _machines_not_reporting,
    "machines_reclaimed": _machines_reclaimed,
    "odd_requests": _odd_requests,
    "one_way": _one_way,
    "state_refusal": _state_refusal,
    "slow_links": _slow_links,
    "slow_starts": _slow_starts,
    "stalls": _stalls,
    "state_outage": _state_outage,
    "state_slow": _state_slow,
    "zone_cut": _zone_cut,
}


JOB_KINDS = ("array", "array", "array", "daemon")
JOB_KINDS_WITH_GANGS = (*JOB_KINDS, "group", "group", "group")


def _draw_jobs(
    region: Simulation, count: int, job_kinds: tuple[str, ...]
) -> list[tuple[Any, float]]:
    rng = region.rng
    jobs = []
    for i in range(count):
        kind = rng.choice(job_kinds)
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


async def _run_scenario(
    seed: int,
    faults: list[Fault],
    job_count: int,
    regions: list[Simulation],
    job_kinds: tuple[str, ...],
    tuning: Tuning,
    absent: Iterable[str],
    old: Iterable[str],
) -> None:
    region = Simulation(seed, tuning=tuning)
    region.absent.update(absent)
    regions.append(region)
    region.start()
    for name in old:
        region.add_old_presence(name)
    await asyncio.sleep(FIRST_SUBMIT_AT_S)

    async def submit_jobs() -> None:
        for job, run_s in _draw_jobs(region, job_count, job_kinds):
            if await region.submit(job, run_s):
                region.network.spawn(region.poll_until_final(job.id))
            await asyncio.sleep(region.rng.uniform(0.5, 4.0))

    async def inject(fault: Fault) -> None:
        await asyncio.sleep(max(0.0, fault.at_s - region.now()))
        await FAULTS[fault.kind](region, fault)

    await asyncio.gather(submit_jobs(), *(inject(fault) for fault in faults))
    faults_over_at_s = region.now()
    # Polls of every accepted job must be answered, and one that nobody withdrew must end or run.
    last_answered_at_s = dict.fromkeys(region.accepted, faults_over_at_s)
    while region.now() < faults_over_at_s + max(MAX_UNANSWERED_S, MAX_PENDING_S, CANCEL_S) + 5.0:
        await asyncio.sleep(5.0)
        for job_id in sorted(region.accepted):
            if await region.poll(job_id) is not None:
                last_answered_at_s[job_id] = region.now()
            elif region.now() - last_answered_at_s[job_id] > MAX_UNANSWERED_S:
                region.record_violation("forgotten", f"{job_id}: no answer")
    for job_id in sorted(region.accepted):
        job = region.specs[job_id]
        phase, since_s = region.reported_phases[job_id]
        since_s = max(since_s, region.last_at_limit_s.get((job.team, min_cores_to_start(job)), 0.0))
        if phase == "pending" and region.now() - since_s > MAX_PENDING_S:
            region.record_violation("waits", f"{job_id} of {job.team}, {job.tasks} tasks")


def run_scenario(
    seed: int,
    faults: list[Fault],
    job_count: int = 14,
    job_kinds: tuple[str, ...] = JOB_KINDS,
    tuning: Tuning = DEFAULT_TUNING,
    absent: Iterable[str] = (),
    old: Iterable[str] = (),
) -> Simulation:
    """Run a scenario; returns the region with its violations and counts.

    The controllers named in ``absent`` are not started before the fault ``controllers_join``. Those
    named in ``old`` are shown as present with the production version.
    """
    regions: list[Simulation] = []
    run_in_virtual_time(
        _run_scenario(seed, faults, job_count, regions, job_kinds, tuning, absent, old)
    )
    return regions[0]
