"""The VM factory: one loop per machine shape (paper, Algorithms 1 and 2).

A state machine without I/O: the leader shows it the cloud's machines and the tasks, and carries
out what it decides. What differs from the paper is told in docs/design.md.
"""

from __future__ import annotations

import logging
import math
from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from statistics import median

from msgspec import Struct, field

from mosswalk.actors import to_us
from mosswalk.config.operator import FactoryTuning
from mosswalk.factory.load import Dwell, fits, load_ratio, weight
from mosswalk.factory.pareto import PoolFigures, affordable, optimize, pareto_front
from mosswalk.jobs.state import Job, milli_room
from mosswalk.placement.capacity import Room, ZoneRule
from mosswalk.wire.cloud import MAX_RENT, MachineType

log = logging.getLogger(__name__)

Pool = tuple[str, str, bool]

# The cloud charges a machine for at least this long, so giving it back earlier saves nothing.
LEAST_CHARGED_US = 60_000_000
_REFUSED_US = 8_000_000
_MOST_REFUSED_US = 30_000_000


class MachineView(Struct, gc=False):
    """A machine as the factory sees it."""

    name: str
    pool: Pool
    phase: str  # requested, booting, up
    since_us: int
    rented_us: int
    usable: bool
    idle_since_us: int | None
    load: float
    # Chosen to be emptied: an idle machine that is not stays, or cheap ones would be given
    # back while dear ones are still at work.
    cordoned: bool = True


class WaitingTasks(Struct):
    """Tasks of one job that found no room on booted machines."""

    job: Job
    count: int
    rule: ZoneRule
    # May wait a while for spot machines rather than have steady ones rented.
    patient: bool = False
    # Prod, or within a guarantee: not to wait for others to fill a machine with it.
    urgent: bool = False


class View(Struct):
    """All the factory decides on."""

    now_us: int
    types: Mapping[str, MachineType]
    machines: list[MachineView]
    waiting: list[WaitingTasks]
    calls: int


class Rent(Struct, frozen=True):
    """Rent one machine in each of these pools, the copies of one another."""

    group: int
    pools: tuple[Pool, ...]


class GiveBack(Struct, frozen=True):
    """Return a machine."""

    machine: str
    why: str


class _PoolState(Struct):
    queue_us: float | None = None
    boot_us: float | None = None
    refused_until_us: int = 0
    refusals: int = 0
    wanted_since_us: int | None = None


class _Shape(Struct):
    high: Dwell = field(default_factory=Dwell)
    low: Dwell = field(default_factory=Dwell)


def removal_order(machine: MachineView) -> tuple[int, int]:
    """Newest requested, then newest booting, then longest idle."""
    if machine.phase == "requested":
        return (0, -machine.since_us)
    if machine.phase == "booting":
        return (1, -machine.since_us)
    return (2, machine.idle_since_us if machine.idle_since_us is not None else 1 << 62)


class Factory:
    """Decides what to rent and what to give back."""

    def __init__(self, tuning: FactoryTuning) -> None:
        self._tuning = tuning
        self._pools: dict[Pool, _PoolState] = {}
        self._shapes: dict[str, _Shape] = {}
        # Rents whose first copy has not booted: group -> pools still to be released.
        self._groups: dict[int, tuple[Pool, ...]] = {}
        self._next_group = 1

    # What happened to earlier decisions.

    def pool(self, pool: Pool) -> _PoolState:
        """What is known of a pool."""
        return self._pools.setdefault(pool, _PoolState())

    def granted(self, pool: Pool, now_us: int) -> None:
        """A rental was filled: q is the time since it was first wanted."""
        state = self.pool(pool)
        if state.wanted_since_us is not None:
            state.queue_us = float(now_us - state.wanted_since_us)
        state.wanted_since_us = None
        state.refusals = 0

    def refused(self, pool: Pool, now_us: int) -> None:
        """The cloud has none there: leave the pool alone for a while."""
        state = self.pool(pool)
        state.refusals += 1
        wait_us = min(_MOST_REFUSED_US, _REFUSED_US << min(4, state.refusals - 1))
        state.refused_until_us = now_us + wait_us

    def booted(self, pool: Pool, took_us: int) -> None:
        """A machine has come up."""
        self.pool(pool).boot_us = float(took_us)

    def group_booted(self, group: int, pool: Pool, view_now: Callable[[], View]) -> list[GiveBack]:
        """Procedure HandleReplicas: each other copy's pool gives back one machine.

        Exception: a pool whose machine waiting tasks would take keeps it. Giving it back would
        only be followed by renting the same again, with another boot to wait for and to pay.
        """
        rest = list(self._groups.pop(group, ()))
        if pool in rest:
            rest.remove(pool)
        if not rest:
            return []
        view = view_now()
        rest = [p for p in rest if not any(self._wanted(t, p, view) for t in view.waiting)]
        gone: list[GiveBack] = []
        for other in rest:
            names = {g.machine for g in gone}
            candidates = [
                m
                for m in view.machines
                if m.pool == other
                and m.name not in names
                and (m.phase != "up" or m.idle_since_us is not None)
            ]
            if candidates:
                gone.append(GiveBack(min(candidates, key=removal_order).name, "replica lost"))
        return gone

    @staticmethod
    def _wanted(tasks: WaitingTasks, pool: Pool, view: View) -> bool:
        shape = view.types.get(pool[0])
        return shape is not None and fits(tasks.job, shape) and bool(_usable(tasks, [pool]))

    def group_short(self, group: int, pool: Pool) -> None:
        """A copy was not to be had."""
        left = list(self._groups.get(group, ()))
        if pool in left:
            left.remove(pool)
            self._groups[group] = tuple(left)

    # Decisions.

    def _figures(self, shape: MachineType, pools: Iterable[Pool]) -> list[PoolFigures]:
        boots = [s.boot_us for s in self._pools.values() if s.boot_us is not None]
        queues = [s.queue_us for s in self._pools.values() if s.queue_us is not None]
        boot_us = median(boots) if boots else float(to_us(shape.boot_s))
        queue_us = median(queues) if queues else 0.0
        figures = []
        for pool in pools:
            state = self.pool(pool)
            figures.append(
                PoolFigures(
                    pool,
                    shape.spot_price if pool[2] else shape.price,
                    queue_us if state.queue_us is None else state.queue_us,
                    boot_us if state.boot_us is None else state.boot_us,
                )
            )
        return figures

    def _open_pools(self, shape: MachineType, view: View, counts: Mapping[Pool, int]) -> list[Pool]:
        return [
            (shape.name, zone, spot)
            for zone in shape.zones
            for spot in (False, True)
            if counts.get((shape.name, zone, spot), 0) < self._tuning.pool_cap
            and self.pool((shape.name, zone, spot)).refused_until_us <= view.now_us
        ]

    def decide(self, view: View) -> list[Rent | GiveBack]:
        """One turn of every shape's loop."""
        unplaced = self._after_booting(view)
        demand: dict[str, float] = dict.fromkeys(view.types, 0.0)
        for machine in view.machines:
            if machine.pool[0] in demand:
                demand[machine.pool[0]] += machine.load
        shares = self._attribute(unplaced, view)
        for name, groups in shares.items():
            demand[name] += sum(g.weight for g in groups)
        decisions: list[Rent | GiveBack] = []
        calls = view.calls
        for name, shape in sorted(view.types.items()):
            slots = sum(1 for m in view.machines if m.pool[0] == name)
            ratio = load_ratio(demand[name], slots)
            state = self._shapes.setdefault(name, _Shape())
            tuning = self._tuning
            groups = shares.get(name, [])
            # Exception to the load ratio: tasks that fit no room there is, booting machines
            # included, count as high load however low scattered room holds the ratio.
            high = state.high.holds(
                ratio > tuning.load_high or bool(groups), view.now_us, to_us(tuning.high_dwell_s)
            )
            low = state.low.holds(
                ratio < tuning.load_low and not groups, view.now_us, to_us(tuning.low_dwell_s)
            )
            if high and groups:
                rents, calls = self._rent(shape, groups, view, calls)
                decisions += rents
            elif low:
                decisions += self._give_back(name, ratio, view)
        return decisions

    def _after_booting(self, view: View) -> list[WaitingTasks]:
        """Waiting tasks less those that requested and booting machines will take."""
        rooms = []
        for m in view.machines:
            shape = view.types.get(m.pool[0])
            if m.phase != "up" and shape is not None:
                rooms.append(
                    Room(
                        m.name,
                        m.pool[0],
                        m.pool[1],
                        m.pool[2],
                        0,
                        milli_room(shape.cpus),
                        milli_room(shape.gpus),
                        milli_room(shape.memory_gb),
                    )
                )
        booting = {room.machine: room for room in rooms}
        least_cpus = min((tasks.job.cpus for tasks in view.waiting), default=0)
        left: list[WaitingTasks] = []
        for tasks in view.waiting:
            rule = ZoneRule(tasks.rule.one_zone, tasks.rule.most_in_zone, dict(tasks.rule.counts))
            count = tasks.count
            # Most rooms are full soon: each job would ask them all again.
            rooms = [room for room in rooms if room.cpus >= least_cpus]
            for room in rooms:
                if not count:
                    break
                if not room.holds(tasks.job) or not room.allows(tasks.job):
                    continue
                taken = min(count, room.most(tasks.job), rule.most_more(room.zone))
                if taken > 0:
                    room.take(tasks.job, taken)
                    rule.add(room.zone, taken)
                    count -= taken
            if count:
                left.append(WaitingTasks(tasks.job, count, rule, tasks.patient, tasks.urgent))
        for m in view.machines:
            if m.name in booting:
                room, shape = booting[m.name], view.types[m.pool[0]]
                m.load = 1 - min(
                    room.cpus / max(1, milli_room(shape.cpus)),
                    room.memory / max(1, milli_room(shape.memory_gb)),
                )
        return left

    def _attribute(self, unplaced: list[WaitingTasks], view: View) -> dict[str, list[_Group]]:
        """Give each unplaced task to one shape: the cheapest whose pools are open.

        The paper has one shape an image. Here a task fits several, and counting it in each
        shape's load would rent for it several times over.
        """
        shares: dict[str, list[_Group]] = {}
        counts = Counter(m.pool for m in view.machines)
        open_pools = {name: self._open_pools(t, view, counts) for name, t in view.types.items()}
        choices: list[tuple[WaitingTasks, dict[str, tuple[Pool, ...]]]] = []
        # By shape and by whether spot machines of it would serve: what must have steady machines
        # does not fill spot ones, nor the other way round.
        totals: dict[tuple[str, bool], float] = {}
        there = {m.pool for m in view.machines if m.usable}
        for tasks in unplaced:
            usable = {
                name: pools
                for name, shape in view.types.items()
                if fits(tasks.job, shape) and (pools := _usable(tasks, open_pools[name]))
            }
            choices.append((tasks, usable))
            for name, pools in usable.items():
                key = (name, any(p[2] for p in pools))
                amount = weight(tasks.job, view.types[name]) * tasks.count
                totals[key] = totals.get(key, 0.0) + amount
        for tasks, usable in choices:
            job = tasks.job
            best: tuple[float, str, tuple[Pool, ...]] | None = None
            for name, pools in usable.items():
                shape = view.types[name]
                price = min(shape.spot_price if p[2] else shape.price for p in pools)
                # The price of the room a task takes, with its part of what would stay empty
                # if all that waits and fits were put on this shape.
                total = totals[(name, any(p[2] for p in pools))]
                empty = math.ceil(total) / total
                cost = price * weight(job, shape) * empty
                if best is None or (cost, name) < best[:2]:
                    best = (cost, name, pools)
            if best is None:
                continue
            _, name, pools = best
            amount = weight(job, view.types[name]) * tasks.count
            groups = shares.setdefault(name, [])
            can_wait = not tasks.urgent and self._has_home(tasks, there, view)
            for group in groups:
                if group.pools == pools:
                    group.add(job, amount, can_wait)
                    break
            else:
                groups.append(_Group(pools, job.rank, amount, [job.spec.estimate_s], can_wait))
        return shares

    @staticmethod
    def _has_home(tasks: WaitingTasks, there: set[Pool], view: View) -> bool:
        """Whether there is a machine that could run the tasks once it has room."""
        return any(
            pool[0] in view.types and fits(tasks.job, view.types[pool[0]])
            for pool in _usable(tasks, there)
        )

    def _rent(
        self, shape: MachineType, groups: list[_Group], view: View, calls: int
    ) -> tuple[list[Rent], int]:
        rents: list[Rent] = []
        # More than a call rents would be taken for refused.
        left = min(self._tuning.most_rented, MAX_RENT)
        added: dict[Pool, int] = {}
        counts = Counter(m.pool for m in view.machines)
        for group in sorted(groups, key=lambda g: g.rank):
            if group.can_wait and group.weight < self._tuning.least_fill:
                continue
            need = max(1, int(group.weight + 0.999))
            walltime_us = float(to_us(median(group.estimates)))
            asked: list[Pool] = []
            while need > 0 and left > 0:
                pools = [
                    p for p in group.pools if counts[p] + added.get(p, 0) < self._tuning.pool_cap
                ]
                if not pools:
                    break
                if pools != asked:
                    front = pareto_front(self._figures(shape, pools), walltime_us)
                    best = optimize(front, self._tuning.weight_of_time)
                    asked = pools
                # A pool asked already in this turn takes part in the same call.
                fresh = sum(1 for f in best.pools if f.pool not in added)
                short = max(0, fresh - calls)
                chosen = tuple(f.pool for f in affordable(best, len(best.pools) - short))
                if not chosen:
                    break
                calls -= sum(1 for pool in chosen if pool not in added)
                rent = Rent(self._next_group, chosen)
                self._next_group += 1
                self._groups[rent.group] = chosen
                for pool in chosen:
                    added[pool] = added.get(pool, 0) + 1
                    state = self.pool(pool)
                    if state.wanted_since_us is None:
                        state.wanted_since_us = view.now_us
                rents.append(rent)
                need -= 1
                left -= 1
        return rents, calls

    def _give_back(self, name: str, ratio: float, view: View) -> list[GiveBack]:
        tuning = self._tuning
        machines = [m for m in view.machines if m.pool[0] == name]
        # What may go: nothing placed on it, and charged for its least time anyway.
        candidates = sorted(
            (
                m
                for m in machines
                if m.load <= 0
                and view.now_us - m.rented_us >= LEAST_CHARGED_US
                and (
                    m.phase != "up"
                    or (
                        m.idle_since_us is not None
                        and m.cordoned
                        and view.now_us - m.idle_since_us >= to_us(tuning.idle_keep_s)
                    )
                )
            ),
            key=removal_order,
        )
        gone: list[GiveBack] = []
        for machine in candidates[: tuning.most_returned]:
            # The last machine stays unless the load is zero.
            if len(machines) - len(gone) <= 1 and ratio > 0:
                break
            # Giving it back must not lift the ratio over the renting threshold.
            left = len(machines) - len(gone) - 1
            if left and ratio * len(machines) / left > tuning.load_high:
                break
            gone.append(GiveBack(machine.name, f"load {ratio:.2f}"))
        return gone


def _usable(tasks: WaitingTasks, pools: Iterable[Pool]) -> tuple[Pool, ...]:
    """The pools that a job's next tasks may use."""
    spec = tasks.job.spec
    return tuple(
        pool
        for pool in pools
        if (pool[2] if tasks.patient else spec.spot or not pool[2])
        and (spec.zone is None or pool[1] == spec.zone)
        and tasks.rule.allows(pool[1])
    )


class _Group(Struct):
    """Unplaced tasks of one shape that may use the same pools."""

    pools: tuple[Pool, ...]
    rank: int
    weight: float
    estimates: list[float]
    # A machine that would stay mostly empty is not rented for them.
    can_wait: bool

    def add(self, job: Job, amount: float, can_wait: bool) -> None:
        """Count more tasks."""
        self.can_wait = self.can_wait and can_wait
        self.rank = min(self.rank, job.rank)
        self.weight += amount
        self.estimates.append(job.spec.estimate_s)
