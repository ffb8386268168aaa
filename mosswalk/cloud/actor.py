"""Executes the leader's calls to the cloud within its rate limit, and reports the results."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable

from msgspec import Struct

from mosswalk.actors import SECOND_US, Clock, to_s
from mosswalk.cloud.bucket import TokenBucket
from mosswalk.cloud.client import CloudClient, CloudError, NoCapacityError
from mosswalk.wire import cloud as wire

log = logging.getLogger(__name__)

# The rest of the rate limit is left for the last calls of a deposed leader.
_RATE_SHARE = 0.9
# Up to this many seconds' worth of calls can be made at once, or _MIN_BURST_CALLS if that is more.
_BURST_S = 1.5
_MIN_BURST_CALLS = 2.0
_MAX_RENT_ATTEMPTS = 5
_INITIAL_RENT_DELAY_S = 0.5
_INITIAL_RELEASE_DELAY_S = 0.4
_RELEASE_DELAY_FACTOR = 1.7
_MAX_DELAY_S = 4.0
# Each retry delay is multiplied by a random factor of at least this.
_MIN_JITTER = 0.7
# The upper bound of that factor.
_MAX_JITTER = 1.3


class RentResult(Struct):
    """The machines of a rental; fewer than ``groups`` if the cloud had too few.

    ``groups`` has, for each machine requested, the number of the rental group it belongs to.
    ``pool`` is the machine type, the zone and whether the machines are spot machines.
    """

    groups: tuple[int, ...]
    pool: tuple[str, str, bool]
    machines: tuple[str, ...]


class ReleaseResult(Struct):
    """Machines whose release the cloud has confirmed: they and everything on them are gone."""

    machines: tuple[str, ...]


class ListResult(Struct):
    """The machine list, which lags behind the cloud's actual state."""

    machines: tuple[wire.ListedMachine, ...]


class MachineTypesResult(Struct):
    """The machine types with current prices."""

    types: tuple[wire.MachineType, ...]


CloudResult = RentResult | ReleaseResult | ListResult | MachineTypesResult


class CloudCaller:
    """Makes all calls of this process to the cloud, so that they share one rate limit."""

    def __init__(
        self,
        client: CloudClient,
        clock: Clock,
        rng: random.Random,
        rps: float,
        on_result: Callable[[CloudResult], None],
        has_authority: Callable[[], bool],
        may_release_urgent: Callable[[], bool],
    ) -> None:
        self._client = client
        self._clock = clock
        self._rng = rng
        self._bucket = TokenBucket(
            rps * _RATE_SHARE, max(_MIN_BURST_CALLS, rps * _BURST_S), clock.now_us()
        )
        self._on_result = on_result
        # Whether this controller may act as the leader; checked right before each call that changes
        # something.
        self._has_authority = has_authority
        # Whether releases that must not wait for the state service may be made without that
        # authority.
        self._may_release_urgent = may_release_urgent
        # Machines to release; the urgent ones are in both sets.
        self._releases: set[str] = set()
        self._urgent_releases: set[str] = set()
        self._release_wake = asyncio.Event()
        self._cloud_failing_since_us: int | None = None

    def available_calls(self) -> int:
        """The number of calls that could be made now, less one that is reserved for releases."""
        return max(0, int(self._bucket.available(self._clock.now_us())) - 1)

    async def _wait_for_rate(self) -> None:
        wait_us = self._bucket.reserve_us(self._clock.now_us())
        if wait_us:
            await asyncio.sleep(to_s(wait_us))

    def _record_failure(self, call: str, error: CloudError) -> None:
        # Logs one line per outage, not one per call.
        if self._cloud_failing_since_us is None:
            self._cloud_failing_since_us = self._clock.now_us()
            log.info("cloud: %s failed: %s", call, error)

    def _record_success(self) -> None:
        if self._cloud_failing_since_us is not None:
            lasted_us = self._clock.now_us() - self._cloud_failing_since_us
            log.info("cloud: calls succeed again after %.1f s", lasted_us / SECOND_US)
            self._cloud_failing_since_us = None

    async def rent(self, groups: tuple[int, ...], pool: tuple[str, str, bool]) -> None:
        """Rent one machine for each group, all in one call, since calls are rate-limited.

        The request id is random, so that no two rentals share one.
        """
        request_id = f"r-{self._rng.getrandbits(64):016x}"
        count = min(len(groups), wire.MAX_MACHINES_PER_RENTAL)
        request = wire.RentRequest(request_id, pool[0], pool[1], pool[2], count)
        machines: tuple[str, ...] = ()
        for attempt in range(_MAX_RENT_ATTEMPTS):
            await self._wait_for_rate()
            if not self._has_authority():
                # This process may have stalled, and another controller may lead by now. The rental,
                # which was decided earlier, must not be made then.
                break
            try:
                machines = await self._client.rent(request)
                self._record_success()
                break
            except NoCapacityError:
                self._record_success()
                break
            except CloudError as error:
                # Retried with the same request id: if the failed call was executed after all, the
                # retry returns its machines.
                self._record_failure("rental", error)
                await asyncio.sleep(
                    min(_MAX_DELAY_S, _INITIAL_RENT_DELAY_S * 2**attempt)
                    * self._rng.uniform(_MIN_JITTER, _MAX_JITTER)
                )
        self._on_result(RentResult(groups, pool, machines))

    def release(self, names: list[str], *, requires_state_service: bool = True) -> None:
        """Release machines; the call is repeated until the cloud confirms it.

        With ``requires_state_service`` false, they are released even while the state service does
        not answer.
        """
        self._releases.update(names)
        if not requires_state_service:
            self._urgent_releases.update(names)
        self._release_wake.set()

    def clear_pending_releases(self) -> None:
        """Drop all pending releases: another controller leads and decides about them."""
        self._releases.clear()
        self._urgent_releases.clear()

    def _allowed_releases(self) -> list[str]:
        if self._has_authority():
            return sorted(self._releases)
        return sorted(self._releases & self._urgent_releases) if self._may_release_urgent() else []

    async def run_releases(self) -> None:
        """Release machines as requested, until cancelled."""
        while True:
            await self._release_wake.wait()
            self._release_wake.clear()
            delay_s = _INITIAL_RELEASE_DELAY_S
            while self._releases:
                await self._wait_for_rate()
                batch = tuple(self._allowed_releases()[: wire.MAX_MACHINES_PER_RELEASE])
                if not batch:
                    # Another controller may lead by now. If this one still does, the releases wait
                    # until the state service confirms it.
                    await asyncio.sleep(delay_s)
                    continue
                try:
                    await self._client.release(batch)
                except CloudError as error:
                    self._record_failure("release", error)
                    await asyncio.sleep(delay_s * self._rng.uniform(_MIN_JITTER, _MAX_JITTER))
                    delay_s = min(_MAX_DELAY_S, delay_s * _RELEASE_DELAY_FACTOR)
                    continue
                self._record_success()
                self._releases.difference_update(batch)
                self._urgent_releases.difference_update(batch)
                self._on_result(ReleaseResult(batch))

    async def refresh_machine_list(self) -> None:
        """Read all pages of the machine list and report it."""
        machines: list[wire.ListedMachine] = []
        after: str | None = None
        try:
            while True:
                await self._wait_for_rate()
                page = await self._client.list_page(after)
                machines += page.machines
                if not page.truncated or not page.machines:
                    break
                after = page.machines[-1].name
        except CloudError as error:
            self._record_failure("machine list", error)
            return
        self._record_success()
        self._on_result(ListResult(tuple(machines)))

    async def refresh_machine_types(self) -> bool:
        """Read machine types and prices and report them; return whether that succeeded."""
        try:
            await self._wait_for_rate()
            types = await self._client.machine_types()
        except CloudError as error:
            self._record_failure("machine types", error)
            return False
        self._record_success()
        self._on_result(MachineTypesResult(types.types))
        return True
