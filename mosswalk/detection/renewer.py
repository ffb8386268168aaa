"""Renews the lease from a thread while the main event loop is late, but not if it is stuck."""

from __future__ import annotations

import asyncio
import logging
import threading
from typing import Protocol

import aiohttp

from mosswalk.actors import Clock, to_s, to_us
from mosswalk.store.client import NoLeaseError, RefusedError, StateClient, UnknownOutcomeError

log = logging.getLogger(__name__)

# The thread renews only if the last renewal is older than this many renewal intervals, so that the
# main loop renews first.
_LATE_FACTOR = 1.5
# Request rate of this thread's own client; the main loop's client has a separate limit.
_MAX_RPS = 4.0


class LeaseHolder(Protocol):
    """The owner of the lease.

    The thread reads and assigns its attributes without a lock, so each is replaced as a whole.
    """

    lease: int | None
    lease_renewed_at_us: int


class ProgressSource(Protocol):
    """Records when the main loop last made progress."""

    @property
    def last_progress_at_us(self) -> int:
        """When the loop last made progress."""


def renewal_due(
    now_us: int,
    renewed_at_us: int,
    last_progress_at_us: int,
    renew_interval_us: int,
    max_progress_age_us: int,
) -> bool:
    """Whether the thread is to renew: the main loop is late, but has made progress recently."""
    late = now_us - renewed_at_us > _LATE_FACTOR * renew_interval_us
    alive = now_us - last_progress_at_us <= max_progress_age_us
    return late and alive


class LeaseRenewer(threading.Thread):
    """A daemon thread with its own event loop.

    The lease of a main loop that is stuck ends within ``max_lease_after_progress_us`` of the
    loop's last progress.
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
        self._renew_interval_us = to_us(renew_s)
        self._max_progress_age_us = to_us(progress_s)
        self._stopping = threading.Event()
        self.renewals = 0

    @property
    def max_lease_after_progress_us(self) -> int:
        """The longest time that the lease can last after the main loop's last progress."""
        return self._max_progress_age_us + self._request_timeout_us + self._ttl_us

    @property
    def _request_timeout_us(self) -> int:
        return self._ttl_us // 2

    def stop(self) -> None:
        """Ask the thread to end; it does so at its next check."""
        self._stopping.set()

    def run(self) -> None:
        """Run the event loop of this thread."""
        with asyncio.Runner() as runner:
            runner.run(self._renew_when_due())

    async def _renew_when_due(self) -> None:
        connector = aiohttp.TCPConnector(limit=1)
        async with aiohttp.ClientSession(connector=connector) as http:
            client = StateClient(http, self._address, _MAX_RPS, self._clock)
            while not self._stopping.is_set():
                await asyncio.sleep(to_s(self._renew_interval_us) / 2)
                await self._renew_once(client)

    async def _renew_once(self, client: StateClient) -> None:
        sent_at_us = self._clock.now_us()
        lease, renewed_at_us = self._holder.lease, self._holder.lease_renewed_at_us
        due = renewal_due(
            sent_at_us,
            renewed_at_us,
            self._progress.last_progress_at_us,
            self._renew_interval_us,
            self._max_progress_age_us,
        )
        if lease is None or not due:
            return
        try:
            await client.renew(lease, to_s(self._request_timeout_us))
        except NoLeaseError:
            # The main loop notices the same and takes a new lease.
            return
        except (RefusedError, UnknownOutcomeError) as error:
            log.debug("the renewer thread could not renew the lease: %s", error)
            return
        self.renewals += 1
        if self._holder.lease == lease:
            self._holder.lease_renewed_at_us = max(self._holder.lease_renewed_at_us, sent_at_us)
