"""Counts the workers that report to followers, to detect a leader that workers can't reach.

Such a leader still reaches the state service and the other controllers, so it keeps its lease and
no other controller would take over. On a standard test day, a leader that the workers could not
reach for 30 s went on leading, and every worker lease in the fleet expired.
"""

from __future__ import annotations

from collections import OrderedDict

from mosswalk.actors import Clock

# A smaller fleet may send no report for a moment without any fault.
_MIN_MACHINES = 3
# Workers can't reach the leader if fewer than one machine in this many reports to it and at least
# one in this many reports to other controllers.
_SIGNIFICANT_SHARE_DIVISOR = 10


class RecentWorkers:
    """Machines whose workers have reported to this follower within a time window."""

    def __init__(self, window_us: int, clock: Clock) -> None:
        self._window_us = window_us
        self._clock = clock
        self._last_seen_at_us: OrderedDict[str, int] = OrderedDict()

    def record(self, machine: str) -> None:
        """Record that a worker has reported."""
        self._last_seen_at_us[machine] = self._clock.now_us()
        self._last_seen_at_us.move_to_end(machine)
        self._discard_expired()

    def contains(self, machine: str) -> bool:
        """Whether a machine's worker has reported within the window."""
        self._discard_expired()
        return machine in self._last_seen_at_us

    def count(self) -> int:
        """The number of machines whose workers have reported within the window."""
        self._discard_expired()
        return len(self._last_seen_at_us)

    def _discard_expired(self) -> None:
        expired_before_us = self._clock.now_us() - self._window_us
        while (
            self._last_seen_at_us and next(iter(self._last_seen_at_us.values())) < expired_before_us
        ):
            self._last_seen_at_us.popitem(last=False)


def leader_unreachable_for_workers(up: int, heard: int, elsewhere: int) -> bool:
    """Whether workers report to other controllers because they can't reach the leader.

    Of the ``up`` machines, ``heard`` report to the leader and ``elsewhere`` to other controllers.
    When workers report to no controller at all, they are partitioned or dead themselves, and a new
    leader would not receive their reports either.
    """
    return (
        up >= _MIN_MACHINES
        and heard * _SIGNIFICANT_SHARE_DIVISOR < up <= elsewhere * _SIGNIFICANT_SHARE_DIVISOR
        and elsewhere > heard
    )
