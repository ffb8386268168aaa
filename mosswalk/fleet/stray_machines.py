"""Probes machines that may still report to the previous leader."""

from __future__ import annotations

from mosswalk.actors import SECOND_US, Clock
from mosswalk.fleet.command_sender import CommandSender
from mosswalk.fleet.inventory import Inventory, Machine
from mosswalk.leadership.actor import Leadership

# Workers mostly find a new leader by themselves within this time. After it they are probed, and
# again at intervals of the same length.
_PROBE_INTERVAL_US = 2 * SECOND_US
# The limit of probes per tick is never below this number.
_MIN_PROBE_LIMIT = 64
# In a large fleet the limit is the number of machines over this divisor, so that probing all of
# them takes no longer than half a lease.
_PROBE_LIMIT_DIVISOR = 16


class StrayMachines:
    """Finds machines that have not reported under a term of this leader, and probes them.

    The previous leader may be cut off from the state service and from this leader, but not from
    these machines, and answers them until its authority expires. A worker that has seen this
    leader's term discards those answers, and its reports make the previous leader step down.
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
        """Probe the next of these machines, up to the limit per tick."""
        now_us = self._clock.now_us()
        if now_us - leading_since_us < _PROBE_INTERVAL_US or not self._leadership.may_start_tasks():
            return
        machines = self._inventory.machines
        strays = [machine for machine in machines.values() if self._is_stray(machine, now_us)]
        max_probes = max(_MIN_PROBE_LIMIT, len(machines) // _PROBE_LIMIT_DIVISOR)
        for machine in strays[:max_probes]:
            self._command_sender.probe(machine)

    @staticmethod
    def _is_stray(machine: Machine, now_us: int) -> bool:
        return (
            machine.phase == "up"
            and (machine.needs_direct_answer or not machine.has_acknowledged_leader)
            and machine.address is not None
            and not machine.releasing
            and (machine.probed_at_us is None or now_us - machine.probed_at_us > _PROBE_INTERVAL_US)
        )
