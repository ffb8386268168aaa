"""Which machines the leader gives up: it releases them, and the cloud's answer is the proof."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from mosswalk.actors import SECOND_US, Clock, to_us
from mosswalk.config import Settings
from mosswalk.fleet.inventory import Inventory, Machine
from mosswalk.fleet.silence import (
    SilenceLimits,
    is_reclaimed,
    machines_to_release,
    zones_with_many_late,
)
from mosswalk.leadership.actor import Leadership

# How long workers may take to find their way to a new leader, or back after a cut.
WORKER_RECONNECT_US = 8 * SECOND_US


class OverdueMachines:
    """Looks for machines that say nothing, do nothing, or never came up."""

    def __init__(
        self, settings: Settings, inventory: Inventory, leadership: Leadership, clock: Clock
    ) -> None:
        workers, fleet = settings.params.workers, settings.tuning.fleet
        lease_us = to_us(workers.lease_s)
        self.silence_limits = SilenceLimits(
            to_us(2.2 * workers.report_s),
            to_us(fleet.silent_reports * workers.report_s),
            lease_us,
            lease_us + leadership.max_unconfirmed_us,
        )
        self._boot_patience = fleet.boot_patience
        self._inventory = inventory
        self._leadership = leadership
        self._clock = clock
        # Where each controller is.
        self._controllers = {peer.host_name: peer.zone for peer in settings.known}
        self._controllers[settings.host_name] = settings.zone
        # When a zone had no controller that could be seen, and when many machines were quiet in it.
        self._unseen_us: dict[str, int] = {}
        self._quiet_us: dict[str, int] = {}

    def reset(self) -> None:
        """Forget all: another controller leads."""
        self._unseen_us.clear()
        self._quiet_us.clear()

    def overdue(self, since_us: int) -> Iterator[tuple[Machine, str]]:
        """Machines to release now, and why; silences are counted from an instant on."""
        now_us = self._clock.now_us()
        # One that does not carry out what it is told is as bad as one that says nothing.
        silences = {
            m.name: now_us
            - max(since_us, min(m.last_seen_at_us, m.not_receiving_since_us or m.last_seen_at_us))
            for m in self._inventory.machines.values()
            if m.phase == "up" and not m.releasing
        }
        for name in list(silences):
            machine = self._inventory.machines[name]
            if is_reclaimed(
                silences[name], machine.spot_notice_until_us, now_us, self.silence_limits
            ):
                yield machine, "its notice is over"
                # Its silence says nothing of a cut.
                del silences[name]
        yield from self._silent(silences)
        for machine in list(self._inventory.machines.values()):
            shape = self._inventory.types.get(machine.type)
            if machine.phase == "up" or machine.releasing or shape is None:
                continue
            if now_us - machine.phase_since_us < WORKER_RECONNECT_US:
                continue
            if now_us - machine.rented_at_us > self._boot_patience * to_us(shape.boot_s):
                yield machine, "never came up"

    def _silent(self, silences: dict[str, int]) -> Iterator[tuple[Machine, str]]:
        zone_of = {name: self._inventory.machines[name].zone for name in silences}
        # When a cut heals, most are heard again before the last one: seen on a standard day, a
        # third of a zone was released in that second, as if each of them had fallen silent alone.
        quiet = self._lately(
            self._quiet_us, zones_with_many_late(silences, self.silence_limits, zone_of)
        )
        unseen = set(self._controllers.values()) - self._leadership.zones_with_controller(
            self._controllers
        )
        cut_off = self._lately(self._unseen_us, unseen)
        for name in machines_to_release(silences, self.silence_limits, zone_of, quiet, cut_off):
            machine = self._inventory.machines[name]
            what = "silent" if machine.not_receiving_since_us is None else "does not hear"
            yield machine, f"{what} for {silences[name] / SECOND_US:.1f} s"

    def _lately(self, seen_us: dict[str, int], zones: Iterable[str]) -> set[str]:
        """Zones of which something is so, or was until workers can have found their way back."""
        now_us = self._clock.now_us()
        seen_us.update(dict.fromkeys(zones, now_us))
        return {zone for zone, at_us in seen_us.items() if now_us - at_us < WORKER_RECONNECT_US}
