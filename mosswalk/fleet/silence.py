"""Decides which silent machines to release.

A confirmed release proves that the machine's tasks have terminated, but it also ends tasks that ran
normally.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Container, Mapping

from msgspec import Struct


class SilenceLimits(Struct, frozen=True):
    """How long machines may be silent, in microseconds."""

    # More than one report is missing.
    late_after_us: int
    # A machine silent for this long is presumed dead, unless many others in its zone are late too.
    silent_after_us: int
    # Added where many are late: by then the worker's lease has expired and its tasks have ended.
    lease_us: int
    # Added instead where a controller that the others can't reach may have renewed the lease.
    kept_alive_lease_us: int = 0


def zones_with_many_late(
    silences: Mapping[str, int], silence_limits: SilenceLimits, zone_by_machine: Mapping[str, str]
) -> set[str]:
    """Zones in which the reports of many machines are late at the same time.

    Many means at least 3 machines and more than a third of those in the zone.

    A network partition, or a fault of the leader, is more likely there than that many dead
    machines. Late reports count, rather than silent machines, since machines report at different
    times and a partition shows in a few of them at first. Each zone is checked by itself, since
    partitions follow zone boundaries.
    """
    total = Counter(zone_by_machine[name] for name in silences)
    late = Counter(
        zone_by_machine[n]
        for n, silence_us in silences.items()
        if silence_us > silence_limits.late_after_us
    )
    return {zone for zone, count in late.items() if count >= 3 and count * 3 > total[zone]}


def machines_to_release(
    silences: Mapping[str, int],
    silence_limits: SilenceLimits,
    zone_by_machine: Mapping[str, str],
    late_zones: Container[str],
    cut_off_zones: Container[str] = (),
) -> list[str]:
    """Machines to release, given how long each has been silent.

    In ``late_zones`` many reports are late and tasks may still run normally, so machines are not
    released before their leases have expired anyway. In ``cut_off_zones`` no controller can be
    reached either, and one of them may have renewed the leases.
    """

    def limit_us(zone: str) -> int:
        if zone not in late_zones:
            return silence_limits.silent_after_us
        return silence_limits.silent_after_us + (
            silence_limits.kept_alive_lease_us if zone in cut_off_zones else silence_limits.lease_us
        )

    return sorted(
        n for n, silence_us in silences.items() if silence_us > limit_us(zone_by_machine[n])
    )


def is_reclaimed(
    silence_us: int, spot_notice_until_us: int | None, now_us: int, silence_limits: SilenceLimits
) -> bool:
    """Whether the cloud has reclaimed a spot machine after its notice.

    The end of the notice is known, so one missing report after it is proof enough. When many
    machines are reclaimed together, waiting for the full silence of each would delay the restart
    of all their tasks elsewhere.
    """
    notice_expired = spot_notice_until_us is not None and now_us > spot_notice_until_us
    return notice_expired and silence_us > silence_limits.late_after_us // 2
