"""The VM factory: one control loop per machine type (CBRAIN paper, Algorithms 1 and 2).

A state machine without I/O: the leader passes it a view of the machines and the tasks, and carries
out its decisions. docs/design.md lists the differences from the CBRAIN paper.
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

# The cloud charges a machine for at least this long, so releasing it earlier saves nothing.
MIN_CHARGED_US = 60_000_000


class _LoadState(Struct):
    """For how long the load of a machine type has been high, and low."""

    high: Dwell = field(default_factory=Dwell)
    low: Dwell = field(default_factory=Dwell)


class Factory:
    """Decides which machines to rent and which to release."""

    def __init__(self, tuning: FactoryTuning) -> None:
        self._tuning = tuning
        self.pools = PoolRegistry(tuning.pool_cap)
        self._load_states: dict[str, _LoadState] = {}
        # The pools, less those that refused, of each rental group without a booted machine yet.
        self._groups: dict[int, tuple[Pool, ...]] = {}
        self._next_group = 1

    # Results of earlier decisions.

    def on_copy_booted(
        self, group: int, pool: Pool, get_view: Callable[[], FleetView]
    ) -> list[Release]:
        """Procedure HandleReplicas: release one machine in each other pool of the group.

        Exception: a pool keeps its machine if waiting tasks could use it. Otherwise the same
        machine would be rented again at once, with another boot to wait for and to pay.
        """
        other_pools = list(self._groups.pop(group, ()))
        if pool in other_pools:
            other_pools.remove(pool)
        if not other_pools:
            return []
        view = get_view()
        other_pools = [
            p for p in other_pools if not any(self._is_usable(t, p, view) for t in view.waiting)
        ]
        releases: list[Release] = []
        for other in other_pools:
            released = {r.machine for r in releases}
            candidates = [
                m
                for m in view.machines
                if m.pool == other
                and m.name not in released
                and (m.phase != "up" or m.idle_since_us is not None)
            ]
            if candidates:
                releases.append(
                    Release(
                        min(candidates, key=release_order).name,
                        "another machine of its rental group booted first",
                    )
                )
        return releases

    @staticmethod
    def _is_usable(tasks: WaitingTasks, pool: Pool, view: FleetView) -> bool:
        """Return whether a machine of the pool could run the tasks."""
        machine_type = view.types.get(pool[0])
        return (
            machine_type is not None
            and fits(tasks.job, machine_type)
            and bool(usable_pools(tasks, [pool]))
        )

    def on_copy_refused(self, group: int, pool: Pool) -> None:
        """Remove a pool from a rental group: the cloud has refused the machine there."""
        remaining = list(self._groups.get(group, ()))
        if pool in remaining:
            remaining.remove(pool)
            self._groups[group] = tuple(remaining)

    # Decisions.

    def decide(self, view: FleetView) -> list[Rent | Release]:
        """Run one iteration of the control loop of every machine type."""
        unplaced = subtract_booting_capacity(view)
        demand: dict[str, float] = dict.fromkeys(view.types, 0.0)
        for machine in view.machines:
            if machine.pool[0] in demand:
                demand[machine.pool[0]] += machine.load
        counts = Counter(machine.pool for machine in view.machines)
        open_pools = {
            name: self.pools.open_pools(machine_type, counts, view.now_us)
            for name, machine_type in view.types.items()
        }
        groups_by_type = attribute_tasks(unplaced, view, open_pools)
        for name, groups in groups_by_type.items():
            demand[name] += sum(g.machines_needed for g in groups)
        decisions: list[Rent | Release] = []
        calls_left = view.calls_left
        for name, machine_type in sorted(view.types.items()):
            machine_count = sum(1 for m in view.machines if m.pool[0] == name)
            ratio = load_ratio(demand[name], machine_count)
            state = self._load_states.setdefault(name, _LoadState())
            tuning = self._tuning
            groups = groups_by_type.get(name, [])
            # Exception to the load ratio: tasks that fit no machine's free capacity, booting
            # machines included, count as high load, even if scattered free capacity keeps the
            # ratio low.
            high = state.high.update(
                ratio > tuning.load_high or bool(groups), view.now_us, to_us(tuning.high_dwell_s)
            )
            low = state.low.update(
                ratio < tuning.load_low and not groups, view.now_us, to_us(tuning.low_dwell_s)
            )
            if high and groups:
                rents, calls_left = self._choose_rents(machine_type, groups, view, calls_left)
                decisions += rents
            elif low:
                decisions += self._choose_releases(name, ratio, view)
        return decisions

    def _choose_rents(
        self,
        machine_type: MachineType,
        groups: list[TaskGroup],
        view: FleetView,
        calls_left: int,
    ) -> tuple[list[Rent], int]:
        rents: list[Rent] = []
        # Machines beyond the limit of one rental call would be recorded as refused.
        rents_left = min(self._tuning.most_rented, MAX_MACHINES_PER_RENTAL)
        rents_by_pool: dict[Pool, int] = {}
        counts = Counter(m.pool for m in view.machines)
        for group in sorted(groups, key=lambda g: g.rank):
            if group.deferrable and group.machines_needed < self._tuning.least_fill:
                continue
            needed = max(1, int(group.machines_needed + 0.999))
            walltime_us = float(to_us(median(group.estimates)))
            evaluated_pools: list[Pool] = []
            while needed > 0 and rents_left > 0:
                pools = [
                    p
                    for p in group.pools
                    if self.pools.is_below_cap(p, counts[p] + rents_by_pool.get(p, 0))
                ]
                if not pools:
                    break
                if pools != evaluated_pools:
                    front = pareto_front(self.pools.estimates(machine_type, pools), walltime_us)
                    best = optimize(front, self._tuning.weight_of_time)
                    evaluated_pools = pools
                # All rentals in a pool that are decided in one iteration share one cloud call.
                calls_needed = sum(1 for p in best.pools if p.pool not in rents_by_pool)
                calls_missing = max(0, calls_needed - calls_left)
                chosen = tuple(
                    p.pool for p in pools_within_call_limit(best, len(best.pools) - calls_missing)
                )
                if not chosen:
                    break
                calls_left -= sum(1 for pool in chosen if pool not in rents_by_pool)
                rent = Rent(self._next_group, chosen)
                self._next_group += 1
                self._groups[rent.group] = chosen
                for pool in chosen:
                    rents_by_pool[pool] = rents_by_pool.get(pool, 0) + 1
                    self.pools.on_rental_requested(pool, view.now_us)
                rents.append(rent)
                needed -= 1
                rents_left -= 1
        return rents, calls_left

    def _choose_releases(self, name: str, ratio: float, view: FleetView) -> list[Release]:
        tuning = self._tuning
        machines = [m for m in view.machines if m.pool[0] == name]
        # Only machines without tasks, for which the minimum charge has been reached.
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
        releases: list[Release] = []
        for machine in candidates[: tuning.most_returned]:
            # The last machine stays unless the load is zero.
            if len(machines) - len(releases) <= 1 and ratio > 0:
                break
            # The release must not raise the ratio above the renting threshold.
            remaining = len(machines) - len(releases) - 1
            if remaining and ratio * len(machines) / remaining > tuning.load_high:
                break
            releases.append(Release(machine.name, f"not needed at load ratio {ratio:.2f}"))
        return releases
