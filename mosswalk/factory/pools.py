"""What is known of each pool: how long its machines take, and whether the cloud refuses it."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from statistics import median

from msgspec import Struct

from mosswalk.actors import to_us
from mosswalk.factory.pareto import PoolEstimate
from mosswalk.factory.view import Pool
from mosswalk.wire.cloud import MachineType

# A pool that was refused is left alone for this long, doubled up to the second.
_REFUSED_US = 8_000_000
_MOST_REFUSED_US = 30_000_000
_MOST_DOUBLINGS = 4


class PoolState(Struct):
    """The last measured times of a pool (paper, section IV-C), and its refusals."""

    queue_us: float | None = None
    boot_us: float | None = None
    refused_until_us: int = 0
    refusals: int = 0
    wanted_since_us: int | None = None


class PoolRegistry:
    """The pools, as the cloud's answers have shown them."""

    def __init__(self, pool_cap: int) -> None:
        self._cap = pool_cap
        self._pools: dict[Pool, PoolState] = {}

    def state(self, pool: Pool) -> PoolState:
        """What is known of a pool."""
        return self._pools.setdefault(pool, PoolState())

    def on_rental_requested(self, pool: Pool, now_us: int) -> None:
        """A machine of it is to be rented."""
        state = self.state(pool)
        if state.wanted_since_us is None:
            state.wanted_since_us = now_us

    def on_rental_granted(self, pool: Pool, now_us: int) -> None:
        """A rental was filled: q is the time since it was first wanted."""
        state = self.state(pool)
        if state.wanted_since_us is not None:
            state.queue_us = float(now_us - state.wanted_since_us)
        state.wanted_since_us = None
        state.refusals = 0

    def on_rental_refused(self, pool: Pool, now_us: int) -> None:
        """The cloud has none there: leave the pool alone for a while."""
        state = self.state(pool)
        state.refusals += 1
        wait_us = _REFUSED_US << min(_MOST_DOUBLINGS, state.refusals - 1)
        state.refused_until_us = now_us + min(_MOST_REFUSED_US, wait_us)

    def on_machine_booted(self, pool: Pool, took_us: int) -> None:
        """A machine has come up."""
        self.state(pool).boot_us = float(took_us)

    def is_below_cap(self, pool: Pool, machines: int) -> bool:
        """Whether a pool with so many machines is below its cap."""
        return machines < self._cap

    def open_pools(self, shape: MachineType, counts: Mapping[Pool, int], now_us: int) -> list[Pool]:
        """The pools of a shape that may be rented from now."""
        pools = [(shape.name, zone, spot) for zone in shape.zones for spot in (False, True)]
        return [
            pool
            for pool in pools
            if self.is_below_cap(pool, counts.get(pool, 0))
            and self.state(pool).refused_until_us <= now_us
        ]

    def estimates(self, shape: MachineType, pools: Iterable[Pool]) -> list[PoolEstimate]:
        """Price and times of pools; those that were not measured take the median."""
        boots = [s.boot_us for s in self._pools.values() if s.boot_us is not None]
        queues = [s.queue_us for s in self._pools.values() if s.queue_us is not None]
        boot_us = median(boots) if boots else float(to_us(shape.boot_s))
        queue_us = median(queues) if queues else 0.0
        figures = []
        for pool in pools:
            state = self.state(pool)
            figures.append(
                PoolEstimate(
                    pool,
                    shape.spot_price if pool[2] else shape.price,
                    queue_us if state.queue_us is None else state.queue_us,
                    boot_us if state.boot_us is None else state.boot_us,
                )
            )
        return figures
