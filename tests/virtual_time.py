"""An event loop in virtual time, and an in-memory network.

Time advances only when no callback is ready to run. The real controllers run on this loop, so
that a test covers minutes of their operation in a second or two, and deterministically.
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

# The name of the process that the running code belongs to, so that one process can be frozen.
CURRENT_PROCESS: contextvars.ContextVar[str] = contextvars.ContextVar("PROCESS", default="")


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop that never sleeps: its time jumps to the next timer."""

    class _Selector(selectors.SelectSelector):
        loop: VirtualLoop

        def select(self, timeout=None):
            if timeout is None:
                raise RuntimeError("deadlock: no timer is scheduled and no callback is ready")
            self.loop.now += timeout
            return []

    def __init__(self) -> None:
        selector = self._Selector()
        selector.loop = self
        self.now = 0.0
        # By frozen process: the callbacks that became due, to be run when it is thawed.
        self.frozen_callbacks: dict[str, list[tuple[list, Callable[..., Any], tuple]]] = {}
        super().__init__(selector)

    def time(self) -> float:
        return self.now

    def _unless_frozen(self, handles: list, callback: Callable[..., Any], args: tuple) -> None:
        """Run a callback, or postpone it until its process is thawed.

        ``handles`` holds the callback's own handle, through which it can be cancelled while it is
        postponed. It is a list because the handle exists only after the callback is scheduled.
        """
        postponed = self.frozen_callbacks.get(CURRENT_PROCESS.get())
        if postponed is None:
            callback(*args)
        else:
            postponed.append((handles, callback, args))

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


def run_in_virtual_time(coroutine: Coroutine[Any, Any, None]) -> None:
    """Run a coroutine to its end in virtual time."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        runner.run(coroutine)


class VirtualClock:
    """The clocks of a host: the monotonic clock drifts, the wall clock has a bounded offset."""

    def __init__(self, loop: asyncio.AbstractEventLoop, rng: random.Random) -> None:
        self._loop = loop
        self._rate = 1.0 + rng.uniform(0.0, 0.0005)
        self._start_us = rng.randrange(10**12)
        self._wall_offset_us = rng.randint(-900_000, 900_000)

    def now_us(self) -> int:
        return self._start_us + round(self._loop.time() * self._rate * 1e6)

    def wall_us(self) -> int:
        return 1_700_000_000_000_000 + self._wall_offset_us + round(self._loop.time() * 1e6)


def connection_refused(reason: OSError | None = None) -> aiohttp.ClientConnectorError:
    key = SimpleNamespace(host="nowhere", port=0, ssl=True, is_ssl=False)
    error = reason or ConnectionRefusedError("refused")
    return aiohttp.ClientConnectorError(key, error)  # type: ignore[arg-type]


class Network:
    """Delivers requests between hosts, with the faults that a test has set."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        # By address: the host's name and its request handler.
        self.hosts: dict[str, tuple[str, RequestHandler]] = {}
        # (sender, receiver) pairs whose connections are refused.
        self.refused_pairs: set[tuple[str, str]] = set()
        # (sender, receiver) pairs whose messages are delayed until the event is set.
        self.held_pairs: dict[tuple[str, str], asyncio.Event] = {}
        # Hosts that hang until the event is set: messages to them wait, and they send nothing.
        self.hung_hosts: dict[str, asyncio.Event] = {}
        self.extra_delay_s: dict[str, float] = {}
        # By the beginning of a path: the share of answered requests of which copies arrive late.
        self.copied_shares: dict[str, float] = {}
        self.copies = 0
        self._tasks: set[asyncio.Task[Any]] = set()

    def spawn(self, coroutine: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    def _on_task_done(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if not task.cancelled():
            task.exception()

    async def wait_while_hung(self, host: str) -> None:
        while host in self.hung_hosts:
            await self.hung_hosts[host].wait()

    async def _delay(self, sender: str, receiver: str) -> None:
        while (sender, receiver) in self.held_pairs:
            await self.held_pairs[(sender, receiver)].wait()
        await asyncio.sleep(self.rng.uniform(0.0005, 0.003) + self.extra_delay_s.get(receiver, 0.0))
        await self.wait_while_hung(receiver)

    async def _deliver(
        self, sender: str, address: str, method: str, path: str, body: bytes
    ) -> tuple[int, bytes]:
        """Deliver a request and its answer; goes on even if the sender has timed out."""
        name, _ = self.hosts[address]
        await self._delay(sender, name)
        if address not in self.hosts:
            raise aiohttp.ServerDisconnectedError
        answer = await self.hosts[address][1](method, path, body, sender)
        self._maybe_copy(sender, address, method, path, body)
        await self._delay(name, sender)
        if address not in self.hosts:
            raise aiohttp.ServerDisconnectedError
        return answer

    def _maybe_copy(self, sender: str, address: str, method: str, path: str, body: bytes) -> None:
        share = next((s for p, s in self.copied_shares.items() if path.startswith(p)), 0.0)
        if method == "POST" and share > 0.0 and self.rng.random() < share:
            for _ in range(self.rng.choice([1, 1, 2])):
                self.spawn(self._deliver_copy(sender, address, method, path, body))

    async def _deliver_copy(
        self, sender: str, address: str, method: str, path: str, body: bytes
    ) -> None:
        """A request that was answered arrives once more; nobody waits for the answer."""
        await asyncio.sleep(self.rng.choice([self.rng.uniform(0.05, 3.0), self.rng.uniform(3, 32)]))
        if address in self.hosts:
            await self.wait_while_hung(self.hosts[address][0])
        if address in self.hosts:
            self.copies += 1
            await self.hosts[address][1](method, path, body, sender)

    async def call(
        self, sender: str, method: str, url: str, body: bytes, timeout_s: float
    ) -> tuple[int, bytes]:
        address, _, path = url.removeprefix("http://").partition("/")
        async with asyncio.timeout(timeout_s):
            await self.wait_while_hung(sender)
            if address not in self.hosts:
                await asyncio.sleep(0.001)
                raise connection_refused()
            name = self.hosts[address][0]
            if (sender, name) in self.refused_pairs:
                raise connection_refused()
            if (sender, name) in self.held_pairs and self.rng.random() < 0.5:
                # The connection attempt times out. In the other half of the cases the request
                # goes out on an open connection and is delayed.
                await asyncio.sleep(min(1.0, timeout_s / 2))
                raise connection_refused(OSError("timed out"))
            request = self._deliver(sender, address, method, "/" + path, body)
            return await asyncio.shield(self.spawn(request))


class _Response:
    def __init__(self, status: int, body: bytes) -> None:
        self.status, self._body = status, body

    async def read(self) -> bytes:
        return self._body


class _RequestContext:
    def __init__(self, request: Coroutine[Any, Any, tuple[int, bytes]]) -> None:
        self._request = request

    async def __aenter__(self) -> _Response:
        return _Response(*await self._request)

    async def __aexit__(self, *_: object) -> None:
        return None


class SimulatedHttp:
    """The part of aiohttp's client session that mosswalk uses, for one host."""

    def __init__(self, network: Network, host: str) -> None:
        self._network, self._host = network, host

    def request(self, method, url, data=None, timeout=None, headers=None) -> _RequestContext:
        total_s = timeout.total if timeout is not None else 30.0
        return _RequestContext(self._network.call(self._host, method, url, data or b"", total_s))

    def post(self, url, **options) -> _RequestContext:
        return self.request("POST", url, **options)
