"""Actors: each owns its state and is spoken to by messages.

Time and randomness are handed in, so that decisions repeat exactly in tests. All times are
whole microseconds.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Awaitable, Callable
from typing import Any, Generic, Protocol, TypeVar

log = logging.getLogger(__name__)

SECOND_US = 1_000_000


def to_us(seconds: float) -> int:
    """Seconds, as every protocol gives them, in whole microseconds."""
    return round(seconds * SECOND_US)


def to_s(us: int) -> float:
    """Microseconds in seconds, for protocols and timers."""
    return us / SECOND_US


class Clock(Protocol):
    """Where an actor gets its time from."""

    def now_us(self) -> int:
        """Steady time, which never steps."""

    def wall_us(self) -> int:
        """Time of day, within the deployment's bound of the truth."""


class SystemClock:
    """The machine's own clocks."""

    def now_us(self) -> int:
        """Steady time."""
        return time.monotonic_ns() // 1000

    def wall_us(self) -> int:
        """Time of day."""
        return time.time_ns() // 1000


M = TypeVar("M")


class Actor(Generic[M]):
    """A mailbox and the one task that empties it.

    ``receive`` handles one message at a time; a message that fails is logged and dropped, since
    an actor that died would silently stop a part of the service.
    """

    name = "actor"

    def __init__(self) -> None:
        self._mailbox: asyncio.Queue[M] = asyncio.Queue()
        self._tasks: set[asyncio.Task[Any]] = set()

    def send(self, message: M) -> None:
        """Leave a message.

        The mailbox has no limit of its own, as nothing may be dropped: a sender has one message
        under way for what it is about (a machine, an owner, a cloud call), and that bounds it.
        """
        self._mailbox.put_nowait(message)

    async def receive(self, message: M) -> None:
        """Handle one message."""
        raise NotImplementedError

    async def run(self) -> None:
        """Handle messages for ever."""
        while True:
            message = await self._mailbox.get()
            try:
                await self.receive(message)
            except asyncio.CancelledError:
                raise
            except Exception:
                log.exception("%s: a %s failed", self.name, type(message).__name__)

    def spawn(self, work: Awaitable[Any]) -> None:
        """Run something beside the mailbox, kept alive and its failure logged."""
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._finished)

    def _finished(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.error("%s: background work failed", self.name, exc_info=task.exception())


async def run_forever(work: Callable[[], Awaitable[None]]) -> None:
    """Run a loop that must not end; one that fails is logged and begun again a little later."""
    while True:
        try:
            await work()
        except Exception:
            log.exception("%s failed", getattr(work, "__qualname__", "a loop"))
        await asyncio.sleep(1.0)
