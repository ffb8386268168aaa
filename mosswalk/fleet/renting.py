"""Passes the leader's view of tasks and machines to the factory and returns its decisions."""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Callable, Iterable

from mosswalk.actors import SECOND_US, Clock, to_us
from mosswalk.cloud.actor import RentResult
from mosswalk.config import Settings
from mosswalk.factory.cordon import Occupancy, choose_machines_to_cordon
from mosswalk.factory.loop import Factory
from mosswalk.factory.view import FleetView, MachineView, Pool, Release, Rent, WaitingTasks
from mosswalk.fleet.inventory import Inventory, Machine
from mosswalk.jobs.admission import fits_machine_type
from mosswalk.jobs.registry import JobRegistry
from mosswalk.jobs.state import IDLE_RANK, Job, Usage, milli_floor
from mosswalk.placement.capacity import FreeCapacity, zone_rule
from mosswalk.placement.queues import TeamQueue, fits_quota, max_tasks_within_limit

log = logging.getLogger(__name__)

_CORDON_PERIOD_US = 2 * SECOND_US
# How long machines for a gang are rented in one zone before the next is tried.
_GANG_ZONE_PERIOD_US = 30 * SECOND_US
# Machines that may never become free, such as those full of replicas, keep a job waiting no longer
# than this: then one is rented for it even if the job leaves it mostly empty.
_MAX_DEFERRAL_US = 45 * SECOND_US


class FleetScaler:
    """Gives the factory its view of the fleet and keeps track of the rentals it has requested."""

    def __init__(
        self, settings: Settings, inventory: Inventory, registry: JobRegistry, clock: Clock
    ) -> None:
        self._tuning = settings.tuning.factory
        self._teams = {team.name: team for team in settings.params.teams}
        self._inventory = inventory
        self._registry = registry
        self._clock = clock
        self.reset()

    def reset(self) -> None:
        """Set the initial state; called again when this controller stops leading."""
        self._factory = Factory(self._tuning)
        self._blocked_jobs: dict[str, list[Job]] = {}
        self._blocked_since_us: dict[str, int] = {}
        self._gang_zones: dict[str, list[str]] = {}
        self.cordoned: set[str] = set()
        self._chosen_to_cordon: set[str] = set()
        self._cordon_chosen_at_us = -_CORDON_PERIOD_US
        # Requested rentals without an answer yet. They count as requested machines, or the factory
        # would request the same machines again each period while the cloud is slow to answer.
        self._pending_rentals: Counter[Pool] = Counter()

    def record_blocked_jobs(self, queues: Iterable[TeamQueue]) -> None:
        """Record the jobs of which the next task fits nowhere.

        Teams whose owner is busy keep the jobs recorded last time: a gap would restart the
        factory's dwell times and every job's waiting time.
        """
        now_us = self._clock.now_us()
        self._blocked_jobs.update({queue.team.name: queue.unschedulable for queue in queues})
        self._blocked_since_us = {
            job.id: self._blocked_since_us.get(job.id, now_us)
            for jobs in self._blocked_jobs.values()
            for job in jobs
        }

    def has_blocked_gangs(self) -> bool:
        """Return whether a gang is blocked for which other attempts may be stopped."""
        return any(
            job.is_gang and job.rank < IDLE_RANK
            for jobs in self._blocked_jobs.values()
            for job in jobs
        )

    def clear_blocked_jobs(self) -> None:
        """Discard the blocked jobs: no task waits for a machine."""
        self._blocked_jobs.clear()
        self._blocked_since_us.clear()

    def waiting_tasks(self) -> list[WaitingTasks]:
        """Return the tasks of blocked jobs, as far as their teams' limits let them run."""
        zones = self._inventory.zones_by_machine()
        usage = self._registry.usage()
        waiting: list[WaitingTasks] = []
        for blocked in [job for jobs in self._blocked_jobs.values() for job in jobs]:
            job = self._registry.jobs.get(blocked.id)
            if job is None:
                continue
            team = self._teams.get(job.spec.team)
            rule = zone_rule(job, zones)
            if team is None or rule is None or not job.open:
                continue
            team_usage = usage.setdefault(team.name, Usage())
            guaranteed = fits_quota(team, team_usage, job, against_limit=False)
            waits_for_spot = self._should_wait_for_spot(job, guaranteed)
            count = max_tasks_within_limit(team, team_usage, job, job.pending_count())
            team_usage.add(job, count)
            if not count:
                continue
            if job.is_gang and job.spec.one_zone:
                # Machines for parts of the gang in several zones would be of no use.
                rule.add(self._zone_for(job), 0)
            # A gang can't use the small amounts of capacity that others free one by one.
            urgent = (
                guaranteed
                or job.rank == 0
                or job.is_gang
                or self._blocked_us(job) >= _MAX_DEFERRAL_US
            )
            waiting.append(WaitingTasks(job, count, rule, waits_for_spot, urgent))
        self._gang_zones = {
            j: z for j, z in self._gang_zones.items() if j in self._blocked_since_us
        }
        return waiting

    def _blocked_us(self, job: Job) -> int:
        """For how long the job's next task has fitted nowhere."""
        now_us = self._clock.now_us()
        return now_us - self._blocked_since_us.get(job.id, now_us)

    def _zone_for(self, job: Job) -> str:
        """Return the zone to rent in for a gang that must run in one: that with most machines.

        If the gang still waits after a while, the zone may have no machines left to rent, so the
        next zone is tried.
        """
        zones = self._gang_zones.get(job.id)
        if not zones:
            machines_by_zone = Counter(
                m.zone
                for m in self._inventory.machines.values()
                if not m.releasing and not m.known_from_record_only
            )
            fitting_zones = {
                zone
                for machine_type in self._inventory.types.values()
                if fits_machine_type(job.spec, machine_type)
                for zone in machine_type.zones
                if job.spec.zone in (None, zone)
            }
            zones = sorted(fitting_zones, key=lambda zone: (-machines_by_zone[zone], zone)) or [""]
            self._gang_zones[job.id] = zones
        return zones[self._blocked_us(job) // _GANG_ZONE_PERIOD_US % len(zones)]

    def _should_wait_for_spot(self, job: Job, guaranteed: bool) -> bool:
        """Return whether a job's tasks can wait until spot machines are free or rented."""
        if not job.spec.spot or job.rank < 2 or guaranteed:
            return False
        boot_s = max((t.boot_s for t in self._inventory.types.values()), default=0.0)
        # An on-demand machine is to be up within steady_within_s, so the time to boot shortens the
        # wait. Jobs of class idle wait twice as long, as no user waits for them.
        max_wait_s = self._tuning.steady_within_s * (job.rank - 1) - boot_s
        if self._blocked_us(job) >= to_us(max_wait_s):
            return False
        # Tasks often run half as long again as estimated.
        needed_us = to_us(1.5 * job.spec.estimate_s + boot_s)
        return job.deadline_at_us() - self._clock.wall_us() > needed_us

    def _view(self, waiting: list[WaitingTasks], calls_left: int) -> FleetView:
        machines: list[MachineView] = []
        for machine in self._inventory.machines.values():
            if machine.releasing or machine.known_from_record_only:
                continue
            machine_type = self._inventory.types.get(machine.type)
            load = machine.utilization(machine_type) if machine_type is not None else 0.0
            machines.append(
                MachineView(
                    machine.name,
                    (machine.type, machine.zone, machine.spot),
                    machine.phase,
                    machine.phase_since_us,
                    machine.rented_at_us,
                    machine.spot_notice_until_us is None,
                    machine.idle_since_us,
                    load,
                    machine.name in self.cordoned,
                )
            )
        now_us = self._clock.now_us()
        for pool, count in self._pending_rentals.items():
            for i in range(count):
                name = f"pending rental {i} of {pool}"
                machines.append(
                    MachineView(name, pool, "requested", now_us, now_us, True, None, 0.0)
                )
        return FleetView(now_us, self._inventory.types, machines, waiting, calls_left)

    def _occupancy(self, capacity_of: Callable[[Machine], FreeCapacity | None]) -> list[Occupancy]:
        occupancies: list[Occupancy] = []
        for machine in self._inventory.machines.values():
            capacity, machine_type = (
                capacity_of(machine),
                self._inventory.types.get(machine.type),
            )
            if capacity is None or machine_type is None:
                continue
            occupancies.append(
                Occupancy(
                    machine.name,
                    milli_floor(machine_type.cpus) - capacity.cpus,
                    max(0, capacity.cpus),
                    milli_floor(machine_type.memory_gb) - capacity.memory,
                    max(0, capacity.memory),
                    machine_type.spot_price if machine.spot else machine_type.price,
                    not machine.has_replica,
                )
            )
        return occupancies

    def on_machine_up(self, machine: Machine, calls_left: int) -> list[Release]:
        """Record a machine's first report; return what to release of its rental group."""
        now_us = self._clock.now_us()
        boot_us = now_us - machine.rented_at_us
        machine.phase = "up"
        machine.phase_since_us = machine.idle_since_us = now_us
        if machine.group is None:
            return []
        pool = (machine.type, machine.zone, machine.spot)
        self._factory.pools.on_machine_booted(pool, boot_us)
        group, machine.group = machine.group, None
        return self._factory.on_copy_booted(
            group, pool, lambda: self._view(self.waiting_tasks(), calls_left)
        )

    def on_rented(self, message: RentResult) -> None:
        """Process the cloud's answer to a rental."""
        now_us = self._clock.now_us()
        pool = message.pool
        self._pending_rentals -= Counter({pool: len(message.groups)})
        if message.machines:
            self._factory.pools.on_rental_granted(pool, now_us)
        if len(message.machines) < len(message.groups):
            log.info(
                "pool %s: the cloud granted %d of %d machines",
                "/".join(map(str, pool)),
                len(message.machines),
                len(message.groups),
            )
            self._factory.pools.on_rental_refused(pool, now_us)
        for group in message.groups[len(message.machines) :]:
            self._factory.on_copy_refused(group, pool)
        for name, group in zip(message.machines, message.groups, strict=False):
            log.info("rented %s in %s (rental group %d)", name, "/".join(map(str, pool)), group)
            if name not in self._inventory.machines and not self._inventory.is_gone(name):
                machine = Machine(name, *pool, "requested", now_us, now_us)
                machine.group = group
                self._inventory.machines[name] = machine

    def decide(
        self,
        waiting: list[WaitingTasks],
        capacity_of: Callable[[Machine], FreeCapacity | None],
        calls_left: int,
        draining: set[str],
    ) -> tuple[dict[Pool, tuple[int, ...]], list[Release]]:
        """Run the factory once; return rental groups by pool, and machines to release."""
        now_us = self._clock.now_us()
        if now_us - self._cordon_chosen_at_us >= _CORDON_PERIOD_US:
            # Choosing examines and sorts all machines, and its result changes slowly.
            self._cordon_chosen_at_us = now_us
            self._chosen_to_cordon = choose_machines_to_cordon(self._occupancy(capacity_of))
        self.cordoned = self._chosen_to_cordon | draining
        groups_by_pool: dict[Pool, tuple[int, ...]] = {}
        releases: list[Release] = []
        for decision in self._factory.decide(self._view(waiting, calls_left)):
            if isinstance(decision, Rent):
                pools = ", ".join("/".join(map(str, p)) for p in decision.pools)
                log.info("renting (rental group %d): %s", decision.group, pools)
                for pool in decision.pools:
                    groups_by_pool[pool] = (*groups_by_pool.get(pool, ()), decision.group)
                    self._pending_rentals[pool] += 1
            else:
                releases.append(decision)
        return groups_by_pool, releases
