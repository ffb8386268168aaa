"""Calls machines over that still report to the leader before this one."""

from __future__ import annotations

from mosswalk.actors import SECOND_US, Clock
from mosswalk.fleet.command_sender import CommandSender
from mosswalk.fleet.inventory import Inventory, Machine
from mosswalk.leadership.actor import Leadership

# Workers find a new leader by themselves within this time mostly; then they are called, and again
# after as long.
_CALL_AFTER_US = 2 * SECOND_US
# So many a tick, or of a large fleet this part, so that calling all of it over takes no longer
# than half a lease.
_MOST_CALLED = 64
_CALLED_PART = 16


class StrayMachines:
    """Finds machines that have not reported under an epoch of this leader's, and probes them.

    The leader before may be cut off from the state service and from this one but not from them,
    and answers them until its time is over. A worker that has seen our epoch drops its answers,
    and its reports tell it to step down.
    """

    def __init__(
        self,
        inventory: Inventory,
        leadership: Leadership,
        command_sender: CommandSender,
        clock: Clock,
    ) -> None:
        self._inventory = inventory
        self._leadership = leadership
        self._command_sender = command_sender
        self._clock = clock

    def probe(self, leading_since_us: int) -> None:
        """Call some of them over."""
        now_us = self._clock.now_us()
        if now_us - leading_since_us < _CALL_AFTER_US or not self._leadership.may_start_tasks():
            return
        machines = self._inventory.machines
        strays = [machine for machine in machines.values() if self._is_stray(machine, now_us)]
        most = max(_MOST_CALLED, len(machines) // _CALLED_PART)
        for machine in strays[:most]:
            self._command_sender.probe(machine)

    @staticmethod
    def _is_stray(machine: Machine, now_us: int) -> bool:
        return (
            machine.phase == "up"
            and (machine.needs_direct_answer or not machine.has_acknowledged_leader)
            and machine.address is not None
            and not machine.releasing
            and (machine.probed_at_us is None or now_us - machine.probed_at_us > _CALL_AFTER_US)
        )
