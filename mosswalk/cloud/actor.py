"""Carries out the leader's cloud calls within the cloud's rate, and tells it the results."""

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

_MOST_TRIES = 5


class RentResult(Struct):
    """A rental's machines; fewer than groups if there were not enough to be had."""

    groups: tuple[int, ...]
    pool: tuple[str, str, bool]
    machines: tuple[str, ...]


class ReleaseResult(Struct):
    """These machines and everything on them are gone: the cloud has said so."""

    machines: tuple[str, ...]


class ListResult(Struct):
    """The machine list, somewhat old."""

    machines: tuple[wire.ListedMachine, ...]


class MachineTypesResult(Struct):
    """Machine types with current prices."""

    types: tuple[wire.MachineType, ...]


CloudResult = RentResult | ReleaseResult | ListResult | MachineTypesResult


class CloudCaller:
    """The only one in this process that talks to the cloud."""

    def __init__(
        self,
        client: CloudClient,
        clock: Clock,
        rng: random.Random,
        rps: float,
        tell: Callable[[CloudResult], None],
        entitled: Callable[[], bool],
        may_end: Callable[[], bool],
    ) -> None:
        self._client = client
        self._clock = clock
        self._rng = rng
        # A part of the rate is left for a deposed leader's last calls.
        self._bucket = TokenBucket(rps * 0.9, max(2.0, rps * 1.5), clock.now_us())
        self._tell = tell
        # Judged right before each call that changes something.
        self._entitled = entitled
        # The same for releases that must not wait for the state service.
        self._may_end = may_end
        self._releases: set[str] = set()
        self._unserved: set[str] = set()
        self._release_wake = asyncio.Event()
        self._failing_since_us: int | None = None

    def available_calls(self) -> int:
        """How many calls could be made at once; one is kept for releases."""
        return max(0, int(self._bucket.available(self._clock.now_us())) - 1)

    async def _turn(self) -> None:
        wait_us = self._bucket.reserve_us(self._clock.now_us())
        if wait_us:
            await asyncio.sleep(to_s(wait_us))

    def _failed(self, what: str, error: CloudError) -> None:
        # One line an outage, not one a call.
        if self._failing_since_us is None:
            self._failing_since_us = self._clock.now_us()
            log.info("cloud: %s failed: %s", what, error)

    def _served(self) -> None:
        if self._failing_since_us is not None:
            lasted_us = self._clock.now_us() - self._failing_since_us
            log.info("cloud: serves again after %.1f s", lasted_us / SECOND_US)
            self._failing_since_us = None

    async def rent(self, groups: tuple[int, ...], pool: tuple[str, str, bool]) -> None:
        """Rent a machine for each group, in one call: calls are scarcer than machines.

        The request's name is random, so that it is never used again.
        """
        name = f"r-{self._rng.getrandbits(64):016x}"
        count = min(len(groups), wire.MAX_MACHINES_PER_RENTAL)
        request = wire.RentRequest(name, pool[0], pool[1], pool[2], count)
        machines: tuple[str, ...] = ()
        for attempt in range(_MOST_TRIES):
            await self._turn()
            if not self._entitled():
                # Perhaps we stood still, and another leads: what we decided is its business now.
                break
            try:
                machines = await self._client.rent(request)
                self._served()
                break
            except NoCapacityError:
                self._served()
                break
            except CloudError as error:
                # Repeated under the same name: if it was carried out, we get its machines.
                self._failed("rental", error)
                await asyncio.sleep(min(4.0, 0.5 * 2**attempt) * self._rng.uniform(0.7, 1.3))
        self._tell(RentResult(groups, pool, machines))

    def release(self, names: list[str], *, needs_state_service: bool = True) -> None:
        """Return machines; repeated until the cloud confirms it."""
        self._releases.update(names)
        if not needs_state_service:
            self._unserved.update(names)
        self._release_wake.set()

    def clear_pending_releases(self) -> None:
        """Another controller leads: what is left to return is its business."""
        self._releases.clear()
        self._unserved.clear()

    def _may_release(self) -> list[str]:
        if self._entitled():
            return sorted(self._releases)
        return sorted(self._releases & self._unserved) if self._may_end() else []

    async def run_releases(self) -> None:
        """Return machines for ever."""
        while True:
            await self._release_wake.wait()
            self._release_wake.clear()
            pause_s = 0.4
            while self._releases:
                await self._turn()
                batch = tuple(self._may_release()[: wire.MAX_MACHINES_PER_RELEASE])
                if not batch:
                    # As above; if we lead on, these wait until the state service has said so.
                    await asyncio.sleep(pause_s)
                    continue
                try:
                    await self._client.release(batch)
                except CloudError as error:
                    self._failed("release", error)
                    await asyncio.sleep(pause_s * self._rng.uniform(0.7, 1.3))
                    pause_s = min(4.0, pause_s * 1.7)
                    continue
                self._served()
                self._releases.difference_update(batch)
                self._unserved.difference_update(batch)
                self._tell(ReleaseResult(batch))

    async def refresh_machine_list(self) -> None:
        """Read the whole machine list."""
        rows: list[wire.ListedMachine] = []
        after: str | None = None
        try:
            while True:
                await self._turn()
                page = await self._client.list_page(after)
                rows += page.machines
                if not page.truncated or not page.machines:
                    break
                after = page.machines[-1].name
        except CloudError as error:
            self._failed("list", error)
            return
        self._served()
        self._tell(ListResult(tuple(rows)))

    async def refresh_machine_types(self) -> bool:
        """Read machine types and prices; whether that worked."""
        try:
            await self._turn()
            types = await self._client.machine_types()
        except CloudError as error:
            self._failed("machine types", error)
            return False
        self._served()
        self._tell(MachineTypesResult(types.types))
        return True
