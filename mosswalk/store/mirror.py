"""A local copy of all keys under ``m/``, kept up to date by a watch.

Events arrive in order, so a mirror that has applied an event also has all changes before it.
A controller's own commits are applied at once; versions decide which of two values is newer. A
value that became known in another way may be newer than what the mirror has of other keys, for
instance a job's header newer than the job's chunks. Its key is unsettled until the watch has
reached its version, and no change may be computed from it before.
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
        # By key: the version of a value that may be newer than what the mirror has of other keys.
        self._unsettled: dict[str, int] = {}
        self._settled_callbacks: list[Callable[[], None]] = []
        self._listeners: list[tuple[str, Listener]] = []
        self._batch_listeners: list[Callable[[], None]] = []
        self.revision = 0
        # Set, and then replaced, whenever the revision has increased.
        self._advanced = asyncio.Event()
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

    def on_settled(self, callback: Callable[[], None]) -> None:
        """Call ``callback`` when keys that were unsettled are settled."""
        self._settled_callbacks.append(callback)

    def is_settled(self, key: str) -> bool:
        """Whether the mirror has all changes that were committed before the key's value."""
        return key not in self._unsettled

    async def wait_for_revision(self, revision: int) -> None:
        """Wait until the watch has shown all changes up to a revision."""
        while self.revision < revision:
            await self._advanced.wait()

    def _advance(self, revision: int) -> None:
        """Note that the mirror has all changes up to a revision."""
        self.revision = max(self.revision, revision)
        self._advanced.set()
        self._advanced = asyncio.Event()
        settled = [key for key, version in self._unsettled.items() if version <= self.revision]
        for key in settled:
            del self._unsettled[key]
        if settled:
            for callback in self._settled_callbacks:
                callback()

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
        if not self._is_newer(key, version):
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

    def _is_newer(self, key: str, version: int) -> bool:
        """Whether a version is newer than the one that the mirror has of a key."""
        entry = self._entries.get(key)
        return entry is None or version > entry.version

    def _apply_ahead(
        self, key: str, value: bytes | None, version: int, *, is_settled: bool
    ) -> None:
        """Apply a value that the watch has not shown; an outdated one is ignored.

        The watch may have passed its version already, and a later deletion of the key with it. The
        value must then not restore the key.
        """
        if version > self.revision and self._is_newer(key, version):
            if not is_settled:
                self._unsettled[key] = version
            self.apply(key, value, version)

    def apply_response(self, key: str, value: bytes | None, version: int) -> None:
        """Apply a value that was read or received; its key is unsettled until the watch shows it.

        Outdated values are ignored.
        """
        self._apply_ahead(key, value, version, is_settled=False)

    def apply_change(self, change: Change, revision: int) -> None:
        """Apply a change that has been committed.

        A guarded key stays settled if it was, and if the value here is the one that was replaced:
        then nothing that the key's version guards has changed in between.
        """
        writes: dict[str, bytes | None] = {
            key: bytes(value)
            for key, value in change.puts.items()
            if key.startswith(records.MIRROR_PREFIX)
        }
        # Changes delete only job headers and chunks, which are all mirrored.
        writes.update(dict.fromkeys(change.deletes))
        for key, value in writes.items():
            replaced = change.guards.get(key, self.version(key))
            is_settled = self.is_settled(key) and self.version(key) == replaced
            self._apply_ahead(key, value, revision, is_settled=is_settled)

    def notify_batch_applied(self) -> None:
        """Call the callbacks that wait for a batch of changes to be applied."""
        for callback in self._batch_listeners:
            callback()

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
        """Read all keys as of the revision of the first page, then what changed meanwhile."""
        after: str | None = None
        revision = newest_version = 0
        seen: set[str] = set()
        started_at_us = self._clock.now_us()
        while True:
            page = await self._client.read_range(records.MIRROR_PREFIX, after)
            revision = revision or page.revision
            for row in page.rows:
                newest_version = max(newest_version, row.version)
                # Later pages may be newer than the first one. The watch shows those changes in
                # their order; a header applied here would be newer than its job's chunks.
                if row.version <= revision:
                    self.apply(row.key, bytes(row.value), row.version)
                seen.add(row.key)
            if not page.truncated or not page.rows:
                break
            after = page.rows[-1].key
        for key in self.keys(records.MIRROR_PREFIX):
            if key not in seen and self._entries[key].version <= revision:
                self.apply(key, None, revision)
        self._advance(revision)
        while self.revision < newest_version:
            await self._follow()
        self.confirmed_until_us = max(self.confirmed_until_us, started_at_us)
        self.loaded = True
        log.info("mirror loaded at revision %d: %d keys", self.revision, len(seen))
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
        self._advance(events.revision)
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
