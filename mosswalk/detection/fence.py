"""Withholds a controller's authority after a freeze, until the state service confirms it.

A freeze is a stall of this process that lasts longer than a window.
"""

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

# How often the event loop's progress is recorded in each window.
_PROGRESS_UPDATES_PER_WINDOW = 12
_RETRY_DELAY_S = 0.2


class AuthorityCheck(Protocol):
    """Asks the state service whether this controller still has the role that it assumes."""

    async def confirm_authority(self) -> None:
        """Renew the lease and read the term and the leader's key; raises if that fails."""


class AuthorityFence:
    """Decides right before each action whether this controller may still act.

    After a freeze, the first caller finds that the event loop's last progress is too long ago, in
    whichever order the loop runs what was queued. A stall shorter than the window needs no
    confirmation, since no other controller can have reached a verdict within it.
    """

    def __init__(self, window_us: int, clock: Clock, check: AuthorityCheck) -> None:
        self._window_us = window_us
        self._clock = clock
        self._check = check
        self._last_progress_at_us = clock.now_us()
        self._withheld = False
        # The state service refused to confirm: in an outage, or it refuses only this controller.
        self._refused = False
        self._confirming = asyncio.Lock()
        self._confirmation_needed = asyncio.Event()
        self.freezes = 0

    @property
    def last_progress_at_us(self) -> int:
        """When the event loop last made progress."""
        return self._last_progress_at_us

    def _check_for_freeze(self) -> None:
        stalled_us = self._clock.now_us() - self._last_progress_at_us
        if stalled_us <= self._window_us:
            return
        self._last_progress_at_us = self._clock.now_us()
        self._withheld, self._refused = True, False
        self.freezes += 1
        log.info(
            "this process was frozen for %.1f s; its authority has to be confirmed",
            stalled_us / SECOND_US,
        )

    def may_act(self) -> bool:
        """Whether this controller may act on its last known authority."""
        self._check_for_freeze()
        return not self._withheld

    def may_renew_worker_leases(self) -> bool:
        """Whether a leader may renew workers' leases, within its time limit for outages.

        It may do so even if the state service refuses to confirm its authority. Waiting would not
        show whether that is an outage, and the time limit exists because a leader can't know this.
        """
        return self.may_act() or self._refused

    async def confirm(self) -> None:
        """Return once the authority has been confirmed; RefusedError if that fails now."""
        if self.may_act():
            return
        async with self._confirming:
            freezes_before = self.freezes
            while not self.may_act():
                try:
                    await self._check.confirm_authority()
                except RefusedError:
                    self._refused = True
                    raise
                except UnknownOutcomeError as error:
                    raise RefusedError(f"authority not confirmed: {error}") from None
                if freezes_before == self.freezes:
                    self._withheld = self._refused = False
                freezes_before = self.freezes

    async def run(self) -> None:
        """Record the event loop's progress periodically; never returns."""
        while True:
            await asyncio.sleep(to_s(self._window_us) / _PROGRESS_UPDATES_PER_WINDOW)
            self._check_for_freeze()
            self._last_progress_at_us = self._clock.now_us()
            if self._withheld:
                self._confirmation_needed.set()

    async def run_confirmations(self) -> None:
        """Confirm the authority after each freeze, even if nothing is to be done; never returns."""
        while True:
            await self._confirmation_needed.wait()
            self._confirmation_needed.clear()
            try:
                await self.confirm()
            except RefusedError as error:
                log.debug("authority not confirmed: %s", error)
                await asyncio.sleep(_RETRY_DELAY_S)


class CommitGate:
    """Holds back commits after a freeze, and rejects those of an earlier term."""

    def __init__(self, fence: AuthorityFence, mirror: Mirror) -> None:
        self._fence = fence
        self._mirror = mirror

    async def admit(self, guards: Mapping[str, int], *, sent_before: bool) -> None:
        """Return when a commit may be sent; ConflictError if its term is outdated.

        A commit that was sent before may have been applied, which only the state service can
        tell, so it is not rejected here.
        """
        await self._fence.confirm()
        guarded_term = guards.get(records.TERM_KEY)
        current_term = self._mirror.version(records.TERM_KEY)
        if not sent_before and guarded_term is not None and current_term > guarded_term:
            raise ConflictError((records.TERM_KEY,), current_term)
