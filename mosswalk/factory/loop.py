"""The VM factory: one loop per machine shape (paper, Algorithms 1 and 2).

A state machine without I/O: the leader shows it the cloud's machines and the tasks, and carries
out what it decides. What differs from the paper is told in docs/design.md.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from statistics import median

from msgspec import Struct, field

from mosswalk.actors import to_us
from mosswalk.config.operator import FactoryTuning
from mosswalk.factory.attribution import TaskGroup, attribute_tasks, usable_pools
from mosswalk.factory.booting import subtract_booting_capacity
from mosswalk.factory.load import Dwell, fits, load_ratio
from mosswalk.factory.pareto import optimize, pareto_front, pools_within_call_limit
from mosswalk.factory.pools import PoolRegistry
from mosswalk.factory.view import FleetView, Pool, Release, Rent, WaitingTasks, release_order
from mosswalk.wire.cloud import MAX_MACHINES_PER_RENTAL, MachineType

# The cloud charges a machine for at least this long, so giving it back earlier saves nothing.
MIN_CHARGED_US = 60_000_000


class _Shape(Struct):
    """For how long a shape's load has been high, and low."""

    high: Dwell = field(default_factory=Dwell)
    low: Dwell = field(default_factory=Dwell)


class Factory:
    """Decides what to rent and what to give back."""

    def __init__(self, tuning: FactoryTuning) -> None:
        self._tuning = tuning
        self.pools = PoolRegistry(tuning.pool_cap)
        self._shapes: dict[str, _Shape] = {}
        # Rents whose first copy has not booted: group -> pools still to be released.
        self._groups: dict[int, tuple[Pool, ...]] = {}
        self._next_group = 1

    # What happened to earlier decisions.

    def on_copy_booted(
        self, group: int, pool: Pool, view_now: Callable[[], FleetView]
    ) -> list[Release]:
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
        gone: list[Release] = []
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
                gone.append(Release(min(candidates, key=release_order).name, "replica lost"))
        return gone

    @staticmethod
    def _wanted(tasks: WaitingTasks, pool: Pool, view: FleetView) -> bool:
        shape = view.types.get(pool[0])
        return shape is not None and fits(tasks.job, shape) and bool(usable_pools(tasks, [pool]))

    def on_copy_refused(self, group: int, pool: Pool) -> None:
        """A copy was not to be had."""
        left = list(self._groups.get(group, ()))
        if pool in left:
            left.remove(pool)
            self._groups[group] = tuple(left)

    # Decisions.

    def decide(self, view: FleetView) -> list[Rent | Release]:
        """One turn of every shape's loop."""
        unplaced = subtract_booting_capacity(view)
        demand: dict[str, float] = dict.fromkeys(view.types, 0.0)
        for machine in view.machines:
            if machine.pool[0] in demand:
                demand[machine.pool[0]] += machine.load
        counts = Counter(machine.pool for machine in view.machines)
        open_pools = {
            name: self.pools.open_pools(shape, counts, view.now_us)
            for name, shape in view.types.items()
        }
        shares = attribute_tasks(unplaced, view, open_pools)
        for name, groups in shares.items():
            demand[name] += sum(g.machines_needed for g in groups)
        decisions: list[Rent | Release] = []
        calls = view.calls_left
        for name, shape in sorted(view.types.items()):
            slots = sum(1 for m in view.machines if m.pool[0] == name)
            ratio = load_ratio(demand[name], slots)
            state = self._shapes.setdefault(name, _Shape())
            tuning = self._tuning
            groups = shares.get(name, [])
            # Exception to the load ratio: tasks that fit no room there is, booting machines
            # included, count as high load however low scattered room holds the ratio.
            high = state.high.update(
                ratio > tuning.load_high or bool(groups), view.now_us, to_us(tuning.high_dwell_s)
            )
            low = state.low.update(
                ratio < tuning.load_low and not groups, view.now_us, to_us(tuning.low_dwell_s)
            )
            if high and groups:
                rents, calls = self._rent(shape, groups, view, calls)
                decisions += rents
            elif low:
                decisions += self._give_back(name, ratio, view)
        return decisions

    def _rent(
        self, shape: MachineType, groups: list[TaskGroup], view: FleetView, calls: int
    ) -> tuple[list[Rent], int]:
        rents: list[Rent] = []
        # More than a call rents would be taken for refused.
        left = min(self._tuning.most_rented, MAX_MACHINES_PER_RENTAL)
        added: dict[Pool, int] = {}
        counts = Counter(m.pool for m in view.machines)
        for group in sorted(groups, key=lambda g: g.rank):
            if group.deferrable and group.machines_needed < self._tuning.least_fill:
                continue
            need = max(1, int(group.machines_needed + 0.999))
            walltime_us = float(to_us(median(group.estimates)))
            asked: list[Pool] = []
            while need > 0 and left > 0:
                pools = [
                    p
                    for p in group.pools
                    if self.pools.is_below_cap(p, counts[p] + added.get(p, 0))
                ]
                if not pools:
                    break
                if pools != asked:
                    front = pareto_front(self.pools.estimates(shape, pools), walltime_us)
                    best = optimize(front, self._tuning.weight_of_time)
                    asked = pools
                # A pool asked already in this turn takes part in the same call.
                fresh = sum(1 for f in best.pools if f.pool not in added)
                short = max(0, fresh - calls)
                chosen = tuple(
                    f.pool for f in pools_within_call_limit(best, len(best.pools) - short)
                )
                if not chosen:
                    break
                calls -= sum(1 for pool in chosen if pool not in added)
                rent = Rent(self._next_group, chosen)
                self._next_group += 1
                self._groups[rent.group] = chosen
                for pool in chosen:
                    added[pool] = added.get(pool, 0) + 1
                    self.pools.on_rental_requested(pool, view.now_us)
                rents.append(rent)
                need -= 1
                left -= 1
        return rents, calls

    def _give_back(self, name: str, ratio: float, view: FleetView) -> list[Release]:
        tuning = self._tuning
        machines = [m for m in view.machines if m.pool[0] == name]
        # What may go: nothing placed on it, and charged for its least time anyway.
        candidates = sorted(
            (
                m
                for m in machines
                if m.load <= 0
                and view.now_us - m.rented_at_us >= MIN_CHARGED_US
                and (
                    m.phase != "up"
                    or (
                        m.idle_since_us is not None
                        and m.cordoned
                        and view.now_us - m.idle_since_us >= to_us(tuning.idle_keep_s)
                    )
                )
            ),
            key=release_order,
        )
        gone: list[Release] = []
        for machine in candidates[: tuning.most_returned]:
            # The last machine stays unless the load is zero.
            if len(machines) - len(gone) <= 1 and ratio > 0:
                break
            # Giving it back must not lift the ratio over the renting threshold.
            left = len(machines) - len(gone) - 1
            if left and ratio * len(machines) / left > tuning.load_high:
                break
            gone.append(Release(machine.name, f"load {ratio:.2f}"))
        return gone
