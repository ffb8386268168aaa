"""Consolidates replicas on fewer machines while nothing waits, so that machines can be released."""

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

# A replica is moved only after it has run for this long. A replica that is stopped within 30 s of
# its start does not count as started for its user.
_MIN_RUN_US = 60 * SECOND_US
# How long a machine stays cordoned after it was last chosen to drain: its release takes a while.
_DRAINING_US = 30 * SECOND_US
# One replica is moved at a time for each this many that are running, but at least one.
_RUNNING_PER_MOVED_REPLICA = 250


class Consolidator:
    """Chooses replicas to stop; the team owners place them again like any other task."""

    def __init__(
        self, inventory: Inventory, registry: JobRegistry, offers: OfferPlanner, clock: Clock
    ) -> None:
        self._inventory = inventory
        self._registry = registry
        self._offers = offers
        self._clock = clock
        # When each live replica was first seen by ``choose_replicas``, by attempt.
        self._first_seen_at_us: dict[AttemptKey, int] = {}
        # Jobs of which replicas were stopped and may not have been placed again yet.
        self._moving_jobs: set[str] = set()
        self._draining_until_us: dict[str, int] = {}

    def draining(self) -> set[str]:
        """Return the machines that are being drained, which are cordoned."""
        now_us = self._clock.now_us()
        self._draining_until_us = {
            m: until_us for m, until_us in self._draining_until_us.items() if until_us > now_us
        }
        return set(self._draining_until_us)

    def _replica_host(
        self, machine: Machine, previous_first_seen_at_us: dict[AttemptKey, int], now_us: int
    ) -> ReplicaHost | None:
        """Return a machine with its replicas.

        Return None if it runs none, if nothing may be placed on it or if its type is unknown. The
        replicas' times in ``previous_first_seen_at_us`` are carried over to
        ``_first_seen_at_us``; a replica without one is first seen now.
        """
        capacity, machine_type = (
            self._offers.free_capacity(machine),
            self._inventory.types.get(machine.type),
        )
        if capacity is None or machine_type is None or not machine.has_replica:
            return None
        replicas: list[tuple[Job, Attempt]] = []
        drainable = True
        for key, attempt in self._registry.attempts_on(machine.name).items():
            job = self._registry.jobs.get(key[0])
            if job is None or not job.open or job.spec.kind != "daemon":
                drainable = False
                continue
            replicas.append((job, attempt))
            since_us = self._first_seen_at_us[key] = previous_first_seen_at_us.get(key, now_us)
            drainable = drainable and now_us - since_us >= _MIN_RUN_US
        price = machine_type.spot_price if machine.spot else machine_type.price
        return ReplicaHost(capacity, machine.utilization(machine_type), price, replicas, drainable)

    def choose_replicas(self) -> list[tuple[Job, Attempt]]:
        """Return the replicas to stop now."""
        now_us = self._clock.now_us()
        # ``_replica_host`` fills the new dict with the replicas that are still live.
        previous_first_seen_at_us, self._first_seen_at_us = self._first_seen_at_us, {}
        replica_hosts = (
            self._replica_host(machine, previous_first_seen_at_us, now_us)
            for machine in self._inventory.machines.values()
        )
        hosts = [host for host in replica_hosts if host is not None]
        running = sum(len(host.replicas) for host in hosts)
        self._moving_jobs = {
            job_id
            for job_id in self._moving_jobs
            if (job := self._registry.jobs.get(job_id)) is not None and job.pending_count() > 0
        }
        if self._moving_jobs:
            # No other replica is stopped until those stopped before have been placed again.
            return []
        host = choose_machine_to_drain(hosts, self._inventory.zones_by_machine())
        if host is None:
            return []
        name = host.capacity.machine
        if name not in self._draining_until_us:
            log.info("draining %s: its %d replicas fit on other machines", name, len(host.replicas))
        self._draining_until_us[name] = now_us + _DRAINING_US
        chosen = host.replicas[: max(1, running // _RUNNING_PER_MOVED_REPLICA)]
        self._moving_jobs = {job.id for job, _ in chosen}
        return chosen
