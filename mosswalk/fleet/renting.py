"""The leader's view of demand and machines for the factory, and what the factory decides."""

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

_CORDON_US = 2 * SECOND_US
# How long machines for a gang are rented in one zone before the next is tried.
_ZONE_TURN_US = 30 * SECOND_US


class FleetScaler:
    """Shows the factory what there is, and keeps what it has asked for."""

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
        """Forget everything: another controller led meanwhile."""
        self._factory = Factory(self._tuning)
        self._stuck: dict[str, list[Job]] = {}
        self._stuck_since: dict[str, int] = {}
        self._gang_zones: dict[str, list[str]] = {}
        self.cordoned: set[str] = set()
        self._to_cordon: set[str] = set()
        self._cordoned_us = -_CORDON_US
        # Rentals asked for and not yet answered: they count as requested machines, or a slow
        # cloud would be asked for the same again each period.
        self._asked: Counter[Pool] = Counter()

    def record_blocked_jobs(self, queues: Iterable[TeamQueue]) -> None:
        """Jobs whose next task found no room.

        Teams whose owner is busy keep what was found last time: a gap would restart the
        factory's dwell and every job's silence_limits.
        """
        now_us = self._clock.now_us()
        self._stuck.update({queue.team.name: queue.unschedulable for queue in queues})
        self._stuck_since = {
            job.id: self._stuck_since.get(job.id, now_us)
            for stuck in self._stuck.values()
            for job in stuck
        }

    def has_blocked_gangs(self) -> bool:
        """Whether gangs that others may be stopped for found no room."""
        return any(
            job.is_gang and job.rank < IDLE_RANK for jobs in self._stuck.values() for job in jobs
        )

    def clear_blocked_jobs(self) -> None:
        """All that may be placed has been."""
        self._stuck.clear()
        self._stuck_since.clear()

    def waiting_tasks(self) -> list[WaitingTasks]:
        """Tasks that found no room, as far as their team's limit lets them run."""
        zones = self._inventory.zones_by_machine()
        usage = self._registry.usage()
        waiting: list[WaitingTasks] = []
        for stuck in [job for jobs in self._stuck.values() for job in jobs]:
            job = self._registry.jobs.get(stuck.id)
            if job is None:
                continue
            team = self._teams.get(job.spec.team)
            rule = zone_rule(job, zones)
            if team is None or rule is None or not job.open:
                continue
            own = usage.setdefault(team.name, Usage())
            guaranteed = fits_quota(team, own, job, against_limit=False)
            patient = self._patient(job, guaranteed)
            count = max_tasks_within_limit(team, own, job, job.pending_count())
            own.add(job, count)
            if not count:
                continue
            if job.is_gang and job.spec.one_zone:
                # Machines for a part of it in each zone would be of no use.
                rule.add(self._zone_for(job), 0)
            # A gang can't use the room that others leave bit by bit.
            urgent = guaranteed or job.rank == 0 or job.is_gang
            waiting.append(WaitingTasks(job, count, rule, patient, urgent))
        self._gang_zones = {j: z for j, z in self._gang_zones.items() if j in self._stuck_since}
        return waiting

    def _zone_for(self, job: Job) -> str:
        """The zone to rent in for a gang that must be in one: where most machines are.

        If it still waits after a while, there may be none to be had: another one's turn.
        """
        zones = self._gang_zones.get(job.id)
        if not zones:
            there = Counter(
                m.zone
                for m in self._inventory.machines.values()
                if not m.releasing and not m.known_from_record_only
            )
            fitting = {
                zone
                for shape in self._inventory.types.values()
                if fits_machine_type(job.spec, shape)
                for zone in shape.zones
                if job.spec.zone in (None, zone)
            }
            zones = sorted(fitting, key=lambda zone: (-there[zone], zone)) or [""]
            self._gang_zones[job.id] = zones
        now_us = self._clock.now_us()
        waited_us = now_us - self._stuck_since.get(job.id, now_us)
        return zones[waited_us // _ZONE_TURN_US % len(zones)]

    def _patient(self, job: Job, guaranteed: bool) -> bool:
        """Whether a job's tasks can wait for spot machines to come free or be rented."""
        if not job.spec.spot or job.rank < 2 or guaranteed:
            return False
        now_us = self._clock.now_us()
        waited_us = now_us - self._stuck_since.get(job.id, now_us)
        boot_s = max((t.boot_s for t in self._inventory.types.values()), default=0.0)
        # What counts for the work is when a steady machine would be up, so a slow boot leaves
        # less silence_limits. Idle work waits twice as long: nobody is held up by it.
        patience_s = self._tuning.steady_within_s * (job.rank - 1) - boot_s
        if waited_us >= to_us(patience_s):
            return False
        # Estimates are often short by half.
        needed_us = to_us(1.5 * job.spec.estimate_s + boot_s)
        return job.deadline_at_us() - self._clock.wall_us() > needed_us

    def _view(self, waiting: list[WaitingTasks], calls: int) -> FleetView:
        machines: list[MachineView] = []
        for machine in self._inventory.machines.values():
            if machine.releasing or machine.known_from_record_only:
                continue
            shape = self._inventory.types.get(machine.type)
            load = machine.utilization(shape) if shape is not None else 0.0
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
        for pool, count in self._asked.items():
            for i in range(count):
                name = f"asked {i} of {pool}"
                machines.append(
                    MachineView(name, pool, "requested", now_us, now_us, True, None, 0.0)
                )
        return FleetView(now_us, self._inventory.types, machines, waiting, calls)

    def _occupancy(self, room_of: Callable[[Machine], FreeCapacity | None]) -> list[Occupancy]:
        found: list[Occupancy] = []
        for machine in self._inventory.machines.values():
            room, shape = room_of(machine), self._inventory.types.get(machine.type)
            if room is None or shape is None:
                continue
            found.append(
                Occupancy(
                    machine.name,
                    milli_floor(shape.cpus) - room.cpus,
                    max(0, room.cpus),
                    milli_floor(shape.memory_gb) - room.memory,
                    max(0, room.memory),
                    shape.spot_price if machine.spot else shape.price,
                    not machine.has_replica,
                )
            )
        return found

    def on_machine_up(self, machine: Machine, calls: int) -> list[Release]:
        """A machine reports for the first time; what its rent's other copies give back."""
        now_us = self._clock.now_us()
        took_us = now_us - machine.rented_at_us
        machine.phase = "up"
        machine.phase_since_us = machine.idle_since_us = now_us
        if machine.group is None:
            return []
        pool = (machine.type, machine.zone, machine.spot)
        self._factory.pools.on_machine_booted(pool, took_us)
        group, machine.group = machine.group, None
        return self._factory.on_copy_booted(
            group, pool, lambda: self._view(self.waiting_tasks(), calls)
        )

    def on_rented(self, message: RentResult) -> None:
        """The cloud has answered a rental."""
        now_us = self._clock.now_us()
        pool = message.pool
        self._asked -= Counter({pool: len(message.groups)})
        if message.machines:
            self._factory.pools.on_rental_granted(pool, now_us)
        if len(message.machines) < len(message.groups):
            log.info(
                "pool %s: %d of %d to be had",
                "/".join(map(str, pool)),
                len(message.machines),
                len(message.groups),
            )
            self._factory.pools.on_rental_refused(pool, now_us)
        for group in message.groups[len(message.machines) :]:
            self._factory.on_copy_refused(group, pool)
        for name, group in zip(message.machines, message.groups, strict=False):
            log.info("rented %s in %s (group %d)", name, "/".join(map(str, pool)), group)
            if name not in self._inventory.machines and not self._inventory.is_gone(name):
                machine = Machine(name, *pool, "requested", now_us, now_us)
                machine.group = group
                self._inventory.machines[name] = machine

    def decide(
        self,
        waiting: list[WaitingTasks],
        room_of: Callable[[Machine], FreeCapacity | None],
        calls: int,
        emptying: set[str],
    ) -> tuple[dict[Pool, tuple[int, ...]], list[Release]]:
        """One turn of the loops: rents by pool, and machines to return."""
        now_us = self._clock.now_us()
        if now_us - self._cordoned_us >= _CORDON_US:
            # It walks and sorts all machines, and what it finds changes slowly.
            self._cordoned_us = now_us
            self._to_cordon = choose_machines_to_cordon(self._occupancy(room_of))
        self.cordoned = self._to_cordon | emptying
        wanted: dict[Pool, tuple[int, ...]] = {}
        returned: list[Release] = []
        for decision in self._factory.decide(self._view(waiting, calls)):
            if isinstance(decision, Rent):
                pools = ", ".join("/".join(map(str, p)) for p in decision.pools)
                log.info("renting, group %d: %s", decision.group, pools)
                for pool in decision.pools:
                    wanted[pool] = (*wanted.get(pool, ()), decision.group)
                    self._asked[pool] += 1
            else:
                returned.append(decision)
        return wanted, returned
