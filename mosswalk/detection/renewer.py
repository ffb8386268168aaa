"""Renews the lease from a thread when the main loop is late, but never for a loop that is dead."""

from __future__ import annotations

import asyncio
import logging
import threading
from typing import Protocol

import aiohttp

from mosswalk.actors import Clock, to_s, to_us
from mosswalk.store.client import NoLeaseError, RefusedError, StateClient, UnknownOutcomeError

log = logging.getLogger(__name__)

# The main loop renews first: the thread only where that is late by this part of its pace.
_LATE = 1.5
# Requests of the thread alone; the main loop's are counted by its own client.
_RPS = 4.0


class LeaseHolder(Protocol):
    """Whose lease it is. Read and written from the thread: whole attributes only."""

    lease: int | None
    lease_renewed_at_us: int


class ProgressSource(Protocol):
    """Who knows when the main loop last made progress."""

    @property
    def last_progress_at_us(self) -> int:
        """When the loop last made progress."""


def renewal_due(
    now_us: int, renewed_us: int, progress_us: int, renew_us: int, progress_limit_us: int
) -> bool:
    """Whether the thread is to renew: the main loop is late, but has shown life of late."""
    late = now_us - renewed_us > _LATE * renew_us
    lives = now_us - progress_us <= progress_limit_us
    return late and lives


class LeaseRenewer(threading.Thread):
    """A loop of its own in a daemon thread.

    A dead main loop's lease ends within ``bound_us`` of the loop's last progress.
    """

    def __init__(
        self,
        address: str,
        holder: LeaseHolder,
        progress: ProgressSource,
        clock: Clock,
        *,
        ttl_s: float,
        renew_s: float,
        progress_s: float,
    ) -> None:
        super().__init__(name="lease renewer", daemon=True)
        self._address = address
        self._holder = holder
        self._progress = progress
        self._clock = clock
        self._ttl_us = to_us(ttl_s)
        self._renew_us = to_us(renew_s)
        self._progress_us = to_us(progress_s)
        self._stopping = threading.Event()
        self.renewals = 0

    @property
    def max_lease_after_progress_us(self) -> int:
        """The longest that a lease outlives the main loop's last progress."""
        return self._progress_us + self._timeout_us + self._ttl_us

    @property
    def _timeout_us(self) -> int:
        return self._ttl_us // 2

    def stop(self) -> None:
        """Have the thread end soon."""
        self._stopping.set()

    def run(self) -> None:
        """The thread's own loop."""
        with asyncio.Runner() as runner:
            runner.run(self._renew_when_due())

    async def _renew_when_due(self) -> None:
        connector = aiohttp.TCPConnector(limit=1)
        async with aiohttp.ClientSession(connector=connector) as session:
            client = StateClient(session, self._address, _RPS, self._clock)
            while not self._stopping.is_set():
                await asyncio.sleep(to_s(self._renew_us) / 2)
                await self._renew_once(client)

    async def _renew_once(self, client: StateClient) -> None:
        asked_us = self._clock.now_us()
        lease, renewed_us = self._holder.lease, self._holder.lease_renewed_at_us
        due = renewal_due(
            asked_us,
            renewed_us,
            self._progress.last_progress_at_us,
            self._renew_us,
            self._progress_us,
        )
        if lease is None or not due:
            return
        try:
            await client.renew(lease, to_s(self._timeout_us))
        except NoLeaseError:
            # The main loop finds out by itself, and takes a new one.
            return
        except (RefusedError, UnknownOutcomeError) as error:
            log.debug("lease not renewed beside the main loop: %s", error)
            return
        self.renewals += 1
        if self._holder.lease == lease:
            self._holder.lease_renewed_at_us = max(self._holder.lease_renewed_at_us, asked_us)
