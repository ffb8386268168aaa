"""Room on the machines, and its offering to the teams in turn."""

from __future__ import annotations

import logging
from collections.abc import Iterable, Iterator, Mapping

from msgspec import Struct

from mosswalk.actors import SECOND_US, Clock, to_us
from mosswalk.config import Settings
from mosswalk.fleet.inventory import Inventory, Machine
from mosswalk.fleet.renting import FleetScaler
from mosswalk.jobs.admission import fits_machine_type
from mosswalk.jobs.registry import AttemptKey, JobRegistry
from mosswalk.jobs.state import Job, Usage, milli_floor, task_name
from mosswalk.leadership.actor import Leadership
from mosswalk.placement.capacity import FreeCapacity, capacity_to_claim
from mosswalk.placement.queues import (
    QueueOrder,
    TeamQueue,
    place_across_teams,
)
from mosswalk.store.mirror import Mirror
from mosswalk.wire.peers import MachineOffer, Offer, OfferAnswer, TeamOffer

log = logging.getLogger(__name__)

_RESERVED_US = 5 * SECOND_US
_COOL_US = 500_000
# Room kept for an overdue job is chosen anew after this.
_KEPT_US = 10 * SECOND_US


class _Reservation(Struct):
    """Room offered to an owner and not yet seen in the records."""

    node: str
    teams: tuple[str, ...]
    slots: list[MachineOffer]
    until_us: int
    # Set once the owner has answered: the room is free again when the mirror has got there.
    revision: int | None = None


class OfferPlanner:
    """What is free where, what of it is offered, and to whom."""

    def __init__(
        self,
        settings: Settings,
        mirror: Mirror,
        registry: JobRegistry,
        inventory: Inventory,
        leadership: Leadership,
        renting: FleetScaler,
        clock: Clock,
        failed_on: Mapping[str, set[str]],
    ) -> None:
        self._mirror = mirror
        self._registry = registry
        self._inventory = inventory
        self._leadership = leadership
        self._scaler = renting
        self._clock = clock
        self._failed_on = failed_on
        self._urgency = QueueOrder(settings.params.objectives, settings.params.teams)
        self._teams = {team.name: team for team in settings.params.teams}
        self._shares = {
            name: settings.tuning.shares.get(name) or max(1.0, team.cpus)
            for name, team in self._teams.items()
        }
        self._silent_us = to_us(
            settings.tuning.fleet.silent_reports * settings.params.workers.report_s
        )
        self._reservations: list[_Reservation] = []
        self._cool: dict[str, int] = {}
        self._claims: dict[str, tuple[int, frozenset[str]]] = {}
        # Room by machine, built anew only for machines of which something has changed: a plan
        # costs by what changed, not by how many machines there are.
        self._rooms: dict[str, FreeCapacity | None] = {}
        self._changed: set[str] = set()
        self._cordoned: set[str] = set()
        self._reserved: dict[str, list[MachineOffer]] = {}
        registry.on_machine_changed.append(self.mark_changed)

    def reset(self) -> None:
        """Forget all: another controller leads."""
        self._reservations.clear()
        self._reserved.clear()
        self._rooms.clear()
        self._changed.clear()

    def mark_changed(self, name: str) -> None:
        """Something about a machine has changed."""
        self._changed.add(name)

    def mark_periodic_changes(self) -> None:
        """See to what changes by time alone, or for all machines at once."""
        now_us = self._clock.now_us()
        for name in [n for n, (until_us, _) in self._claims.items() if until_us < now_us]:
            del self._claims[name]
            self.mark_changed(name)
        self._changed |= self._cordoned ^ self._scaler.cordoned
        self._cordoned = self._scaler.cordoned
        for name, machine in self._inventory.machines.items():
            room = self._rooms.get(name)
            if name not in self._rooms or (room is not None and self.is_silent(machine)):
                self.mark_changed(name)

    def is_silent(self, machine: Machine) -> bool:
        """Whether a machine has not been heard of for too long to place anything on it."""
        return self._clock.now_us() - machine.last_seen_at_us > self._silent_us

    def free_capacities(self) -> list[FreeCapacity]:
        """What is free on every machine that may be used. To be copied before it is changed."""
        changed, self._changed = self._changed, set()
        for name in sorted(changed):
            machine = self._inventory.machines.get(name)
            if machine is None:
                self._rooms.pop(name, None)
            else:
                self._rooms[name] = self._build(machine)
        return [room for room in self._rooms.values() if room is not None]

    def free_capacity(self, machine: Machine) -> FreeCapacity | None:
        """What is free on a machine; None if nothing may be placed there."""
        if machine.name in self._changed or machine.name not in self._rooms:
            self._changed.discard(machine.name)
            self._rooms[machine.name] = self._build(machine)
        return self._rooms[machine.name]

    def claim(self, machine: str, until_us: int, job_id: str) -> None:
        """Keep room that is being freed on a machine for the job it is freed for."""
        self._claims[machine] = (until_us, self._claimants(machine) | {job_id})
        self.mark_changed(machine)

    def is_reserved(self, name: str) -> bool:
        """Whether room on a machine is offered just now."""
        return name in self._reserved

    def on_answer(self, node: str, answer: OfferAnswer | None) -> None:
        """An owner has answered, or has not."""
        now_us = self._clock.now_us()
        for reservation in self._reservations:
            if reservation.node == node and reservation.revision is None:
                if answer is None:
                    # The owner may still be placing on it: keep the room until it runs out.
                    continue
                reservation.revision = answer.revision
                if answer.placed == 0:
                    for team in reservation.teams:
                        self._cool[team] = now_us + _COOL_US

    def attempts_using_capacity(self, machine: Machine) -> Iterator[AttemptKey]:
        """The attempts that may take room: all but those whose exit the worker has reported.

        The records show an exit later, as writes are scarce; its room need not wait for that.
        """
        attempts = self._registry.attempts_on(machine.name)
        if not machine.exited_tasks:
            yield from attempts
            return
        for key in attempts:
            if (task_name(key[0], key[1]), key[2]) not in machine.exited_tasks:
                yield key

    def _note_use(self, machine: Machine, running: list[Job]) -> None:
        machine.used_cpus = sum(job.cpus for job in running)
        machine.used_memory = sum(job.memory for job in running)
        machine.has_replica = any(job.spec.kind == "daemon" for job in running)
        attempts = self._registry.attempts_on(machine.name)
        idle = not attempts and len(machine.exited_tasks) == len(machine.tasks)
        if machine.phase != "up" or not idle:
            machine.idle_since_us = None
        elif machine.idle_since_us is None:
            machine.idle_since_us = self._clock.now_us()

    def _build(self, machine: Machine) -> FreeCapacity | None:
        jobs = self._registry.jobs
        running = [jobs[key[0]] for key in self.attempts_using_capacity(machine) if key[0] in jobs]
        self._note_use(machine, running)
        shape = self._inventory.types.get(machine.type)
        if (
            shape is None
            or machine.phase != "up"
            or machine.known_from_record_only
            or not machine.has_acknowledged_leader
            or machine.not_receiving_since_us is not None
            or machine.releasing is not None
            or machine.unhealthy
            or machine.spot_notice_until_us is not None
            or self.is_silent(machine)
        ):
            return None
        price = shape.spot_price if machine.spot else shape.price
        room = FreeCapacity(
            machine=machine.name,
            type=machine.type,
            zone=machine.zone,
            spot=machine.spot,
            session=machine.session,
            cpus=milli_floor(shape.cpus),
            gpus=milli_floor(shape.gpus),
            memory=milli_floor(shape.memory_gb),
            images=frozenset(machine.cached_images),
            core_price=price / max(1.0, shape.cpus),
            fetch_s_per_gb=1.0 / max(0.001, shape.fetch_gb_per_s),
            cordoned=machine.name in self._scaler.cordoned,
            claimed_by=self._claimants(machine.name),
        )
        for job in running:
            room.allocate(job)
        for slot in self._reserved.get(machine.name, ()):
            room.cpus -= slot.cpus
            room.gpus -= slot.gpus
            room.memory -= slot.memory
        return room

    def _claimants(self, name: str) -> frozenset[str]:
        until_us, jobs = self._claims.get(name, (0, frozenset()))
        return jobs if self._clock.now_us() < until_us else frozenset()

    def _keep_room(self, queues: Iterable[TeamQueue], rooms: list[FreeCapacity]) -> None:
        until_us = self._clock.now_us() + _KEPT_US
        for queue in queues:
            for job in queue.unschedulable:
                if not queue.is_overdue(job) or any(job.id in c[1] for c in self._claims.values()):
                    continue
                shapes = {
                    n for n, t in self._inventory.types.items() if fits_machine_type(job.spec, t)
                }
                kept = capacity_to_claim(job, rooms, shapes)
                if kept is not None:
                    log.info("keeping room on %s for %s, overdue", kept.machine, job.id)
                    self.claim(kept.machine, until_us, job.id)

    def _drop_reservations(self) -> None:
        now_us = self._clock.now_us()
        kept = [
            r
            for r in self._reservations
            if (r.revision is None and now_us < r.until_us)
            or (
                r.revision is not None
                and r.node != self._leadership.node
                and self._mirror.revision < r.revision
            )
        ]
        if len(kept) < len(self._reservations):
            self._reservations = kept
            self._note_reserved()

    def _note_reserved(self) -> None:
        for name in self._reserved:
            self.mark_changed(name)
        self._reserved = {}
        for reservation in self._reservations:
            for slot in reservation.slots:
                self._reserved.setdefault(slot.machine, []).append(slot)
        for name in self._reserved:
            self.mark_changed(name)

    @staticmethod
    def _add_slot(slots: dict[tuple[str, str], MachineOffer], job: Job, room: FreeCapacity) -> None:
        """Offer a task's part of a room to its team."""
        key = (job.spec.team, room.machine)
        before = slots.get(key)
        slots[key] = MachineOffer(
            room.machine,
            room.type,
            room.zone,
            room.spot,
            room.session,
            job.cpus + (before.cpus if before else 0),
            job.gpus + (before.gpus if before else 0),
            job.memory + (before.memory if before else 0),
            tuple(room.images),
            room.core_price,
            room.fetch_s_per_gb,
        )

    def plan(self) -> list[tuple[str, Offer]]:
        """Offer free room to the teams in turn: a message for each owner that gets some."""
        term = self._leadership.term
        if term is None or not self._leadership.may_start_tasks():
            return []
        now_us = self._clock.now_us()
        self._drop_reservations()
        busy = {r.node for r in self._reservations} | self._leadership.suspected()
        unplaced = self._registry.unplaced
        if not any(unplaced.values()):
            # In calm times most plans find nothing to place: no need to look at the machines.
            self._scaler.clear_blocked_jobs()
            return []
        rooms = self.free_capacities()
        usage = self._registry.usage()
        zones = self._inventory.zones_by_machine()
        queues = [
            TeamQueue(
                team,
                unplaced.get(name, {}).values(),
                usage.get(name) or Usage(),
                zones,
                self._failed_on,
                {},
                self._urgency,
                self._clock.wall_us(),
            )
            for name, team in self._teams.items()
            if term.owners.get(name) not in busy and self._cool.get(name, 0) <= now_us
        ]
        slots: dict[tuple[str, str], MachineOffer] = {}
        for placing in place_across_teams(queues, rooms, self._shares):
            for _, room in placing.task_capacities():
                self._add_slot(slots, placing.job, room)
        self._scaler.record_blocked_jobs(queues)
        self._keep_room(queues, rooms)
        by_node: dict[str, dict[str, list[MachineOffer]]] = {}
        for (team, _), slot in slots.items():
            node = term.owners.get(team)
            if node is not None:
                by_node.setdefault(node, {}).setdefault(team, []).append(slot)
        offers: list[tuple[str, Offer]] = []
        for node, teams in by_node.items():
            bound = {
                attempt.machine
                for team in teams
                for job in unplaced[team].values()
                if job.spec.spread or job.spec.one_zone
                for attempt in job.live_attempts()
            }
            offer = Offer(
                term.term,
                tuple(TeamOffer(t, tuple(s)) for t, s in teams.items()),
                {machine: zones[machine] for machine in bound if machine in zones},
            )
            flat = [slot for group in teams.values() for slot in group]
            self._reservations.append(_Reservation(node, tuple(teams), flat, now_us + _RESERVED_US))
            offers.append((node, offer))
        # Rooms the turns took from are among these, so they are built anew.
        self._note_reserved()
        return offers
