"""State of each pool: how long its machines take to be up, and whether the cloud refuses them.

The CBRAIN paper is the one whose algorithms mosswalk/factory/loop.py implements.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from statistics import median

from msgspec import Struct

from mosswalk.actors import to_us
from mosswalk.factory.pareto import PoolEstimate
from mosswalk.factory.view import Pool
from mosswalk.wire.cloud import MachineType

# A pool that refused a rental is not tried again for this long.
_REFUSAL_DELAY_US = 8_000_000
# Refusals in a row double the delay up to this one.
_MAX_REFUSAL_DELAY_US = 30_000_000
# Bounds the shift that computes the delay.
_MAX_DOUBLINGS = 4


class PoolState(Struct):
    """The last measured times of a pool (CBRAIN paper, section IV-C), and its refusals in a row."""

    # From the request for a machine until the cloud granted one, and from then until it was up.
    queue_us: float | None = None
    boot_us: float | None = None
    refused_until_us: int = 0
    refusals: int = 0
    requested_since_us: int | None = None


class PoolRegistry:
    """Keeps the state of each pool, learnt from the cloud's answers."""

    def __init__(self, pool_cap: int) -> None:
        self._cap = pool_cap
        self._pools: dict[Pool, PoolState] = {}

    def state(self, pool: Pool) -> PoolState:
        """Return the state of a pool."""
        return self._pools.setdefault(pool, PoolState())

    def on_rental_requested(self, pool: Pool, now_us: int) -> None:
        """Record that a machine is requested; the queue time counts from the first request on."""
        state = self.state(pool)
        if state.requested_since_us is None:
            state.requested_since_us = now_us

    def on_rental_granted(self, pool: Pool, now_us: int) -> None:
        """Record a granted rental, which ends the pool's queue time.

        The queue time (q in the CBRAIN paper) counts from the first request since the last grant.
        """
        state = self.state(pool)
        if state.requested_since_us is not None:
            state.queue_us = float(now_us - state.requested_since_us)
        state.requested_since_us = None
        state.refusals = 0

    def on_rental_refused(self, pool: Pool, now_us: int) -> None:
        """Record that the cloud refused a machine there: close the pool for a while."""
        state = self.state(pool)
        state.refusals += 1
        delay_us = _REFUSAL_DELAY_US << min(_MAX_DOUBLINGS, state.refusals - 1)
        state.refused_until_us = now_us + min(_MAX_REFUSAL_DELAY_US, delay_us)

    def on_machine_booted(self, pool: Pool, boot_us: int) -> None:
        """Record the boot time of the pool's latest machine, in place of the previous one.

        The boot time (b in the CBRAIN paper) is the time from the grant of a machine until it is
        up. The last measured one is the estimate for the pool's next machine.
        """
        self.state(pool).boot_us = float(boot_us)

    def is_below_cap(self, pool: Pool, machines: int) -> bool:
        """Return whether a pool with this many machines is below the cap."""
        return machines < self._cap

    def open_pools(
        self, machine_type: MachineType, counts: Mapping[Pool, int], now_us: int
    ) -> list[Pool]:
        """Return the pools of a machine type in which machines may be rented now."""
        pools = [
            (machine_type.name, zone, spot) for zone in machine_type.zones for spot in (False, True)
        ]
        return [
            pool
            for pool in pools
            if self.is_below_cap(pool, counts.get(pool, 0))
            and self.state(pool).refused_until_us <= now_us
        ]

    def estimates(self, machine_type: MachineType, pools: Iterable[Pool]) -> list[PoolEstimate]:
        """Return price and times of pools; times not measured yet are the median of all pools."""
        boot_times_us = [s.boot_us for s in self._pools.values() if s.boot_us is not None]
        queue_times_us = [s.queue_us for s in self._pools.values() if s.queue_us is not None]
        boot_us = median(boot_times_us) if boot_times_us else float(to_us(machine_type.boot_s))
        queue_us = median(queue_times_us) if queue_times_us else 0.0
        estimates = []
        for pool in pools:
            state = self.state(pool)
            estimates.append(
                PoolEstimate(
                    pool,
                    machine_type.spot_price if pool[2] else machine_type.price,
                    queue_us if state.queue_us is None else state.queue_us,
                    boot_us if state.boot_us is None else state.boot_us,
                )
            )
        return estimates
