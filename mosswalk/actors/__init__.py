"""The actor base class, clocks and helpers for background work.

An actor owns its state and is changed only by the messages it receives. Time and randomness are
passed in, so that tests can reproduce decisions exactly. All times are whole microseconds.
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
    """Convert seconds, which all protocols and settings use, to whole microseconds."""
    return round(seconds * SECOND_US)


def to_s(us: int) -> float:
    """Convert microseconds to seconds, for protocols and timers."""
    return us / SECOND_US


class Clock(Protocol):
    """A source of time."""

    def now_us(self) -> int:
        """Monotonic time, for durations within this process."""

    def wall_us(self) -> int:
        """Time of day, which differs from true time by no more than the deployment's bound."""


class SystemClock:
    """The clocks of the machine that this process runs on."""

    def now_us(self) -> int:
        """Monotonic time."""
        return time.monotonic_ns() // 1000

    def wall_us(self) -> int:
        """Time of day."""
        return time.time_ns() // 1000


M = TypeVar("M")


class Actor(Generic[M]):
    """A mailbox and the single task that handles its messages in order.

    ``receive`` handles one message at a time. If it raises an exception, the message is logged and
    dropped: ending the actor instead would silently stop a part of the service.
    """

    name = "actor"

    def __init__(self) -> None:
        self._mailbox: asyncio.Queue[M] = asyncio.Queue()
        self._tasks: set[asyncio.Task[Any]] = set()

    def send(self, message: M) -> None:
        """Put a message into the mailbox.

        The mailbox has no size limit, since no message may be dropped. Senders bound it: each has
        at most one message in flight per subject (a machine, a team owner, a cloud call).
        """
        self._mailbox.put_nowait(message)

    async def receive(self, message: M) -> None:
        """Handle one message."""
        raise NotImplementedError

    async def run(self) -> None:
        """Handle messages until cancelled."""
        while True:
            message = await self._mailbox.get()
            try:
                await self.receive(message)
            except asyncio.CancelledError:
                raise
            except Exception:
                log.exception("%s: handling a %s failed", self.name, type(message).__name__)

    def spawn(self, work: Awaitable[Any]) -> None:
        """Run an awaitable concurrently with the mailbox; a failure is logged."""
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.error("%s: background task failed", self.name, exc_info=task.exception())


async def run_forever(work: Callable[[], Awaitable[None]]) -> None:
    """Run a loop that must not end; if it fails, log the failure and restart it after a second."""
    while True:
        try:
            await work()
        except Exception:
            log.exception("%s failed", getattr(work, "__qualname__", "a loop"))
        await asyncio.sleep(1.0)
