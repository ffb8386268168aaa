"""Time that passes only when nothing else is to be done, and a network in memory.

The real controllers run on it, so minutes of their life are played in a second or two, and the
same way every time.
"""

from __future__ import annotations

import asyncio
import contextvars
import random
import selectors
from collections.abc import Awaitable, Callable, Coroutine
from types import SimpleNamespace
from typing import Any

import aiohttp

RequestHandler = Callable[[str, str, bytes, str], Awaitable[tuple[int, bytes]]]

# Which process what runs belongs to, so that one alone can stand still.
CURRENT_PROCESS: contextvars.ContextVar[str] = contextvars.ContextVar("PROCESS", default="")


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop that never waits: its time jumps to the next timer."""

    class _Selector(selectors.SelectSelector):
        loop: VirtualLoop

        def select(self, timeout=None):
            if timeout is None:
                raise RuntimeError("all wait for ever")
            self.loop.now += timeout
            return []

    def __init__(self) -> None:
        selector = self._Selector()
        selector.loop = self
        self.now = 0.0
        # What processes that stand still would have run.
        self.frozen_callbacks: dict[str, list[tuple[list, Callable[..., Any], tuple]]] = {}
        super().__init__(selector)

    def time(self) -> float:
        return self.now

    def _unless_frozen(self, handles: list, callback: Callable[..., Any], args: tuple) -> None:
        waiting = self.frozen_callbacks.get(CURRENT_PROCESS.get())
        if waiting is None:
            callback(*args)
        else:
            waiting.append((handles, callback, args))

    def call_soon(self, callback, *args, context=None):
        handles: list = []
        handle = super().call_soon(self._unless_frozen, handles, callback, args, context=context)
        handles.append(handle)
        return handle

    def call_at(self, when, callback, *args, context=None):
        handles: list = []
        handle = super().call_at(
            when, self._unless_frozen, handles, callback, args, context=context
        )
        handles.append(handle)
        return handle

    def thaw(self, process: str) -> None:
        for handles, callback, args in self.frozen_callbacks.pop(process, ()):
            if not handles[0].cancelled():
                super().call_soon(callback, *args, context=handles[0]._context)


def run_in_virtual_time(work: Coroutine[Any, Any, None]) -> None:
    """Run something on virtual time to its end."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        runner.run(work)


class VirtualClock:
    """A host's own clocks: the steady one drifts, the time of day is off by a bounded amount."""

    def __init__(self, loop: asyncio.AbstractEventLoop, rng: random.Random) -> None:
        self._loop = loop
        self._rate = 1.0 + rng.uniform(0.0, 0.0005)
        self._begun_us = rng.randrange(10**12)
        self._off_us = rng.randint(-900_000, 900_000)

    def now_us(self) -> int:
        return self._begun_us + round(self._loop.time() * self._rate * 1e6)

    def wall_us(self) -> int:
        return 1_700_000_000_000_000 + self._off_us + round(self._loop.time() * 1e6)


def refused(reason: OSError | None = None) -> aiohttp.ClientConnectorError:
    key = SimpleNamespace(host="nowhere", port=0, ssl=True, is_ssl=False)
    error = reason or ConnectionRefusedError("refused")
    return aiohttp.ClientConnectorError(key, error)  # type: ignore[arg-type]


class Network:
    """Hosts by address, and what keeps them apart."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.hosts: dict[str, tuple[str, RequestHandler]] = {}
        # Pairs of hosts, from and to, between which connections are refused, or all is held back.
        self.refused_pairs: set[tuple[str, str]] = set()
        self.held_pairs: dict[tuple[str, str], asyncio.Event] = {}
        # Hosts that stand still: what reaches them waits, and they send nothing.
        self.hung_hosts: dict[str, asyncio.Event] = {}
        self.extra_delay_s: dict[str, float] = {}
        self._tasks: set[asyncio.Task[Any]] = set()

    def spawn(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._done)
        return task

    def _done(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if not task.cancelled():
            task.exception()

    async def wait_while_hung(self, host: str) -> None:
        while host in self.hung_hosts:
            await self.hung_hosts[host].wait()

    async def _pass(self, sender: str, receiver: str) -> None:
        while (sender, receiver) in self.held_pairs:
            await self.held_pairs[(sender, receiver)].wait()
        await asyncio.sleep(self.rng.uniform(0.0005, 0.003) + self.extra_delay_s.get(receiver, 0.0))
        await self.wait_while_hung(receiver)

    async def _carry(
        self, sender: str, address: str, method: str, path: str, body: bytes
    ) -> tuple[int, bytes]:
        """A request's way there and its answer's way back; goes on when the sender gives up."""
        name, _ = self.hosts[address]
        await self._pass(sender, name)
        if address not in self.hosts:
            raise aiohttp.ServerDisconnectedError
        answer = await self.hosts[address][1](method, path, body, sender)
        await self._pass(name, sender)
        if address not in self.hosts:
            raise aiohttp.ServerDisconnectedError
        return answer

    async def call(
        self, sender: str, method: str, url: str, body: bytes, timeout_s: float
    ) -> tuple[int, bytes]:
        address, _, path = url.removeprefix("http://").partition("/")
        async with asyncio.timeout(timeout_s):
            await self.wait_while_hung(sender)
            if address not in self.hosts:
                await asyncio.sleep(0.001)
                raise refused()
            name = self.hosts[address][0]
            if (sender, name) in self.refused_pairs:
                raise refused()
            if (sender, name) in self.held_pairs and self.rng.random() < 0.5:
                # No connection comes about; what was sent on an open one is held back instead.
                await asyncio.sleep(min(1.0, timeout_s / 2))
                raise refused(OSError("timed out"))
            work = self._carry(sender, address, method, "/" + path, body)
            return await asyncio.shield(self.spawn(work))


class _Response:
    def __init__(self, status: int, body: bytes) -> None:
        self.status, self._body = status, body

    async def read(self) -> bytes:
        return self._body


class _Exchange:
    def __init__(self, work: Coroutine[Any, Any, tuple[int, bytes]]) -> None:
        self._work = work

    async def __aenter__(self) -> _Response:
        return _Response(*await self._work)

    async def __aexit__(self, *_: object) -> None:
        return None


class SimulatedHttp:
    """What mosswalk uses of aiohttp's client, for one host."""

    def __init__(self, network: Network, host: str) -> None:
        self._network, self._host = network, host

    def request(self, method, url, data=None, timeout=None, headers=None) -> _Exchange:
        total_s = timeout.total if timeout is not None else 30.0
        return _Exchange(self._network.call(self._host, method, url, data or b"", total_s))

    def post(self, url, **options) -> _Exchange:
        return self.request("POST", url, **options)
