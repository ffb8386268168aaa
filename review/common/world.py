"""Stand-ins of the state service, the cloud, the workers and the users, written from PROTOCOL.

The controllers are processes of their own, started with the command of the deploy file. All else
runs in the process of the test, on loopback addresses and the real clock.
"""

from __future__ import annotations

import asyncio
import json
import logging
import os
import random
import shlex
import signal
import socket
import sys
import time
import tomllib
from collections import deque
from collections.abc import Awaitable, Callable
from contextlib import suppress
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "target" / "deps"))

import aiohttp  # noqa: E402  (the path must be set first)
from aiohttp import web  # noqa: E402

# A connection that is reset on purpose is no error of the stand-in.
logging.getLogger("aiohttp.server").setLevel(logging.CRITICAL)

Json = dict[str, Any]

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2


class CaseError(Exception):
    """The case could not run, so it says nothing about the rule."""


class Recorder:
    """Writes what was sent, answered and run to ``record.txt``."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._started = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the test began."""
        return time.monotonic() - self._started

    def __call__(self, who: str, text: str) -> None:
        """Write one line."""
        self._file.write(f"{self.now():8.3f} {who:<12} {text}\n")
        self._file.flush()


class Bucket:
    """A rate limit with bursts of ``burst_s`` seconds' worth."""

    def __init__(self, rate: float, burst_s: float) -> None:
        self._rate, self._most = rate, rate * burst_s
        self._tokens, self._at = self._most, time.monotonic()

    def take(self, count: float = 1.0) -> bool:
        """Take tokens if there are enough."""
        now = time.monotonic()
        self._tokens = min(self._most, self._tokens + (now - self._at) * self._rate)
        self._at = now
        if self._tokens < count:
            return False
        self._tokens -= count
        return True


def bound_socket() -> socket.socket:
    """Return a socket that is bound to a free port of the loopback interface."""
    while True:
        bound = socket.socket()
        try:
            bound.bind(("127.0.0.1", random.randrange(20_000, 32_000)))
        except OSError:
            bound.close()
            continue
        return bound


def reserved_port() -> tuple[int, socket.socket]:
    """Return a free port for a controller, and the socket that keeps others from taking it.

    That socket never listens, so the controller can bind to the same port.
    """
    bound = bound_socket()
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    return int(bound.getsockname()[1]), bound


async def serve(app: web.Application, bound: socket.socket) -> web.AppRunner:
    """Serve an application on a bound socket."""
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1, keepalive_timeout=75.0)
    await runner.setup()
    await web.SockSite(runner, bound, backlog=512).start()
    return runner


class StateService:
    """The state service. Each controller has an address of its own, so that links can differ."""

    def __init__(self, record: Recorder, rps: float, write_rps: float, latency_s: float) -> None:
        self.record = record
        self.rows: dict[str, tuple[Any, int, int | None]] = {}
        self.ledger = 0
        self.events: deque[Json] = deque(maxlen=10_000)
        self.holds: dict[int, tuple[float, float]] = {}
        self._next_hold = 1
        self._requests, self._writes = Bucket(rps, 1.0), Bucket(write_rps, 1.0)
        self._latency_s = latency_s
        self._changed = asyncio.Event()
        self.ports: dict[str, int] = {}
        # Controllers that alone get 503, and whether all do.
        self.refused: set[str] = set()
        self._is_out = False
        # Called after a transaction of a controller was carried out, and before it is answered:
        # for how long the controller is then cut from the state service.
        self.cut_after_commit: Callable[[str, Json], float] = lambda _node, _body: 0.0
        # Until when each controller is cut off: its connections are reset, the new ones too.
        self._cut_until: dict[str, float] = {}
        # Called before a transaction is carried out; it may wait.
        self.before_commit: Callable[[str, Json], Awaitable[None]] | None = None
        self._transports: dict[str, set[asyncio.BaseTransport]] = {}
        self._runners: list[web.AppRunner] = []

    async def start(self, nodes: list[str]) -> None:
        """Listen on one port for each controller."""
        for node in nodes:
            bound = bound_socket()
            self.ports[node] = bound.getsockname()[1]
            self._transports[node] = set()
            app = web.Application(client_max_size=1 << 20)
            for method, path, handler in (
                ("GET", "/store/{key:.+}", self._get),
                ("GET", "/store", self._range),
                ("POST", "/commit", self._commit),
                ("POST", "/holds", self._grant),
                ("POST", "/holds/{id}/touch", self._touch),
                ("DELETE", "/holds/{id}", self._end),
                ("GET", "/follow", self._follow),
            ):
                app.router.add_route(method, path, self._guarded(node, handler))
            self._runners.append(await serve(app, bound))
        self._expiry = asyncio.create_task(self._expire())

    async def stop(self) -> None:
        """Stop to listen."""
        self._expiry.cancel()
        for runner in self._runners:
            await runner.cleanup()

    def cut(self, node: str, for_s: float) -> None:
        """Cut a controller from the state service: reset all connections, the new ones too."""
        self._cut_until[node] = time.monotonic() + for_s
        open_now = [t for t in self._transports[node] if not t.is_closing()]
        self._transports[node].clear()
        self.record("network", f"cut {node} <-> state service for {for_s:.3f} s")
        for transport in open_now:
            assert isinstance(transport, asyncio.WriteTransport)
            transport.abort()

    async def outage(self, for_s: float) -> None:
        """Refuse all requests for a while; then every lease has its full time again."""
        self.record("state", f"outage of {for_s:.0f} s begins")
        self._is_out = True
        await asyncio.sleep(for_s)
        now = time.monotonic()
        self.holds = {hold: (now + ttl, ttl) for hold, (_, ttl) in self.holds.items()}
        self._is_out = False
        self.record("state", "the outage is over")

    def _is_refused(self, node: str) -> bool:
        return self._is_out or node in self.refused

    def _guarded(
        self, node: str, handler: Callable[[str, web.Request], Awaitable[web.Response]]
    ) -> Callable[[web.Request], Awaitable[web.Response]]:
        async def handle(request: web.Request) -> web.Response:
            if request.transport is not None:
                self._transports[node].add(request.transport)
                if time.monotonic() < self._cut_until.get(node, 0.0):
                    request.transport.abort()
                    raise ConnectionResetError
            if self._is_refused(node):
                return web.json_response({"error": "unavailable"}, status=503)
            if not self._requests.take():
                return web.json_response({"error": "too many requests"}, status=429)
            await asyncio.sleep(self._latency_s / 2)
            response = await handler(node, request)
            await asyncio.sleep(self._latency_s / 2)
            return response

        return handle

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(0.02)
            if self._is_out:
                continue
            now = time.monotonic()
            for hold in [h for h, (until, _) in self.holds.items() if until < now]:
                del self.holds[hold]
                self._drop_hold(hold)

    def _drop_hold(self, hold: int) -> None:
        keys = [k for k, row in self.rows.items() if row[2] == hold]
        if keys:
            self.ledger += 1
            for key in keys:
                del self.rows[key]
                self.events.append({"delete": key, "stamp": self.ledger})
            self._notify()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _row(self, key: str) -> Json:
        value, stamp, hold = self.rows[key]
        return {"path": key, "v": value, "stamp": stamp, "hold": hold}

    async def _get(self, _node: str, request: web.Request) -> web.Response:
        key = request.match_info["key"]
        if key not in self.rows:
            return web.json_response({"ledger": self.ledger}, status=404)
        return web.json_response(self._row(key))

    async def _range(self, _node: str, request: web.Request) -> web.Response:
        prefix, after = request.query["starts"], request.query.get("after", "")
        limit = min(1000, int(request.query.get("limit", 1000)))
        keys = sorted(k for k in self.rows if k.startswith(prefix) and k > after)
        rows: list[Json] = []
        size = 0
        for key in keys[:limit]:
            row = self._row(key)
            size += len(json.dumps(row))
            if rows and size > 512 * 1024:
                break
            rows.append(row)
        body = {"rows": rows, "truncated": len(rows) < len(keys), "ledger": self.ledger}
        return web.json_response(body)

    async def _commit(self, node: str, request: web.Request) -> web.Response:
        raw = await request.read()
        body = json.loads(raw)
        guards, writes = body.get("guards", []), body.get("writes", [])
        if len(raw) > 64 * 1024 or len(writes) > 16 or len(guards) > 64:
            self.record("state", f"{node} commit 400: {len(raw)} bytes, {len(writes)} writes")
            return web.json_response({"error": "too large"}, status=400)
        if any(len(json.dumps(w["v"])) > 16 * 1024 for w in writes if "write" in w):
            return web.json_response({"error": "value too large"}, status=400)
        if not self._writes.take(max(1, len(writes))):
            return web.json_response({"error": "too many changes"}, status=429)
        if self.before_commit is not None:
            await self.before_commit(node, body)
        for write in writes:
            if write.get("hold") is not None and write["hold"] not in self.holds:
                return web.json_response({"error": "no such lease"}, status=400)
        failed = [
            g["path"]
            for g in guards
            if (self.rows[g["path"]][1] if g["path"] in self.rows else 0) != g["stamp"]
        ]
        if failed:
            self.record("state", f"{node} commit 409 {failed}")
            return web.json_response({"failed": failed, "ledger": self.ledger}, status=409)
        if writes:
            self.ledger += 1
            for write in writes:
                if "delete" in write:
                    if self.rows.pop(write["delete"], None) is not None:
                        self.events.append({"delete": write["delete"], "stamp": self.ledger})
                else:
                    key, value = write["write"], write["v"]
                    self.rows[key] = (value, self.ledger, write.get("hold"))
                    self.events.append({"write": key, "v": value, "stamp": self.ledger})
            keys = [w.get("write") or f"-{w['delete']}" for w in writes]
            self.record("state", f"{node} commit 200 ledger {self.ledger} {keys}")
            self._notify()
        cut_s = self.cut_after_commit(node, body)
        if cut_s:
            self.cut(node, cut_s)
        return web.json_response({"ledger": self.ledger})

    async def _grant(self, _node: str, request: web.Request) -> web.Response:
        ttl = (await request.json())["ttl_ms"] / 1000
        hold, self._next_hold = self._next_hold, self._next_hold + 1
        self.holds[hold] = (time.monotonic() + ttl, ttl)
        return web.json_response({"hold": hold})

    async def _touch(self, _node: str, request: web.Request) -> web.Response:
        hold = int(request.match_info["id"])
        if hold not in self.holds:
            return web.json_response({"error": "no such lease"}, status=404)
        ttl = self.holds[hold][1]
        self.holds[hold] = (time.monotonic() + ttl, ttl)
        return web.json_response({"hold": hold})

    async def _end(self, _node: str, request: web.Request) -> web.Response:
        hold = int(request.match_info["id"])
        if self.holds.pop(hold, None) is None:
            return web.json_response({"error": "no such lease"}, status=404)
        self._drop_hold(hold)
        return web.json_response({})

    async def _follow(self, node: str, request: web.Request) -> web.Response:
        prefix, after = request.query["starts"], int(request.query["after"])
        until = time.monotonic() + min(60_000, int(request.query.get("hold_ms", 0))) / 1000
        forgotten = len(self.events) == self.events.maxlen
        if forgotten and after < self.events[0]["stamp"] - 1:
            return web.json_response({"error": "too old"}, status=410)
        while True:
            changed = self._changed
            found = [
                e
                for e in self.events
                if e["stamp"] > after and (e.get("write") or e["delete"]).startswith(prefix)
            ]
            left = until - time.monotonic()
            # An open watch of a controller that is refused waits as in an outage.
            if not self._is_refused(node) and (found or left <= 0):
                return web.json_response({"ledger": self.ledger, "events": found})
            with suppress(TimeoutError):
                async with asyncio.timeout(max(0.02, min(left, 0.2))):
                    await changed.wait()


class Task:
    """One attempt of a task on a worker."""

    def __init__(self, piece: str, number: int) -> None:
        self.piece, self.number = piece, number
        self.phase = "pulling"
        self.cause: str | None = None
        self.saved = False
        self.runner: asyncio.Task[None] | None = None

    def row(self) -> Json:
        """The task as a report lists it."""
        row: Json = {"piece": self.piece, "try": self.number, "phase": self.phase}
        if self.cause is not None:
            row["cause"] = self.cause
        if self.saved:
            row["saved"] = True
        return row


class Worker:
    """A machine and its worker."""

    def __init__(self, world: World, name: str, build: Json, yard: str, spot: bool) -> None:
        self.world, self.name, self.build, self.yard, self.spot = world, name, build, yard, spot
        self.rented_at = time.monotonic()
        self.phase = "booting"
        self._socket = bound_socket()
        self.port = self._socket.getsockname()[1]
        self.tenure, self.tick, self.epoch = 1, 0, 0
        self.tasks: dict[tuple[str, int], Task] = {}
        self.images: set[str] = set()
        self._fetches: dict[str, asyncio.Task[None]] = {}
        self._answered_at = 0.0
        self._changed = asyncio.Event()
        self._runner: web.AppRunner | None = None
        self._loop: asyncio.Task[None] | None = None
        # A faulty machine: every task that it starts fails.
        self.sick = False
        # Hanging: nothing happens on it, until it goes on.
        self.hangs = asyncio.Event()
        self.hangs.set()

    async def boot(self, after_s: float) -> None:
        """Come up after a while and report until the machine is gone."""
        await asyncio.sleep(after_s)
        app = web.Application(client_max_size=1 << 20)
        app.router.add_post("/orders", self._orders)
        app.router.add_get("/show", self._show)
        self._runner = await serve(app, self._socket)
        self.phase = "running"
        self._answered_at = time.monotonic()
        self.world.record(self.name, f"is up ({self.build['label']}, {self.yard})")
        self._loop = asyncio.create_task(self._report_loop())

    async def remove(self) -> None:
        """Be gone, with everything on it."""
        for task in list(self.tasks.values()):
            self._finish(task, "gone")
        if self._loop is not None:
            self._loop.cancel()
        if self._runner is not None:
            await self._runner.cleanup()
        self._socket.close()

    def report(self) -> Json:
        """The report, with the next tick."""
        self.tick += 1
        return {
            "host": self.name,
            "addr": f"127.0.0.1:{self.port}",
            "build": self.build["label"],
            "yard": self.yard,
            "reclaimable": self.spot,
            "tenure": self.tenure,
            "tick": self.tick,
            "epoch": self.epoch,
            "warning_s": None,
            "pieces": [task.row() for task in self.tasks.values()],
        }

    def free(self, key: str) -> float:
        """The amount of a resource that no task on the machine takes."""
        used = sum(
            self.world.jobs[t.piece.partition("/")[0]][key]
            for t in self.tasks.values()
            if t.phase != "exited"
        )
        return float(self.build[key]) - used

    def _execute(self, orders: list[Json], how: str) -> None:
        for order in orders:
            key = (order["piece"], order["try"])
            self.world.record(
                self.name, f"{how}: {order['verb']} {key[0]} try {key[1]} (epoch {self.epoch})"
            )
            if order["verb"] == "run" and key not in self.tasks:
                self._start(*key)
            elif order["verb"] == "kill" and key in self.tasks:
                self._kill(self.tasks[key], float(order.get("drain_s") or 0.0))
            elif order["verb"] == "reap" and key in self.tasks:
                self._reap(self.tasks[key])

    def _reap(self, task: Task) -> None:
        if task.phase == "exited":
            del self.tasks[(task.piece, task.number)]

    def _start(self, piece: str, number: int) -> None:
        job = self.world.jobs.get(piece.partition("/")[0])
        refusal = None
        if job is None:
            refusal = "no_such"
        elif any(t.piece == piece and t.phase != "exited" for t in self.tasks.values()):
            refusal = "in_use"
        elif any(self.free(key) < job[key] - 1e-9 for key in ("cores", "cards", "ram_gb")):
            refusal = "full"
        task = self.tasks[(piece, number)] = Task(piece, number)
        if refusal is not None:
            task.phase, task.cause = "exited", refusal
            self.world.record(self.name, f"refused {piece} try {number}: {refusal}")
            self._changed.set()
            return
        assert job is not None
        task.runner = asyncio.create_task(self._run(task, job))

    async def _run(self, task: Task, job: Json) -> None:
        await self._fetch(job)
        task.phase = "running"
        self.world.on_start(self, task)
        self._changed.set()
        if self.sick:
            await asyncio.sleep(0.05)
            self._finish(task, "error")
        elif task.piece in self.world.done:
            self._finish(task, "done")
        elif job["shape"] != "daemon":
            await asyncio.sleep(self.world.run_s(task.piece))
            await self.hangs.wait()
            self.world.done.add(task.piece)
            self._finish(task, "done")

    async def _fetch(self, job: Json) -> None:
        """Wait until the image is on the machine; all tasks that need it share one fetch."""
        image = job["bundle"]
        if image in self.images:
            return
        if image not in self._fetches:
            seconds = job["image_gb"] / self.build["fetch_gb_per_s"]
            self._fetches[image] = asyncio.create_task(self._fetch_image(image, seconds))
        await asyncio.shield(self._fetches[image])

    async def _fetch_image(self, image: str, seconds: float) -> None:
        await asyncio.sleep(seconds)
        self.images.add(image)
        del self._fetches[image]

    def _kill(self, task: Task, drain_s: float) -> None:
        job = self.world.jobs[task.piece.partition("/")[0]]
        if task.phase == "exited" or (task.phase == "saving" and drain_s > 0):
            return
        if task.phase == "running" and job["savepoint_s"] > 0 and drain_s >= job["flush_s"]:
            task.phase = "saving"
            if task.runner is not None:
                task.runner.cancel()
            task.runner = asyncio.create_task(self._save(task, job["flush_s"]))
            self._changed.set()
        else:
            self._finish(task, "stopped")

    async def _save(self, task: Task, flush_s: float) -> None:
        await asyncio.sleep(flush_s)
        task.saved = True
        self._finish(task, "stopped")

    def _finish(self, task: Task, cause: str) -> None:
        if task.phase == "exited":
            return
        was_on = task.phase in ("running", "saving")
        task.phase, task.cause = "exited", cause
        if was_on:
            self.world.on_end(self, task, cause)
        if task.runner is not None and task.runner is not asyncio.current_task():
            task.runner.cancel()
        self._changed.set()

    async def _orders(self, request: web.Request) -> web.Response:
        await self.hangs.wait()
        body = await request.json()
        if "epoch" not in body or "tenure" not in body:
            return web.json_response({"error": "epoch or tenure is missing"}, status=400)
        if body["epoch"] < self.epoch or body["tenure"] != self.tenure:
            return web.json_response(self.report(), status=409)
        if body["epoch"] > self.epoch:
            self.epoch = body["epoch"]
            self._changed.set()
        self._execute(body["orders"], "/orders")
        return web.json_response(self.report())

    async def _show(self, _request: web.Request) -> web.Response:
        await self.hangs.wait()
        return web.json_response(self.report())

    def _check_lease(self) -> None:
        if time.monotonic() - self._answered_at > self.world.lease_s:
            self.world.record(self.name, f"lease of session {self.tenure} has ended")
            for task in list(self.tasks.values()):
                self._finish(task, "lease")
            self.tasks.clear()
            self.tenure += 1
            self._answered_at = time.monotonic()

    async def _report_loop(self) -> None:
        nodes = list(self.world.serve_ports)
        target = random.randrange(len(nodes))
        async with aiohttp.ClientSession() as http:
            while True:
                await self.hangs.wait()
                self._check_lease()
                self._changed.clear()
                sent_at, tenure = time.monotonic(), self.tenure
                status, answer = await self._send(http, nodes[target])
                pause_s = 1.0
                await self.hangs.wait()
                if status == 200:
                    pause_s = 0.0
                    if tenure == self.tenure and answer.get("epoch", -1) >= self.epoch:
                        self.epoch = answer["epoch"]
                        self._answered_at = sent_at
                        self._execute(answer["orders"], f"answer of {nodes[target]}")
                elif status == 421 and answer.get("steward") in nodes:
                    if answer["steward"] != nodes[target]:
                        target, pause_s = nodes.index(answer["steward"]), 0.05
                    else:
                        target = (target + 1) % len(nodes)
                else:
                    target = (target + 1) % len(nodes)
                if pause_s:
                    await asyncio.sleep(pause_s)
                    continue
                interval_s = self.world.report_s * random.uniform(0.75, 1.25)
                with suppress(TimeoutError):
                    async with asyncio.timeout(interval_s):
                        await self._changed.wait()
                await asyncio.sleep(max(0.0, 0.5 - (time.monotonic() - sent_at)))

    async def _send(self, http: aiohttp.ClientSession, node: str) -> tuple[int, Json]:
        url = f"http://127.0.0.1:{self.world.serve_ports[node]}/v1/report"
        try:
            async with http.post(
                url, json=self.report(), timeout=aiohttp.ClientTimeout(total=4.0)
            ) as response:
                body = await response.read()
                return response.status, json.loads(body) if body else {}
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
            return 0, {}


class Cloud:
    """The cloud's interface."""

    def __init__(
        self,
        world: World,
        builds: list[Json],
        capacity: dict[tuple[str, str, bool], int],
        rps: float,
        latency_s: float,
        lag_s: float,
        boot_s: Callable[[], float],
    ) -> None:
        self.world, self.builds, self.capacity = world, builds, capacity
        self._bucket = Bucket(rps, 2.0)
        self._latency_s, self._lag_s, self._boot_s = latency_s, lag_s, boot_s
        self.machines: dict[str, Worker] = {}
        self.gone: set[str] = set()
        self._hires: dict[str, list[str]] = {}
        self._next = 1
        self._socket = bound_socket()
        self.port = self._socket.getsockname()[1]
        # Called with each new machine.
        self.on_rented: Callable[[Worker], None] = lambda _worker: None

    async def start(self) -> None:
        """Listen."""
        app = web.Application()
        app.router.add_get("/machine_types", self._guarded(self._types))
        app.router.add_post("/machines", self._guarded(self._rent))
        app.router.add_post("/machines/release", self._guarded(self._release))
        app.router.add_get("/machines", self._guarded(self._list))
        self._runner = await serve(app, self._socket)

    async def stop(self) -> None:
        """Remove all machines and stop to listen."""
        for worker in list(self.machines.values()):
            await worker.remove()
        await self._runner.cleanup()

    def _guarded(
        self, handler: Callable[[web.Request], Awaitable[web.Response]]
    ) -> Callable[[web.Request], Awaitable[web.Response]]:
        async def handle(request: web.Request) -> web.Response:
            if not self._bucket.take():
                return web.json_response({"error": "too many requests"}, status=429)
            await asyncio.sleep(self._latency_s)
            return await handler(request)

        return handle

    async def _types(self, _request: web.Request) -> web.Response:
        return web.json_response({"builds": self.builds})

    async def _rent(self, request: web.Request) -> web.Response:
        body = await request.json()
        if body["hire"] in self._hires:
            return web.json_response({"hosts": self._hires[body["hire"]]})
        pool = (body["build"], body["yard"], body["reclaimable"])
        count = min(50, body["how_many"], self.capacity.get(pool, 0))
        if count <= 0:
            return web.json_response({"error": "no capacity"}, status=503)
        self.capacity[pool] -= count
        build = next(b for b in self.builds if b["label"] == body["build"])
        names = []
        for _ in range(count):
            name, self._next = f"vm-{self._next:06d}", self._next + 1
            worker = Worker(self.world, name, build, body["yard"], body["reclaimable"])
            self.machines[name] = worker
            self.on_rented(worker)
            worker.boot_task = asyncio.create_task(worker.boot(self._boot_s()))  # type: ignore[attr-defined]
            names.append(name)
        self._hires[body["hire"]] = names
        self.world.record("cloud", f"rented {names} in {pool}")
        return web.json_response({"hosts": names})

    async def _release(self, request: web.Request) -> web.Response:
        for name in (await request.json())["hosts"]:
            worker = self.machines.pop(name, None)
            if worker is not None:
                worker.boot_task.cancel()  # type: ignore[attr-defined]
                await worker.remove()
                self.capacity[(worker.build["label"], worker.yard, worker.spot)] += 1
                self.gone.add(name)
                self.world.record("cloud", f"released {name}: it is gone")
        return web.json_response({})

    async def _list(self, request: web.Request) -> web.Response:
        now, after = time.monotonic(), request.query.get("after", "")
        rows = [
            {
                "ref": name,
                "addr": f"127.0.0.1:{w.port}",
                "build": w.build["label"],
                "yard": w.yard,
                "reclaimable": w.spot,
                "phase": w.phase,
                "held_s": now - w.rented_at,
            }
            for name, w in sorted(self.machines.items())
            if name > after and now - w.rented_at > self._lag_s
        ]
        limit = int(request.query.get("limit", 500))
        return web.json_response({"hosts": rows[:limit], "truncated": len(rows) > limit})


class World:
    """A small deployment: the stand-ins, the controllers and what the test knows of the tasks."""

    def __init__(
        self,
        folder: Path,
        *,
        nodes: dict[str, str],
        params: Json,
        builds: list[Json],
        capacity: dict[tuple[str, str, bool], int],
        state_latency_s: float,
        cloud_latency_s: float,
        boot_s: Callable[[], float],
        log_level: str = "info",
    ) -> None:
        self.folder = folder
        self.record = Recorder(folder / "record.txt")
        self.zones = nodes
        self.params = params
        self.report_s = params["workers"]["report_s"]
        self.lease_s = params["workers"]["lease_s"]
        self.state = StateService(
            self.record, params["state"]["rps"], params["state"]["write_rps"], state_latency_s
        )
        self.cloud = Cloud(
            self,
            builds,
            capacity,
            params["cloud"]["rps"],
            cloud_latency_s,
            params["cloud"]["list_lag_s"],
            boot_s,
        )
        self.serve_ports: dict[str, int] = {}
        self.peer_ports: dict[str, int] = {}
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        # By job: its description; by task: how long it runs, and whether it has completed.
        self.jobs: dict[str, Json] = {}
        self.done: set[str] = set()
        self.run_s: Callable[[str], float] = lambda _piece: 5.0
        # By task: the machine that it is on, and when it was last on one.
        self.on_machine: dict[str, str] = {}
        self.last_on: dict[str, float] = {}
        self.started: list[tuple[float, str, int, str]] = []
        self.ran_twice: list[str] = []
        self._log_level = log_level
        self._log_files: list[Any] = []
        self._reservations: list[socket.socket] = []

    # What runs where.

    def on_start(self, worker: Worker, task: Task) -> None:
        """Note that a task is on a machine from now on."""
        other = self.on_machine.get(task.piece)
        if other is not None and other != worker.name:
            text = f"{task.piece} starts on {worker.name} while it is on {other}"
            self.ran_twice.append(text)
            self.record("CHECK", text)
        self.on_machine[task.piece] = worker.name
        self.started.append((self.record.now(), task.piece, task.number, worker.name))
        self.record(worker.name, f"task {task.piece} try {task.number} starts")

    def on_end(self, worker: Worker, task: Task, cause: str) -> None:
        """Note that a task is no longer on a machine."""
        if self.on_machine.get(task.piece) == worker.name:
            del self.on_machine[task.piece]
        self.last_on[task.piece] = self.record.now()
        self.record(worker.name, f"task {task.piece} try {task.number} ended: {cause}")

    # The controllers.

    def _settings(self, node: str) -> str:
        lines = [
            f'host_name = "{node}"',
            f'zone = "{self.zones[node]}"',
            f'serve_on = "127.0.0.1:{self.serve_ports[node]}"',
            f'cluster_listen = "127.0.0.1:{self.peer_ports[node]}"',
        ]
        for other in self.zones:
            if other != node:
                lines += ["[[known]]", f'host_name = "{other}"', f'zone = "{self.zones[other]}"']
                lines.append(f'address = "127.0.0.1:{self.peer_ports[other]}"')
        lines += ["[outside]", f'cloud = "127.0.0.1:{self.cloud.port}"']
        lines.append(f'state = "127.0.0.1:{self.state.ports[node]}"')
        lines += _toml("params", self.params)
        return "\n".join(lines) + "\n"

    async def start(self) -> None:
        """Start the stand-ins and all controllers, and wait until all are healthy."""
        self.http = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
        await self.state.start(list(self.zones))
        await self.cloud.start()
        for node in self.zones:
            for ports in (self.serve_ports, self.peer_ports):
                ports[node], reservation = reserved_port()
                self._reservations.append(reservation)
        self.temporary = Path(os.environ["CASE_TMP"])
        for node in self.zones:
            (self.temporary / f"{node}.toml").write_text(self._settings(node), encoding="utf-8")
            await self.start_node(node)
        for node in self.zones:
            await self.until(lambda node=node: self.healthy(node), 20.0, f"{node} is healthy")
        self.record("test", "all controllers are healthy")

    async def start_node(self, node: str) -> None:
        """Start a controller with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy" / "service.toml").read_text(encoding="utf-8"))
        command = [*shlex.split(deploy["run"]), str(self.temporary / f"{node}.toml")]
        log = (self.temporary / f"{node}.log").open("ab")
        self._log_files.append(log)
        self.processes[node] = await asyncio.create_subprocess_exec(
            *command,
            cwd=ROOT,
            stderr=log,
            stdout=log,
            env={**os.environ, "LOG_LEVEL": self._log_level},
        )
        self.record("test", f"started {node}")

    def kill_node(self, node: str) -> None:
        """Kill a controller."""
        self.record("test", f"kill {node}")
        self.processes[node].kill()

    def signal_node(self, node: str, number: signal.Signals) -> None:
        """Send a signal to a controller."""
        self.record("test", f"{number.name} to {node}")
        self.processes[node].send_signal(number)

    async def healthy(self, node: str) -> bool:
        """Whether a controller's health check gives 200."""
        try:
            async with self.http.get(
                f"http://127.0.0.1:{self.serve_ports[node]}/healthz",
                timeout=aiohttp.ClientTimeout(total=1.0),
            ) as response:
                return response.status == 200
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False

    def leader(self) -> str | None:
        """The controller that holds the leader's key in the state service."""
        row = self.state.rows.get("m/lead")
        return str(row[0]["node"]) if row is not None else None

    async def stop(self) -> None:
        """End all controllers and stand-ins."""
        for process in self.processes.values():
            if process.returncode is None:
                with suppress(ProcessLookupError):
                    process.send_signal(signal.SIGCONT)
                    process.kill()
        for process in self.processes.values():
            await process.wait()
        for opened in (*self._log_files, *self._reservations):
            opened.close()
        with suppress(Exception):
            await self.cloud.stop()
        with suppress(Exception):
            await self.state.stop()
        await self.http.close()

    # The users.

    async def request(
        self, node: str, method: str, path: str, body: Json | None = None, timeout_s: float = 5.0
    ) -> tuple[int, Json]:
        """Send a user's request to a controller; status 0 means that there was no answer."""
        url = f"http://127.0.0.1:{self.serve_ports[node]}{path}"
        try:
            async with self.http.request(
                method, url, json=body, timeout=aiohttp.ClientTimeout(total=timeout_s)
            ) as response:
                answer = await response.json(content_type=None)
                return response.status, answer
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
            return 0, {}

    async def submit(self, job: Json, quiet: bool = False) -> None:
        """Submit a job as a user does, and repeat the request for up to 60 s."""
        self.jobs[job["ref"]] = job
        nodes = list(self.zones)
        until = time.monotonic() + 60.0
        while time.monotonic() < until:
            node = random.choice(nodes)
            status, answer = await self.request(node, "POST", "/api/jobs", job)
            if not quiet or status not in (200, 201):
                self.record("user", f"submit {job['ref']} to {node}: {status} {answer}")
            if status in (200, 201):
                return
            await asyncio.sleep(random.uniform(1.0, 2.0))
        raise CaseError(f"{job['ref']} was not accepted")

    async def poll(self, ref: str, node: str | None = None) -> tuple[int, Json]:
        """Ask for a job's state."""
        node = node or random.choice(list(self.zones))
        return await self.request(node, "GET", f"/api/jobs/{ref}", None, 2.0)

    async def withdraw(self, ref: str, node: str | None = None) -> Json:
        """Cancel a job, and repeat the request for up to 60 s."""
        until = time.monotonic() + 60.0
        while time.monotonic() < until:
            target = node or random.choice(list(self.zones))
            status, answer = await self.request(target, "POST", f"/api/jobs/{ref}/withdraw")
            self.record("user", f"withdraw {ref} at {target}: {status} {answer}")
            if status == 200:
                return answer
            await asyncio.sleep(1.0)
        raise CaseError(f"{ref} was not withdrawn")

    async def until(
        self, condition: Callable[[], Any], timeout_s: float, what: str, step_s: float = 0.1
    ) -> None:
        """Wait for a condition; CaseError if it does not come true."""
        until = time.monotonic() + timeout_s
        while time.monotonic() < until:
            value = condition()
            if asyncio.iscoroutine(value):
                value = await value
            if value:
                return
            await asyncio.sleep(step_s)
        raise CaseError(f"not within {timeout_s:.0f} s: {what}")


def _toml(section: str, values: Json) -> list[str]:
    plain = [f"{k} = {_value(v)}" for k, v in values.items() if not _is_table(v)]
    lines = [f"[{section}]", *plain]
    for name, value in values.items():
        if isinstance(value, dict):
            lines += _toml(f"{section}.{name}", value)
        elif _is_table(value):
            for row in value:
                lines.append(f"[[{section}.{name}]]")
                lines += [f"{k} = {_value(v)}" for k, v in row.items()]
    return lines


def _is_table(value: Any) -> bool:
    return isinstance(value, dict) or (
        isinstance(value, list) and bool(value) and isinstance(value[0], dict)
    )


def _value(value: Any) -> str:
    return json.dumps(value)


def job(ref: str, **changes: Any) -> Json:
    """A submission; ``changes`` replace single fields."""
    fields: Json = {
        "ref": ref,
        "lane": "manifest-check",
        "owner": "release-cell",
        "shape": "array",
        "rank": "standard",
        "pieces": 1,
        "cores": 1.0,
        "cards": 0.0,
        "ram_gb": 1.0,
        "bundle": "img-01",
        "image_gb": 0.1,
        "builds": None,
        "yard": None,
        "same_place": False,
        "spread": False,
        "reclaimable": False,
        "expect_s": 5.0,
        "savepoint_s": 0.0,
        "flush_s": 0.0,
        "due_s": None,
    }
    return {**fields, **changes}


def run_case(case: Callable[[], Awaitable[int]]) -> None:
    """Run a case within its 120 s and exit with its verdict."""

    async def limited() -> int:
        task = asyncio.current_task()
        assert task is not None
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        async with asyncio.timeout(117.0):
            return await case()

    try:
        code = asyncio.run(limited())
    except (CaseError, TimeoutError, asyncio.CancelledError, OSError) as error:
        print(f"the case could not run: {error!r}", file=sys.stderr)
        code = NOT_RUN
    sys.exit(code)
