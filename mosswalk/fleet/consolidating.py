"""Moves replicas together in calm times, so that machines can be given back."""

from __future__ import annotations

import logging

from mosswalk.actors import SECOND_US, Clock
from mosswalk.factory.consolidate import ReplicaHost, choose_machine_to_drain
from mosswalk.fleet.inventory import Inventory, Machine
from mosswalk.fleet.offers import OfferPlanner
from mosswalk.jobs.registry import AttemptKey, JobRegistry
from mosswalk.jobs.state import Job
from mosswalk.store.records import Attempt

log = logging.getLogger(__name__)

# A start that is stopped within 30 s does not count for its user.
_SETTLED_US = 60 * SECOND_US
# How long a machine that is being emptied gets nothing new: its give-back takes a while.
_EMPTYING_US = 30 * SECOND_US
# One replica at a time is moved for this many that run.
_RUNNING_A_MOVE = 250


class Consolidator:
    """Chooses replicas to stop; the team owners place them again like any other."""

    def __init__(
        self, inventory: Inventory, registry: JobRegistry, offers: OfferPlanner, clock: Clock
    ) -> None:
        self._inventory = inventory
        self._registry = registry
        self._offers = offers
        self._clock = clock
        self._seen_us: dict[AttemptKey, int] = {}
        self._moved: set[str] = set()
        self._emptying: dict[str, int] = {}

    def draining(self) -> set[str]:
        """Machines that are to get nothing new."""
        now_us = self._clock.now_us()
        self._emptying = {m: until for m, until in self._emptying.items() if until > now_us}
        return set(self._emptying)

    def _host(
        self, machine: Machine, before: dict[AttemptKey, int], now_us: int
    ) -> ReplicaHost | None:
        room, shape = self._offers.free_capacity(machine), self._inventory.types.get(machine.type)
        if room is None or shape is None or not machine.has_replica:
            return None
        replicas: list[tuple[Job, Attempt]] = []
        settled = True
        for key, attempt in self._registry.attempts_on(machine.name).items():
            job = self._registry.jobs.get(key[0])
            if job is None or not job.open or job.spec.kind != "daemon":
                settled = False
                continue
            replicas.append((job, attempt))
            since_us = self._seen_us[key] = before.get(key, now_us)
            settled = settled and now_us - since_us >= _SETTLED_US
        price = shape.spot_price if machine.spot else shape.price
        return ReplicaHost(room, machine.utilization(shape), price, replicas, settled)

    def choose_replicas(self) -> list[tuple[Job, Attempt]]:
        """The replicas to stop now."""
        now_us = self._clock.now_us()
        before, self._seen_us = self._seen_us, {}
        found = (
            self._host(machine, before, now_us) for machine in self._inventory.machines.values()
        )
        hosts = [host for host in found if host is not None]
        running = sum(len(host.replicas) for host in hosts)
        self._moved = {
            job_id
            for job_id in self._moved
            if (job := self._registry.jobs.get(job_id)) is not None and job.pending_count() > 0
        }
        if self._moved:
            # One that was stopped has no place yet: first things first.
            return []
        host = choose_machine_to_drain(hosts, self._inventory.zones_by_machine())
        if host is None:
            return []
        name = host.capacity.machine
        if name not in self._emptying:
            log.info("emptying %s: its %d replicas fit elsewhere", name, len(host.replicas))
        self._emptying[name] = now_us + _EMPTYING_US
        chosen = host.replicas[: max(1, running // _RUNNING_A_MOVE)]
        self._moved = {job.id for job, _ in chosen}
        return chosen
