"""Tracks free capacity by machine and plans which of it to offer to the team owners."""

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

_RESERVATION_US = 5 * SECOND_US
# How long a team gets no offer after its owner has placed nothing on the last one.
_UNUSED_OFFER_PAUSE_US = 500_000
# A claim for an overdue job expires after this; another machine may be chosen then.
_OVERDUE_CLAIM_US = 10 * SECOND_US


class _Reservation(Struct):
    """Capacity that was offered to an owner and is not yet visible in the records."""

    node: str
    teams: tuple[str, ...]
    machine_offers: list[MachineOffer]
    expires_at_us: int
    # The revision in the owner's answer. The reservation ends when the mirror has reached it.
    revision: int | None = None


class OfferPlanner:
    """Keeps the free capacity by machine, its reservations and claims, and plans offers."""

    def __init__(
        self,
        settings: Settings,
        mirror: Mirror,
        registry: JobRegistry,
        inventory: Inventory,
        leadership: Leadership,
        scaler: FleetScaler,
        clock: Clock,
        failed_machines_by_job: Mapping[str, set[str]],
    ) -> None:
        self._mirror = mirror
        self._registry = registry
        self._inventory = inventory
        self._leadership = leadership
        self._scaler = scaler
        self._clock = clock
        self._failed_machines_by_job = failed_machines_by_job
        self._queue_order = QueueOrder(settings.params.objectives, settings.params.teams)
        self._teams = {team.name: team for team in settings.params.teams}
        self._shares = {
            name: settings.tuning.shares.get(name) or max(1.0, team.cpus)
            for name, team in self._teams.items()
        }
        self._silent_after_us = to_us(
            settings.tuning.fleet.silent_reports * settings.params.workers.report_s
        )
        self._reservations: list[_Reservation] = []
        self._paused_until_us: dict[str, int] = {}
        self._claims: dict[str, tuple[int, frozenset[str]]] = {}
        # Free capacity by machine; None if nothing may be placed there. It is computed anew only
        # for machines that have changed, so that the cost of a plan depends on the number of
        # changes and not on the number of machines.
        self._capacities: dict[str, FreeCapacity | None] = {}
        self._changed: set[str] = set()
        self._cordoned: set[str] = set()
        self._reserved_by_machine: dict[str, list[MachineOffer]] = {}
        registry.on_machine_changed.append(self.mark_changed)

    def reset(self) -> None:
        """Discard reservations and free capacities; called when this controller stops leading."""
        self._reservations.clear()
        self._reserved_by_machine.clear()
        self._capacities.clear()
        self._changed.clear()

    def mark_changed(self, name: str) -> None:
        """Have a machine's free capacity computed anew at its next use."""
        self._changed.add(name)

    def mark_periodic_changes(self) -> None:
        """Mark machines changed by time alone or by a new set of cordoned machines."""
        now_us = self._clock.now_us()
        for name in [n for n, (until_us, _) in self._claims.items() if until_us < now_us]:
            del self._claims[name]
            self.mark_changed(name)
        self._changed |= self._cordoned ^ self._scaler.cordoned
        self._cordoned = self._scaler.cordoned
        for name, machine in self._inventory.machines.items():
            capacity = self._capacities.get(name)
            if name not in self._capacities or (capacity is not None and self.is_silent(machine)):
                self.mark_changed(name)

    def is_silent(self, machine: Machine) -> bool:
        """Return whether a machine has not reported for too long to place anything on it."""
        return self._clock.now_us() - machine.last_seen_at_us > self._silent_after_us

    def free_capacities(self) -> list[FreeCapacity]:
        """Return the free capacity of every usable machine.

        The caller copies an item before it changes it.
        """
        changed, self._changed = self._changed, set()
        for name in sorted(changed):
            machine = self._inventory.machines.get(name)
            if machine is None:
                self._capacities.pop(name, None)
            else:
                self._capacities[name] = self._build(machine)
        return [capacity for capacity in self._capacities.values() if capacity is not None]

    def free_capacity(self, machine: Machine) -> FreeCapacity | None:
        """Return the free capacity of a machine; None if nothing may be placed there."""
        if machine.name in self._changed or machine.name not in self._capacities:
            self._changed.discard(machine.name)
            self._capacities[machine.name] = self._build(machine)
        return self._capacities[machine.name]

    def claim(self, machine: str, until_us: int, job_id: str) -> None:
        """Hold capacity of a machine for a job until an instant, besides earlier claims on it."""
        self._claims[machine] = (until_us, self._claiming_jobs(machine) | {job_id})
        self.mark_changed(machine)

    def is_reserved(self, name: str) -> bool:
        """Return whether capacity of a machine is reserved for an offer.

        It is until the offer's placements are in the mirror, or the reservation expires unanswered.
        """
        return name in self._reserved_by_machine

    def on_answer(self, node: str, answer: OfferAnswer | None) -> None:
        """Process an owner's answer to an offer; None if no answer came."""
        now_us = self._clock.now_us()
        for reservation in self._reservations:
            if reservation.node == node and reservation.revision is None:
                if answer is None:
                    # The owner may still be placing tasks: the reservation stays until it expires.
                    continue
                reservation.revision = answer.revision
                if answer.placed == 0:
                    for team in reservation.teams:
                        self._paused_until_us[team] = now_us + _UNUSED_OFFER_PAUSE_US

    def attempts_using_capacity(self, machine: Machine) -> Iterator[AttemptKey]:
        """Yield the attempts on a machine except those whose exit the worker has reported.

        The records show an exit later, as their write rate is limited; the capacity is free as
        soon as the exit is reported.
        """
        attempts = self._registry.attempts_on(machine.name)
        if not machine.exited_tasks:
            yield from attempts
            return
        for key in attempts:
            if (task_name(key[0], key[1]), key[2]) not in machine.exited_tasks:
                yield key

    def _update_usage(self, machine: Machine, running: list[Job]) -> None:
        """Update what a machine's tasks use and since when it has been idle."""
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
        """Compute a machine's free capacity, less reservations; None if it may not be used."""
        jobs = self._registry.jobs
        running = [jobs[key[0]] for key in self.attempts_using_capacity(machine) if key[0] in jobs]
        self._update_usage(machine, running)
        machine_type = self._inventory.types.get(machine.type)
        if (
            machine_type is None
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
        price = machine_type.spot_price if machine.spot else machine_type.price
        capacity = FreeCapacity(
            machine=machine.name,
            type=machine.type,
            zone=machine.zone,
            spot=machine.spot,
            session=machine.session,
            cpus=milli_floor(machine_type.cpus),
            gpus=milli_floor(machine_type.gpus),
            memory=milli_floor(machine_type.memory_gb),
            images=frozenset(machine.cached_images),
            core_price=price / max(1.0, machine_type.cpus),
            fetch_s_per_gb=1.0 / max(0.001, machine_type.fetch_gb_per_s),
            cordoned=machine.name in self._scaler.cordoned,
            claimed_by=self._claiming_jobs(machine.name),
        )
        for job in running:
            capacity.allocate(job)
        for offer in self._reserved_by_machine.get(machine.name, ()):
            capacity.cpus -= offer.cpus
            capacity.gpus -= offer.gpus
            capacity.memory -= offer.memory
        return capacity

    def _claiming_jobs(self, name: str) -> frozenset[str]:
        until_us, jobs = self._claims.get(name, (0, frozenset()))
        return jobs if self._clock.now_us() < until_us else frozenset()

    def _claim_for_overdue_jobs(
        self, queues: Iterable[TeamQueue], capacities: list[FreeCapacity]
    ) -> None:
        """Claim a machine for each overdue job that fits nowhere now and has no claim yet."""
        until_us = self._clock.now_us() + _OVERDUE_CLAIM_US
        for queue in queues:
            for job in queue.unschedulable:
                if not queue.is_overdue(job) or any(job.id in c[1] for c in self._claims.values()):
                    continue
                fitting_types = {
                    n for n, t in self._inventory.types.items() if fits_machine_type(job.spec, t)
                }
                capacity = capacity_to_claim(job, capacities, fitting_types)
                if capacity is not None:
                    log.info("claiming capacity of %s for overdue job %s", capacity.machine, job.id)
                    self.claim(capacity.machine, until_us, job.id)

    def _remove_ended_reservations(self) -> None:
        """Remove reservations that have expired or whose placements the mirror shows.

        If this controller is the owner, an answered reservation ends at once: the owner applies its
        commits to the mirror itself, without waiting for the watch.
        """
        now_us = self._clock.now_us()
        remaining = [
            r
            for r in self._reservations
            if (r.revision is None and now_us < r.expires_at_us)
            or (
                r.revision is not None
                and r.node != self._leadership.node
                and self._mirror.revision < r.revision
            )
        ]
        if len(remaining) < len(self._reservations):
            self._reservations = remaining
            self._index_reservations()

    def _index_reservations(self) -> None:
        """Group the reservations by machine, and mark all machines concerned as changed."""
        for name in self._reserved_by_machine:
            self.mark_changed(name)
        self._reserved_by_machine = {}
        for reservation in self._reservations:
            for offer in reservation.machine_offers:
                self._reserved_by_machine.setdefault(offer.machine, []).append(offer)
        for name in self._reserved_by_machine:
            self.mark_changed(name)

    @staticmethod
    def _add_task(
        machine_offers: dict[tuple[str, str], MachineOffer], job: Job, capacity: FreeCapacity
    ) -> None:
        """Add the capacity for one task of a job to what its team is offered on a machine."""
        key = (job.spec.team, capacity.machine)
        earlier = machine_offers.get(key)
        machine_offers[key] = MachineOffer(
            capacity.machine,
            capacity.type,
            capacity.zone,
            capacity.spot,
            capacity.session,
            job.cpus + (earlier.cpus if earlier else 0),
            job.gpus + (earlier.gpus if earlier else 0),
            job.memory + (earlier.memory if earlier else 0),
            tuple(capacity.images),
            capacity.core_price,
            capacity.fetch_s_per_gb,
        )

    def plan(self) -> list[tuple[str, Offer]]:
        """Divide free capacity among the teams; return an offer for each owner that gets some."""
        term = self._leadership.term
        if term is None or not self._leadership.may_start_tasks():
            return []
        now_us = self._clock.now_us()
        self._remove_ended_reservations()
        busy = {r.node for r in self._reservations} | self._leadership.suspected()
        unplaced = self._registry.unplaced
        if not any(unplaced.values()):
            # Usually no task is waiting, so the machines need not be examined.
            self._scaler.clear_blocked_jobs()
            return []
        capacities = self.free_capacities()
        usage = self._registry.usage()
        zones = self._inventory.zones_by_machine()
        queues = [
            TeamQueue(
                team,
                unplaced.get(name, {}).values(),
                usage.get(name) or Usage(),
                zones,
                self._failed_machines_by_job,
                # Only the owner of a team delays jobs after failures; the leader delays none.
                {},
                self._queue_order,
                self._clock.wall_us(),
            )
            for name, team in self._teams.items()
            if term.owners.get(name) not in busy and self._paused_until_us.get(name, 0) <= now_us
        ]
        machine_offers: dict[tuple[str, str], MachineOffer] = {}
        for placement in place_across_teams(queues, capacities, self._shares):
            for _, capacity in placement.task_capacities():
                self._add_task(machine_offers, placement.job, capacity)
        self._scaler.record_blocked_jobs(queues)
        self._claim_for_overdue_jobs(queues, capacities)
        by_node: dict[str, dict[str, list[MachineOffer]]] = {}
        for (team, _), machine_offer in machine_offers.items():
            node = term.owners.get(team)
            if node is not None:
                by_node.setdefault(node, {}).setdefault(team, []).append(machine_offer)
        offers: list[tuple[str, Offer]] = []
        for node, teams in by_node.items():
            zone_rule_machines = {
                attempt.machine
                for team in teams
                for job in unplaced[team].values()
                if job.spec.spread or job.spec.one_zone
                for attempt in job.live_attempts()
            }
            offer = Offer(
                term.term,
                tuple(TeamOffer(team, tuple(group)) for team, group in teams.items()),
                {machine: zones[machine] for machine in zone_rule_machines if machine in zones},
            )
            reserved = [machine_offer for group in teams.values() for machine_offer in group]
            self._reservations.append(
                _Reservation(node, tuple(teams), reserved, now_us + _RESERVATION_US)
            )
            offers.append((node, offer))
        # place_across_teams has reduced the cached free capacities. _index_reservations marks the
        # machines of all reservations as changed, so that their free capacity is computed anew.
        self._index_reservations()
        return offers
