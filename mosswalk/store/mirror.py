"""A local copy of all keys under ``m/``, kept up to date by a watch.

Events arrive in order, so a mirror that has applied an event also has all changes before it.
A controller's own commits are applied at once; versions decide which of two values is newer.
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

_WATCH_HOLD_MS = 2000
# The pause between watches collects changes, so that a burst of changes takes few requests.
_PROMPT_WATCH_PAUSE_S = 0.04
_RELAXED_WATCH_PAUSE_S = 0.2
_RETRY_PAUSE_S = 0.25


class Entry(msgspec.Struct, frozen=True, gc=False):
    """The version and value of a mirrored key; ``value`` is None if it is deleted."""

    version: int
    value: bytes | None


Listener = Callable[[str, bytes | None, int], None]


class Mirror:
    """The mirrored keys, and the listeners for their changes."""

    def __init__(self, client: StateClient, clock: Clock, rng: random.Random) -> None:
        self._client = client
        self._clock = clock
        self._rng = rng
        self._entries: dict[str, Entry] = {}
        # The deleted keys among them, so that they are found without a search through all keys.
        self._deleted: set[str] = set()
        self._listeners: list[tuple[str, Listener]] = []
        self._batch_listeners: list[Callable[[], None]] = []
        self.revision = 0
        self.loaded = False
        # Whether this controller needs changes without delay.
        self.wants_prompt_updates: Callable[[], bool] = lambda: True
        # Everything committed before this instant is in the mirror.
        self.confirmed_until_us = 0

    def listen(self, prefix: str, listener: Listener) -> None:
        """Call ``listener(key, value, version)`` for each change below a prefix."""
        self._listeners.append((prefix, listener))

    def on_batch_applied(self, callback: Callable[[], None]) -> None:
        """Call ``callback`` after each batch of changes has been applied."""
        self._batch_listeners.append(callback)

    def version(self, key: str) -> int:
        """The version for a guard (a condition of a commit): 0 if the key does not exist."""
        entry = self._entries.get(key)
        return entry.version if entry is not None and entry.value is not None else 0

    def value(self, key: str) -> bytes | None:
        """The key's value, or None if it does not exist."""
        entry = self._entries.get(key)
        return entry.value if entry is not None else None

    def keys(self, prefix: str) -> list[str]:
        """The existing keys below a prefix."""
        return [k for k, e in self._entries.items() if e.value is not None and k.startswith(prefix)]

    def apply(self, key: str, value: bytes | None, version: int) -> bool:
        """Apply a change unless the mirror has a newer one; return whether it was applied."""
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
                    # A record that this version can't decode must not stop the watch.
                    log.exception("mirror: a listener failed on %s", key)
        return True

    def apply_response(self, key: str, value: bytes | None, version: int) -> None:
        """Apply the result of a commit or a read.

        The watch may have passed that revision already, and a later deletion of the key with it.
        The result is then outdated and must not restore the key.
        """
        if version > self.revision:
            self.apply(key, value, version)

    def apply_change(self, change: Change, revision: int) -> None:
        """Apply a change that has been committed."""
        for key, value in change.puts.items():
            if key.startswith(records.MIRROR_PREFIX):
                self.apply_response(key, bytes(value), revision)
        # Changes delete only job headers and chunks, which are all mirrored.
        for key in change.deletes:
            self.apply_response(key, None, revision)

    def notify_batch_applied(self) -> None:
        """Call the callbacks that wait for a batch of changes to be applied."""
        for callback in self._batch_listeners:
            callback()

    async def refresh(self, keys: list[str]) -> None:
        """Read keys again after a conflict or a commit of unknown outcome; ignores deletions."""
        for key in keys:
            row = await self._client.get(key)
            if row is not None:
                self.apply_response(key, bytes(row.value), row.version)
        self.notify_batch_applied()

    async def read_latest(self, keys: tuple[str, ...]) -> None:
        """Read keys, including deletions, without waiting for the watch."""
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
        started_at_us = self._clock.now_us()
        while True:
            page = await self._client.read_range(records.MIRROR_PREFIX, after)
            # Later pages may be newer than the first one. The watch starts at the first page's
            # revision, and changes that arrive twice are recognized by their versions.
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
        self.confirmed_until_us = started_at_us
        self.loaded = True
        log.info("mirror loaded at revision %d: %d keys", revision, len(seen))
        self.notify_batch_applied()

    async def _follow(self) -> None:
        started_at_us = self._clock.now_us()
        events = await self._client.watch(records.MIRROR_PREFIX, self.revision, _WATCH_HOLD_MS)
        # Only the last of several changes to a key matters, and decoding is the main cost.
        latest = {event.key or event.delete: event for event in events.events}
        for event in latest.values():
            if event.key is not None:
                self.apply(event.key, bytes(event.value), event.version)
            elif event.delete is not None:
                # This is the deleted key.
                self.apply(event.delete, None, event.version)
        self.revision = max(self.revision, events.revision)
        self.confirmed_until_us = started_at_us
        # Once the watch has passed a deletion, no older change can restore the key.
        for key in [k for k in self._deleted if self._entries[k].version <= self.revision]:
            del self._entries[key]
            self._deleted.discard(key)
        self.notify_batch_applied()

    async def run(self) -> None:
        """Load the keys, then follow their changes. Never returns."""
        failing_since_us: int | None = None
        while True:
            try:
                if not self.loaded:
                    await self._load()
                else:
                    await self._follow()
                    await asyncio.sleep(
                        _PROMPT_WATCH_PAUSE_S
                        if self.wants_prompt_updates()
                        else _RELAXED_WATCH_PAUSE_S
                    )
                if failing_since_us is not None:
                    outage_us = self._clock.now_us() - failing_since_us
                    log.info(
                        "mirror: state service available again after %.1f s", outage_us / SECOND_US
                    )
                    failing_since_us = None
            except CompactedError:
                log.info("mirror: watch revision was compacted, reading all keys again")
                self.loaded = False
            except (RefusedError, UnknownOutcomeError) as error:
                # One line per outage, not per attempt.
                if failing_since_us is None:
                    failing_since_us = self._clock.now_us()
                    log.info("mirror: state service unavailable: %s", error)
                await asyncio.sleep(_RETRY_PAUSE_S * self._rng.uniform(0.7, 1.3))
