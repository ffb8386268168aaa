"""Withholds a controller's authority after it stood still, until the state service confirms it."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Mapping
from typing import Protocol

from mosswalk.actors import SECOND_US, Clock, to_s
from mosswalk.store import records
from mosswalk.store.client import ConflictError, RefusedError, UnknownOutcomeError
from mosswalk.store.mirror import Mirror

log = logging.getLogger(__name__)

# The loop's progress is noted this many times a window.
_NOTES_A_WINDOW = 12
_RETRY_S = 0.2


class AuthorityCheck(Protocol):
    """Who can ask the state service whether this controller still is what it takes itself for."""

    async def confirm_authority(self) -> None:
        """Renew the lease and read the term and the leader's key; an error if not served."""


class AuthorityFence:
    """Judged right before each act.

    Whoever asks first after a freeze finds the loop's last progress too long ago, in whichever
    order the loop wakes up what was queued. Nobody else can have reached a verdict within the
    window, so a shorter stall needs no confirmation.
    """

    def __init__(self, window_us: int, clock: Clock, check: AuthorityCheck) -> None:
        self._window_us = window_us
        self._clock = clock
        self._check = check
        self._progress_us = clock.now_us()
        self._withheld = False
        # The state service refused to confirm: an outage, or this controller alone.
        self._refused = False
        self._confirming = asyncio.Lock()
        self._needed = asyncio.Event()
        self.freezes = 0

    @property
    def last_progress_at_us(self) -> int:
        """When the loop last made progress."""
        return self._progress_us

    def _look(self) -> None:
        stood_us = self._clock.now_us() - self._progress_us
        if stood_us <= self._window_us:
            return
        self._progress_us = self._clock.now_us()
        self._withheld, self._refused = True, False
        self.freezes += 1
        log.info("stood still for %.1f s: authority is to be confirmed", stood_us / SECOND_US)

    def may_act(self) -> bool:
        """Whether this controller may act on what it last knew of its authority."""
        self._look()
        return not self._withheld

    def may_renew_worker_leases(self) -> bool:
        """Whether a leader may renew workers' leases, within the bound for outages.

        An outage can't be told apart by waiting: the bound was made for not knowing.
        """
        return self.may_act() or self._refused

    async def confirm(self) -> None:
        """Return once authority has been judged anew; RefusedError if that can't be done now."""
        if self.may_act():
            return
        async with self._confirming:
            freezes = self.freezes
            while not self.may_act():
                try:
                    await self._check.confirm_authority()
                except RefusedError:
                    self._refused = True
                    raise
                except UnknownOutcomeError as error:
                    raise RefusedError(f"authority not confirmed: {error}") from None
                if freezes == self.freezes:
                    self._withheld = self._refused = False
                freezes = self.freezes

    async def run(self) -> None:
        """Note the loop's progress for ever."""
        while True:
            await asyncio.sleep(to_s(self._window_us) / _NOTES_A_WINDOW)
            self._look()
            self._progress_us = self._clock.now_us()
            if self._withheld:
                self._needed.set()

    async def run_confirmations(self) -> None:
        """Have authority confirmed after each freeze, whether or not anything is to be done."""
        while True:
            await self._needed.wait()
            self._needed.clear()
            try:
                await self.confirm()
            except RefusedError as error:
                log.debug("authority not confirmed: %s", error)
                await asyncio.sleep(_RETRY_S)


class CommitGate:
    """Holds commits of a controller that stood still, and drops those of an earlier term."""

    def __init__(self, fence: AuthorityFence, mirror: Mirror) -> None:
        self._fence = fence
        self._mirror = mirror

    async def admit(self, guards: Mapping[str, int], *, sent_before: bool) -> None:
        """Let a commit pass.

        One that was sent before may have been carried out: only the state service can tell.
        """
        await self._fence.confirm()
        term = guards.get(records.TERM_KEY)
        if not sent_before and term is not None and self._mirror.version(records.TERM_KEY) > term:
            raise ConflictError((records.TERM_KEY,))
