"""Which silent machines to release: a pure decision.

Releasing is the proof that a machine's tasks are gone, but it also ends tasks that were well.
"""

from __future__ import annotations

from collections.abc import Container, Mapping
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Patience:
    """How long to wait, in microseconds."""

    # More than one report has been missed.
    quiet_us: int
    # A lone machine this silent is taken for dead.
    silent_us: int
    # Its lease has run out, and with it all its tasks.
    lease_us: int
    # The same where a controller may have kept its lease up after all others lost sight of it.
    kept_us: int = 0


def to_release(
    silences: Mapping[str, int],
    patience: Patience,
    zone_of: Mapping[str, str],
    cut_off: Container[str] = (),
) -> list[str]:
    """Machines to release, by how long each has been silent.

    When many are quiet at once, the trouble is more likely a cut, or our own, than many dead
    machines. Their tasks may be well, so these wait until their leases have ended anyway. Quiet
    counts, not silent: machines report at different moments, so a cut shows in a few at a time.
    Zone by zone, since zones are what is cut off; in those of ``cut_off`` no controller is seen
    either, so one may keep the machines' tasks alive there.
    """
    by_zone: dict[str, dict[str, int]] = {}
    for name, silence_us in silences.items():
        by_zone.setdefault(zone_of[name], {})[name] = silence_us
    gone: list[str] = []
    for zone, there in by_zone.items():
        quiet = sum(1 for silence_us in there.values() if silence_us > patience.quiet_us)
        limit_us = patience.silent_us
        if quiet >= 3 and quiet * 3 > len(there):
            limit_us += patience.kept_us if zone in cut_off else patience.lease_us
        gone += (name for name, silence_us in there.items() if silence_us > limit_us)
    return sorted(gone)


def taken(silence_us: int, notice_until_us: int | None, now_us: int, patience: Patience) -> bool:
    """Whether the cloud has taken a machine back, as it gave notice of.

    Its time is known, so one missed report after it is enough: in a wave, waiting for each one's
    full silence keeps all that was lost from starting elsewhere.
    """
    over = notice_until_us is not None and now_us > notice_until_us
    return over and silence_us > patience.quiet_us // 2
