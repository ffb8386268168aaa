"""Whom the workers turn to: how a leader that is cut off from them alone finds out.

It still has the state service and the other controllers, so its lease holds and nobody else would
lead. Seen on a standard day: a leader lost its workers for 30 s, went on leading, and every lease
in the fleet ran out.
"""

from __future__ import annotations

from collections import OrderedDict

from mosswalk.actors import Clock

# A fleet smaller than this may well be quiet for a moment.
_FEWEST = 3
# Fewer than one machine in this many is as good as none, or a number to be taken seriously.
_PART = 10


class RecentWorkers:
    """Machines whose workers came to a controller that does not lead, within a while."""

    def __init__(self, while_us: int, clock: Clock) -> None:
        self._while_us = while_us
        self._clock = clock
        self._seen_us: OrderedDict[str, int] = OrderedDict()

    def record(self, machine: str) -> None:
        """A worker was sent on."""
        self._seen_us[machine] = self._clock.now_us()
        self._seen_us.move_to_end(machine)
        self._drop_old()

    def contains(self, machine: str) -> bool:
        """Whether a machine's worker came within the while."""
        self._drop_old()
        return machine in self._seen_us

    def count(self) -> int:
        """How many came within the while."""
        self._drop_old()
        return len(self._seen_us)

    def _drop_old(self) -> None:
        oldest_us = self._clock.now_us() - self._while_us
        while self._seen_us and next(iter(self._seen_us.values())) < oldest_us:
            self._seen_us.popitem(last=False)


def leader_unreachable_for_workers(up: int, heard: int, elsewhere: int) -> bool:
    """Whether the workers try to reach other controllers since they can't reach the leader.

    When they are silent everywhere, it is they who are cut off or dead, and a new leader would
    not hear them either.
    """
    return up >= _FEWEST and heard * _PART < up <= elsewhere * _PART and elsewhere > heard
