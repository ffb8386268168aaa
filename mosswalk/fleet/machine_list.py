"""Updates the inventory from the cloud's machine list.

The list lags behind: a machine that is missing from it is not proven to be gone.
"""

from __future__ import annotations

import logging
from typing import Literal, Protocol

from mosswalk.actors import Clock, to_us
from mosswalk.cloud.actor import ListResult
from mosswalk.fleet.inventory import Inventory, Machine
from mosswalk.fleet.offers import OfferPlanner
from mosswalk.wire.cloud import ListedMachine

log = logging.getLogger(__name__)


class MachineReleaser(Protocol):
    """Releases machines to the cloud."""

    def release(self, machine: Machine, reason: str) -> None:
        """Release a machine."""


class MachineListIntake:
    """Adds listed machines that are not known yet and releases those that have failed."""

    def __init__(
        self, inventory: Inventory, offers: OfferPlanner, releaser: MachineReleaser, clock: Clock
    ) -> None:
        self._inventory = inventory
        self._offers = offers
        self._releaser = releaser
        self._clock = clock

    def process(self, message: ListResult) -> None:
        """Update the inventory from a list."""
        for row in message.machines:
            if self._inventory.is_gone(row.name):
                continue
            if row.phase == "failed":
                self._process_failed(row)
            else:
                self._process_present(row)

    def _process_failed(self, row: ListedMachine) -> None:
        machine = self._inventory.machines.get(row.name)
        if machine is None:
            # Only a machine in the inventory can be released.
            machine = self._adopt(row, "booting")
        self._releaser.release(machine, "the cloud lists it as failed")

    def _process_present(self, row: ListedMachine) -> None:
        machine = self._inventory.machines.get(row.name)
        if machine is None:
            # A running machine may have reported to the previous leader. It counts as up, so that
            # it is not released as late to boot; if it is dead, it will be found silent.
            machine = self._adopt(row, "up" if row.phase == "running" else "booting")
            machine.rented_at_us = self._clock.now_us() - to_us(row.rented_for_s)
            log.info(
                "machine %s (%s, %s) is listed but not known: added to the inventory",
                row.name,
                row.type,
                row.zone,
            )
        elif machine.known_from_record_only:
            # The job record that names the machine does not contain its type and zone.
            machine.known_from_record_only = False
            machine.type, machine.zone, machine.spot = row.type, row.zone, row.spot
            self._offers.mark_changed(row.name)
        if machine.phase == "requested":
            machine.phase = "booting"
            machine.phase_since_us = self._clock.now_us()
        if machine.address is None:
            machine.address = row.address

    def _adopt(self, row: ListedMachine, phase: Literal["booting", "up"]) -> Machine:
        now_us = self._clock.now_us()
        return self._inventory.adopt(row.name, row.type, row.zone, row.spot, phase, now_us)
