"""Which machines the leader releases as overdue.

The cloud's answer to the release proves that nothing runs on them any more.
"""

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

# How long workers may take to find a new leader, or to reconnect after a network partition.
WORKER_RECONNECT_US = 8 * SECOND_US
# A report is late this many report intervals after the last one.
_LATE_REPORT_INTERVALS = 2.2


class OverdueMachines:
    """Finds machines that are silent, unresponsive to commands or late to boot."""

    def __init__(
        self, settings: Settings, inventory: Inventory, leadership: Leadership, clock: Clock
    ) -> None:
        workers, fleet = settings.params.workers, settings.tuning.fleet
        lease_us = to_us(workers.lease_s)
        self.silence_limits = SilenceLimits(
            to_us(_LATE_REPORT_INTERVALS * workers.report_s),
            to_us(fleet.silent_reports * workers.report_s),
            lease_us,
            lease_us + leadership.max_unconfirmed_us,
        )
        self._boot_patience = fleet.boot_patience
        self._inventory = inventory
        self._leadership = leadership
        self._clock = clock
        # The zone of each controller.
        self._zone_by_controller = {peer.host_name: peer.zone for peer in settings.known}
        self._zone_by_controller[settings.host_name] = settings.zone
        # By zone: when it last had no reachable controller, and when many of its machines were
        # last late to report.
        self._no_controller_at_us: dict[str, int] = {}
        self._many_late_at_us: dict[str, int] = {}

    def reset(self) -> None:
        """Discard all state; called when this controller stops leading."""
        self._no_controller_at_us.clear()
        self._many_late_at_us.clear()

    def overdue(self, since_us: int) -> Iterator[tuple[Machine, str]]:
        """Yield the machines to release now and why; silence counts from ``since_us`` on."""
        now_us = self._clock.now_us()
        # A machine that does not execute commands is treated like one that does not report.
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
                yield machine, "its spot notice has expired"
                # Its silence is no sign of a network partition.
                del silences[name]
        yield from self._silent(silences)
        for machine in list(self._inventory.machines.values()):
            machine_type = self._inventory.types.get(machine.type)
            if machine.phase == "up" or machine.releasing or machine_type is None:
                continue
            if now_us - machine.phase_since_us < WORKER_RECONNECT_US:
                continue
            if now_us - machine.rented_at_us > self._boot_patience * to_us(machine_type.boot_s):
                yield machine, "did not boot in time"

    def _silent(self, silences: dict[str, int]) -> Iterator[tuple[Machine, str]]:
        """Yield the machines to release for their silence, and the reason."""
        zone_of = {name: self._inventory.machines[name].zone for name in silences}
        # When a network partition heals, the last machines report again later than most others, and
        # by then few are late in their zone. Each of them would seem to have become silent on its
        # own and be released: on a standard test day a third of a zone was released in that second.
        # So _recent_zones keeps a zone in the set for WORKER_RECONNECT_US after it was last in that
        # state.
        late_zones = self._recent_zones(
            self._many_late_at_us, zones_with_many_late(silences, self.silence_limits, zone_of)
        )
        zones_without_controller = set(
            self._zone_by_controller.values()
        ) - self._leadership.zones_with_controller(self._zone_by_controller)
        cut_off_zones = self._recent_zones(self._no_controller_at_us, zones_without_controller)
        for name in machines_to_release(
            silences, self.silence_limits, zone_of, late_zones, cut_off_zones
        ):
            machine = self._inventory.machines[name]
            state = (
                "silent" if machine.not_receiving_since_us is None else "unresponsive to commands"
            )
            yield machine, f"{state} for {silences[name] / SECOND_US:.1f} s"

    def _recent_zones(self, last_at_us: dict[str, int], zones: Iterable[str]) -> set[str]:
        """Record that zones are in a state now; return all that were within the reconnect time."""
        now_us = self._clock.now_us()
        last_at_us.update(dict.fromkeys(zones, now_us))
        return {zone for zone, at_us in last_at_us.items() if now_us - at_us < WORKER_RECONNECT_US}
