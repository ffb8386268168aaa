"""A copy of everything under ``m/``, kept by a watch.

Events come in order, so once the copy shows a change it also shows all changes before it.
A controller's own commits are put in at once; versions decide which of two values is newer.
"""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable
from typing import TYPE_CHECKING

import msgspec

from mosswalk.actors import SECOND_US, Clock
from mosswalk.store import records
from mosswalk.store.client import (
    CompactedError,
    RefusedError,
    StateClient,
    UnknownOutcomeError,
)

if TYPE_CHECKING:
    from mosswalk.store.writer import Change

log = logging.getLogger(__name__)

_HOLD_MS = 2000
# A pause between watches gathers changes, so that a burst costs few requests.
_GATHER_S = 0.04
_CALM_GATHER_S = 0.2


class Entry(msgspec.Struct, frozen=True, gc=False):
    """A mirrored key; ``value`` is None once deleted."""

    version: int
    value: bytes | None


Listener = Callable[[str, bytes | None, int], None]


class Mirror:
    """The mirrored keys and those who want to hear of their changes."""

    def __init__(self, client: StateClient, clock: Clock, rng: random.Random) -> None:
        self._client = client
        self._clock = clock
        self._rng = rng
        self._entries: dict[str, Entry] = {}
        # Those of them that are deleted, so that no batch has to look through all keys.
        self._deleted: set[str] = set()
        self._listeners: list[tuple[str, Listener]] = []
        self._after_batch: list[Callable[[], None]] = []
        self.revision = 0
        self.loaded = False
        # Whether changes are wanted at once.
        self.wants_prompt_updates: Callable[[], bool] = lambda: True
        # Everything committed before this instant is in the copy.
        self.confirmed_until_us = 0

    def listen(self, prefix: str, listener: Listener) -> None:
        """Call ``listener(key, value, version)`` for each change below a prefix."""
        self._listeners.append((prefix, listener))

    def on_batch_applied(self, action: Callable[[], None]) -> None:
        """Call ``action`` once a batch of changes is in."""
        self._after_batch.append(action)

    def version(self, key: str) -> int:
        """The key's version, 0 if it does not exist: what a guard needs."""
        entry = self._entries.get(key)
        return entry.version if entry is not None and entry.value is not None else 0

    def value(self, key: str) -> bytes | None:
        """The key's value."""
        entry = self._entries.get(key)
        return entry.value if entry is not None else None

    def keys(self, prefix: str) -> list[str]:
        """The existing keys below a prefix."""
        return [k for k, e in self._entries.items() if e.value is not None and k.startswith(prefix)]

    def apply(self, key: str, value: bytes | None, version: int) -> bool:
        """Put in a change unless a newer one is there; whether it was put in."""
        entry = self._entries.get(key)
        if entry is not None and entry.version >= version:
            return False
        self._entries[key] = Entry(version, value)
        if value is None:
            self._deleted.add(key)
        else:
            self._deleted.discard(key)
        for prefix, listener in self._listeners:
            if key.startswith(prefix):
                try:
                    listener(key, value, version)
                except Exception:
                    # A record this version can't read must not stop the watch.
                    log.exception("mirror: a listener failed on %s", key)
        return True

    def apply_response(self, key: str, value: bytes | None, version: int) -> None:
        """Put in what a commit's or a read's answer told.

        The watch may have passed that revision already, and a later deletion with it: then the
        answer is old withdrawal_broadcast and must not bring the key back.
        """
        if version > self.revision:
            self.apply(key, value, version)

    def apply_change(self, change: Change, revision: int) -> None:
        """Put in a change that has been committed."""
        for key, value in change.puts.items():
            if key.startswith(records.MIRROR_PREFIX):
                self.apply_response(key, bytes(value), revision)
        for key in change.deletes:
            self.apply_response(key, None, revision)

    def notify_batch_applied(self) -> None:
        """Tell those who wait for whole batches."""
        for action in self._after_batch:
            action()

    async def refresh(self, keys: list[str]) -> None:
        """Read keys anew, after a conflict or an outcome that stayed unknown."""
        for key in keys:
            row = await self._client.get(key)
            if row is not None:
                self.apply_response(key, bytes(row.value), row.version)
        self.notify_batch_applied()

    async def read_latest(self, keys: tuple[str, ...]) -> None:
        """Read keys as they are now, deleted ones too, without waiting for the watch."""
        for key in keys:
            page = await self._client.read_range(key, None, 1)
            row = next((row for row in page.rows if row.key == key), None)
            if row is not None:
                self.apply_response(key, bytes(row.value), row.version)
            elif self.version(key):
                self.apply_response(key, None, page.revision)
        self.notify_batch_applied()

    async def _load(self) -> None:
        after: str | None = None
        revision = 0
        seen: set[str] = set()
        started_us = self._clock.now_us()
        while True:
            page = await self._client.read_range(records.MIRROR_PREFIX, after)
            # Later pages may be newer than the first: the watch starts at the first one's
            # revision and versions sort out what comes twice.
            revision = revision or page.revision
            for row in page.rows:
                self.apply(row.key, bytes(row.value), row.version)
                seen.add(row.key)
            if not page.truncated or not page.rows:
                break
            after = page.rows[-1].key
        for key in self.keys(records.MIRROR_PREFIX):
            if key not in seen and self._entries[key].version <= revision:
                self.apply(key, None, revision)
        self.revision = revision
        self.confirmed_until_us = started_us
        self.loaded = True
        log.info("mirror loaded at revision %d: %d keys", revision, len(seen))
        self.notify_batch_applied()

    async def _follow(self) -> None:
        started_us = self._clock.now_us()
        events = await self._client.watch(records.MIRROR_PREFIX, self.revision, _HOLD_MS)
        # Of several changes to a key only the last one matters, and decoding is what costs.
        last = {event.key or event.delete: event for event in events.events}
        for event in last.values():
            if event.key is not None:
                self.apply(event.key, bytes(event.value), event.version)
            elif event.delete is not None:
                self.apply(event.delete, None, event.version)
        self.revision = max(self.revision, events.revision)
        self.confirmed_until_us = started_us
        # Deletions the watch has passed can't be undone by an older event any more.
        for key in [k for k in self._deleted if self._entries[k].version <= self.revision]:
            del self._entries[key]
            self._deleted.discard(key)
        self.notify_batch_applied()

    async def run(self) -> None:
        """Load and follow for ever."""
        failing_since_us: int | None = None
        while True:
            try:
                if not self.loaded:
                    await self._load()
                else:
                    await self._follow()
                    await asyncio.sleep(
                        _GATHER_S if self.wants_prompt_updates() else _CALM_GATHER_S
                    )
                if failing_since_us is not None:
                    lasted_us = self._clock.now_us() - failing_since_us
                    log.info("mirror: state service back after %.1f s", lasted_us / SECOND_US)
                    failing_since_us = None
            except CompactedError:
                log.info("mirror: watch too old, reading all keys again")
                self.loaded = False
            except (RefusedError, UnknownOutcomeError) as error:
                # One line an outage, not one a try.
                if failing_since_us is None:
                    failing_since_us = self._clock.now_us()
                    log.info("mirror: state service does not serve: %s", error)
                await asyncio.sleep(0.25 * self._rng.uniform(0.7, 1.3))
