"""Which silent machines to release: a pure decision.

Releasing is the proof that a machine's tasks are gone, but it also ends tasks that were well.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Container, Mapping

from msgspec import Struct


class SilenceLimits(Struct, frozen=True):
    """How long to wait, in microseconds."""

    # More than one report has been missed.
    late_after_us: int
    # A lone machine this silent is taken for dead.
    silent_after_us: int
    # Its lease has run out, and with it all its tasks.
    lease_us: int
    # The same where a controller may have kept its lease up after all others lost sight of it.
    kept_alive_lease_us: int = 0


def zones_with_many_late(
    silences: Mapping[str, int], silence_limits: SilenceLimits, zone_of: Mapping[str, str]
) -> set[str]:
    """Zones in which many machines are quiet at once.

    The trouble there is more likely a cut, or our own, than many dead machines. Quiet counts, not
    silent: machines report at different moments, so a cut shows in a few at a time. Zone by zone,
    since zones are what is cut off.
    """
    there = Counter(zone_of[name] for name in silences)
    quiet = Counter(
        zone_of[n]
        for n, silence_us in silences.items()
        if silence_us > silence_limits.late_after_us
    )
    return {zone for zone, count in quiet.items() if count >= 3 and count * 3 > there[zone]}


def machines_to_release(
    silences: Mapping[str, int],
    silence_limits: SilenceLimits,
    zone_of: Mapping[str, str],
    quiet: Container[str],
    cut_off: Container[str] = (),
) -> list[str]:
    """Machines to release, by how long each has been silent.

    Where many are ``quiet``, their tasks may be well, so they are given until their leases have
    ended anyway. Where no controller is seen either, one may have kept the leases up.
    """

    def limit_us(zone: str) -> int:
        if zone not in quiet:
            return silence_limits.silent_after_us
        return silence_limits.silent_after_us + (
            silence_limits.kept_alive_lease_us if zone in cut_off else silence_limits.lease_us
        )

    return sorted(n for n, silence_us in silences.items() if silence_us > limit_us(zone_of[n]))


def is_reclaimed(
    silence_us: int, notice_until_us: int | None, now_us: int, silence_limits: SilenceLimits
) -> bool:
    """Whether the cloud has taken a machine back, as it gave notice of.

    Its time is known, so one missed report after it is enough: in a wave, waiting for each one's
    full silence keeps all that was lost from starting elsewhere.
    """
    over = notice_until_us is not None and now_us > notice_until_us
    return over and silence_us > silence_limits.late_after_us // 2
