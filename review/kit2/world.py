"""Stand-ins of a small deployment around real controller processes, on loopback and the real clock.

One process serves the state service, the cloud, the workers and the users by the protocol pages;
the controllers are started as processes of their own with the command of the deploy file. Each
controller gets ports of its own for the state service and for the cloud, so that a test can treat
one controller alone. Everything that is sent, answered and run goes to the record.
"""

from __future__ import annotations

import asyncio
import json
import logging
import os
import random
import shlex
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import aiohttp
from aiohttp import web

ROOT = Path(__file__).resolve().parents[2]
HELD = 0
FAILED = 1
COULD_NOT_RUN = 2
LATE_S = 2.0

Answer = tuple[int, Any]


_given_ports: set[int] = set()


def free_port() -> int:
    """A free loopback port, below those that outgoing connections take.

    A controller that is started again needs its port to be free still.
    """
    while True:
        port = random.randrange(12_000, 32_000)
        if port in _given_ports:
            continue
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        _given_ports.add(port)
        return port


class Rate:
    """A limit of requests per second with a burst of so many seconds' worth."""

    def __init__(self, per_s: float, burst_s: float) -> None:
        self.per_s, self.burst = per_s, max(1.0, per_s * burst_s)
        self.tokens, self.at_s = self.burst, time.monotonic()

    def take(self, amount: float = 1.0) -> bool:
        """Take tokens if there are enough."""
        now = time.monotonic()
        self.tokens = min(self.burst, self.tokens + (now - self.at_s) * self.per_s)
        self.at_s = now
        if self.tokens < amount:
            return False
        self.tokens -= amount
        return True


class StateService:
    """The key-value store with leases and watches."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.rows: dict[str, tuple[Any, int, int | None]] = {}
        self.events: list[dict] = []
        self.ledger = 0
        self.holds: dict[int, list[float]] = {}
        self.next_hold = 1
        self.down = False
        self.refused: set[str] = set()
        self.requests = Rate(world.site["state_rps"], 1.0)
        self.writes = Rate(world.site["write_rps"], 1.0)
        # A case may treat a commit: it gets the controller, the body, and a function to apply it.
        self.on_commit: Callable[[str, dict, Callable[[], Answer]], Awaitable[Answer]] | None = None
        self.changed = asyncio.Event()
        self.throttled = 0

    def app(self, node: str) -> web.Application:
        """The service as one controller reaches it."""

        async def serve(request: web.Request) -> web.Response:
            await asyncio.sleep(self.world.delay_s("state_ms"))
            if request.path == "/follow":
                status, body = await self.follow(node, request)
            elif self.down or node in self.refused:
                status, body = 503, {}
            elif not self.requests.take():
                self.throttled += 1
                status, body = 429, {}
            elif request.path == "/commit":
                status, body = await self.commit(node, await request.json())
            elif request.path.startswith("/holds"):
                status, body = await self.hold(request)
            elif request.path == "/store":
                status, body = self.read_range(request)
            else:
                status, body = self.read(request.path.removeprefix("/store/"))
            return web.json_response(body, status=status)

        app = web.Application(client_max_size=1 << 20)
        app.router.add_route("*", "/{path:.*}", serve)
        return app

    def expire(self) -> None:
        """End the leases that were not renewed."""
        if self.down:
            return
        for hold, (end_s, _) in list(self.holds.items()):
            if time.monotonic() > end_s:
                self.end_hold(hold)

    def end_hold(self, hold: int) -> None:
        """End a lease; the keys attached to it are removed."""
        del self.holds[hold]
        keys = [k for k, row in self.rows.items() if row[2] == hold]
        if keys:
            self.ledger += 1
        for key in keys:
            del self.rows[key]
            self.events.append({"delete": key, "stamp": self.ledger})
        self.notify()

    def end_outage(self) -> None:
        """Serve again; every lease has its full time again."""
        self.down = False
        for hold in self.holds.values():
            hold[0] = time.monotonic() + hold[1]
        self.notify()

    def notify(self) -> None:
        """Wake the open watches."""
        self.changed.set()
        self.changed = asyncio.Event()

    def read(self, key: str) -> Answer:
        """Answer the read of one key."""
        if key not in self.rows:
            return 404, {"ledger": self.ledger}
        value, stamp, hold = self.rows[key]
        return 200, {"path": key, "v": value, "stamp": stamp, "hold": hold}

    def read_range(self, request: web.Request) -> Answer:
        """Answer the read of keys with a prefix."""
        starts, after = request.query["starts"], request.query.get("after", "")
        limit = min(1000, int(request.query.get("limit", 1000)))
        keys = sorted(k for k in self.rows if k.startswith(starts) and k > after)
        rows: list[dict] = []
        size = 0
        for key in keys[:limit]:
            row = self.read(key)[1]
            size += len(json.dumps(row))
            if size > 512 * 1024:
                break
            rows.append(row)
        return 200, {"rows": rows, "truncated": len(rows) < len(keys), "ledger": self.ledger}

    async def hold(self, request: web.Request) -> Answer:
        """Grant, renew or end a lease."""
        if request.path == "/holds":
            ttl_s = (await request.json())["ttl_ms"] / 1000
            number, self.next_hold = self.next_hold, self.next_hold + 1
            self.holds[number] = [time.monotonic() + ttl_s, ttl_s]
            return 200, {"hold": number}
        number = int(request.path.split("/")[2])
        if number not in self.holds:
            return 404, {}
        if request.method == "DELETE":
            self.end_hold(number)
        else:
            self.holds[number][0] = time.monotonic() + self.holds[number][1]
        return 200, {}

    async def commit(self, node: str, body: dict) -> Answer:
        """Apply a transaction, or let the case treat it."""
        if self.on_commit is not None:
            return await self.on_commit(node, body, lambda: self.apply(node, body))
        return self.apply(node, body)

    def apply(self, node: str, body: dict) -> Answer:
        """Apply a transaction, within the limits."""
        guards, writes = body.get("guards", []), body.get("writes", [])
        site = self.world.site
        too_large = any(len(json.dumps(w.get("v"))) > site["value_kb"] * 1024 for w in writes)
        if (
            len(writes) > site["txn_ops"]
            or len(guards) > 4 * site["txn_ops"]
            or len(json.dumps(body)) > 64 * 1024
            or too_large
        ):
            self.world.note("state", f"{node}: transaction over the limits refused")
            return 400, {"error": "too large"}
        if not self.writes.take(len(writes)):
            self.throttled += 1
            return 429, {}
        if any("hold" in w and w["hold"] not in self.holds for w in writes):
            return 400, {"error": "no such lease"}
        failed = [g["path"] for g in guards if self.stamp(g["path"]) != g["stamp"]]
        if failed:
            return 409, {"failed": failed, "ledger": self.ledger}
        if writes:
            self.ledger += 1
        for write in writes:
            if "delete" in write:
                if self.rows.pop(write["delete"], None) is not None:
                    self.events.append({"delete": write["delete"], "stamp": self.ledger})
            else:
                self.rows[write["write"]] = (write["v"], self.ledger, write.get("hold"))
                event = {"write": write["write"], "v": write["v"], "stamp": self.ledger}
                self.events.append(event)
        del self.events[:-10_000]
        self.notify()
        return 200, {"ledger": self.ledger}

    def stamp(self, key: str) -> int:
        """The version of a key; 0 if it does not exist."""
        return self.rows[key][1] if key in self.rows else 0

    async def follow(self, node: str, request: web.Request) -> Answer:
        """Answer a watch; it waits while the service is down."""
        starts, after = request.query["starts"], int(request.query["after"])
        if self.down or node in self.refused:
            return 503, {}
        if not self.requests.take():
            return 429, {}
        if len(self.events) == 10_000 and self.events[0]["stamp"] > after + 1:
            return 410, {}
        until_s = time.monotonic() + int(request.query.get("hold_ms", 0)) / 1000
        while True:
            changed = self.changed
            if not self.down and node not in self.refused:
                found = [
                    e
                    for e in self.events
                    if e["stamp"] > after and (e.get("write") or e["delete"]).startswith(starts)
                ]
                if found or time.monotonic() >= until_s:
                    return 200, {"ledger": self.ledger, "events": found}
            try:
                async with asyncio.timeout(max(0.05, min(0.5, until_s - time.monotonic()))):
                    await changed.wait()
            except TimeoutError:
                pass


class Cloud:
    """Rents machines of the site's types, as far as a pool has any left."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.down = False
        self.calls = Rate(world.site["cloud_rps"], 2.0)
        self.rentals: dict[str, list[str]] = {}
        self.count = 0
        self.machines: dict[str, Worker] = {}
        # When a machine came and went: the list shows this with its lag.
        self.history: dict[str, list[float]] = {}
        self.rows: dict[str, dict] = {}

    def app(self, node: str) -> web.Application:
        """The cloud as one controller reaches it."""

        async def serve(request: web.Request) -> web.Response:
            await asyncio.sleep(self.world.delay_s("cloud_ms"))
            if not self.calls.take():
                return web.json_response({}, status=429)
            if self.down:
                return web.json_response({"error": "trouble"}, status=503)
            if request.path == "/machine_types":
                return web.json_response({"builds": self.world.site["types"]})
            if request.path == "/machines/release":
                for name in (await request.json())["hosts"]:
                    self.remove(name, f"released by {node}")
                return web.json_response({})
            if request.method == "POST":
                return self.rent(node, await request.json())
            return web.json_response(self.listing(request))

        app = web.Application()
        app.router.add_route("*", "/{path:.*}", serve)
        return app

    def remove(self, name: str, why: str) -> None:
        """Take a machine away with all that is on it."""
        worker = self.machines.pop(name, None)
        if worker is not None:
            self.history[name][1] = time.monotonic()
            self.world.note("cloud", f"{name} is gone: {why}")
            worker.destroy()

    def rent(self, node: str, body: dict) -> web.Response:
        """Rent machines as far as the pool has any left."""
        pool = (body["build"], body["yard"], body["reclaimable"])
        if body["hire"] not in self.rentals:
            used = sum(1 for w in self.machines.values() if w.pool == pool)
            count = min(body["how_many"], 50, self.world.site["capacity"].get(pool, 0) - used)
            if count <= 0:
                return web.json_response({"error": "no capacity"}, status=503)
            names = []
            for _ in range(count):
                self.count += 1
                name = f"vm-{self.count:06d}"
                worker = Worker(self.world, name, pool)
                self.machines[name] = worker
                self.history[name] = [time.monotonic(), float("inf")]
                self.world.spawn(worker.run())
                names.append(name)
            self.world.note("cloud", f"{node} rents {names} {pool}")
            self.rentals[body["hire"]] = names
        return web.json_response({"hosts": self.rentals[body["hire"]]})

    def listing(self, request: web.Request) -> dict:
        """The machine list as it was some seconds ago."""
        seen_s = time.monotonic() - self.world.site["list_lag_s"] * self.world.rng.uniform(0.8, 1.6)
        after = request.query.get("after", "")
        hosts = []
        for name, (from_s, to_s) in sorted(self.history.items()):
            if from_s <= seen_s < to_s and name > after:
                worker = self.world.workers[name]
                up = worker.up_at_s is not None and worker.up_at_s <= seen_s
                hosts.append(
                    {
                        "ref": name,
                        "addr": worker.address,
                        "build": worker.pool[0],
                        "yard": worker.pool[1],
                        "reclaimable": worker.pool[2],
                        "phase": "running" if up else "booting",
                        "held_s": round(seen_s - from_s, 1),
                    }
                )
        return {"hosts": hosts[:500], "truncated": len(hosts) > 500}


class Worker:
    """The worker of one machine, by the section "Workers -> controller nodes"."""

    def __init__(self, world: World, name: str, pool: tuple[str, str, bool]) -> None:
        self.world, self.name, self.pool = world, name, pool
        self.port = free_port()
        self.address = f"127.0.0.1:{self.port}"
        self.type = next(t for t in world.site["types"] if t["label"] == pool[0])
        self.tenure, self.tick, self.epoch = 1, 0, 0
        self.pieces: dict[tuple[str, int], dict] = {}
        self.images: dict[str, float] = {}
        self.up_at_s: float | None = None
        self.destroyed = False
        self.sick = False
        self.warning_at_s: float | None = None
        self.running = asyncio.Event()
        self.running.set()
        self.changed = asyncio.Event()
        self.answered_s = 0.0
        self.node = world.rng.randrange(len(world.nodes))
        # A case may treat /orders: it gets the body and a function that carries it out. The
        # connection is reset if it returns None.
        self.on_orders: Callable[[dict, Callable[[], Answer]], Awaitable[Answer | None]] | None = (
            None
        )
        world.workers[name] = self
        world.on_new_worker(self)

    def report(self) -> dict:
        """The worker's report, with the next number."""
        self.tick += 1
        left_s = None if self.warning_at_s is None else self.warning_at_s - time.monotonic()
        return {
            "host": self.name,
            "addr": self.address,
            "build": self.pool[0],
            "yard": self.pool[1],
            "reclaimable": self.pool[2],
            "tenure": self.tenure,
            "tick": self.tick,
            "epoch": self.epoch,
            "warning_s": None if left_s is None else max(0.0, round(left_s, 1)),
            "pieces": [
                {"piece": p, "try": t} | {k: v for k, v in row.items() if k != "until_s"}
                for (p, t), row in self.pieces.items()
            ],
        }

    def see(self, epoch: int) -> None:
        """Keep the highest token."""
        if epoch > self.epoch:
            self.epoch = epoch
            self.changed.set()

    def execute(self, orders: list[dict], by: str) -> None:
        """Carry out commands in their order."""
        for order in orders:
            key, verb = (order["piece"], order["try"]), order["verb"]
            row = self.pieces.get(key)
            self.world.note("worker", f"{self.name} {by}: {verb} {key[0]}@{key[1]}")
            if verb == "run" and row is None:
                self.start(key)
            elif verb == "kill" and row is not None:
                self.kill(key, row, order.get("drain_s") or 0.0)
            elif verb == "reap" and row is not None and row["phase"] == "exited":
                del self.pieces[key]
                self.changed.set()

    def start(self, key: tuple[str, int]) -> None:
        """Take a start command."""
        spec = self.world.spec(key[0])
        live = [k for k, r in self.pieces.items() if r["phase"] != "exited"]
        self.changed.set()
        if spec is None or int(key[0].split("/")[1]) >= spec["pieces"]:
            self.exit(key, "no_such", was_on=False)
            return
        if any(k[0] == key[0] for k in live):
            self.exit(key, "in_use", was_on=False)
            return
        for field in ("cores", "cards", "ram_gb"):
            used = sum(self.world.spec(k[0])[field] for k in live)
            if used + spec[field] > self.type[field] + 1e-9:
                self.exit(key, "full", was_on=False)
                return
        cached = spec["bundle"] in self.images
        fetch_s = 0.0 if cached else spec["image_gb"] / self.type["fetch_gb_per_s"]
        self.pieces[key] = {"phase": "pulling", "until_s": time.monotonic() + fetch_s}

    def kill(self, key: tuple[str, int], row: dict, drain_s: float) -> None:
        """Stop a task; one with checkpoints may save first."""
        spec = self.world.spec(key[0])
        if row["phase"] == "running" and spec["savepoint_s"] > 0 and drain_s >= spec["flush_s"]:
            row["phase"], row["until_s"] = "saving", time.monotonic() + spec["flush_s"]
            self.changed.set()
        elif row["phase"] in ("pulling", "running") or (row["phase"] == "saving" and not drain_s):
            self.exit(key, "stopped", was_on=row["phase"] != "pulling")

    def exit(self, key: tuple[str, int], cause: str, *, was_on: bool = True) -> None:
        """End a task and keep it in the reports."""
        self.pieces[key] = {"phase": "exited", "cause": cause}
        self.world.note("worker", f"{self.name}: {key[0]}@{key[1]} exits: {cause}")
        if was_on:
            self.world.off(self, key, cause)
        self.changed.set()

    def advance(self) -> None:
        """Bring leases, fetches and tasks up to the present, unless the machine hangs."""
        now = time.monotonic()
        if self.destroyed or self.up_at_s is None or not self.running.is_set():
            return
        if now - self.answered_s > self.world.site["lease_s"]:
            self.world.note("worker", f"{self.name}: lease over, session {self.tenure + 1}")
            self.forget("lease")
            self.tenure += 1
            self.answered_s = now
            self.changed.set()
        for key, row in list(self.pieces.items()):
            spec = self.world.spec(key[0])
            if row["phase"] == "pulling" and now >= row["until_s"]:
                self.images[spec["bundle"]] = spec["image_gb"]
                row["phase"] = "running"
                done_before = key[0] in self.world.done_pieces
                row["until_s"] = now + (0.0 if done_before else spec["run_s"])
                self.changed.set()
                self.world.on(self, key)
                if self.sick:
                    self.exit(key, "error")
            elif row["phase"] == "running" and now >= row["until_s"]:
                self.exit(key, "done")
            elif row["phase"] == "saving" and now >= row["until_s"]:
                self.exit(key, "stopped")

    def forget(self, why: str) -> None:
        """Drop all tasks."""
        for key, row in list(self.pieces.items()):
            if row["phase"] in ("running", "saving"):
                self.world.off(self, key, why)
        self.pieces.clear()

    def destroy(self) -> None:
        """The machine is gone."""
        self.destroyed = True
        self.forget("gone")
        self.running.set()
        self.changed.set()

    async def serve_orders(self, request: web.Request) -> web.Response:
        """Answer POST /orders."""
        body = await request.json()
        await self.running.wait()
        if self.destroyed:
            await asyncio.sleep(60)
        if "epoch" not in body or "tenure" not in body:
            return web.json_response({}, status=400)

        def carry_out() -> Answer:
            self.advance()
            if body["epoch"] < self.epoch or body["tenure"] != self.tenure:
                return 409, self.report()
            self.see(body["epoch"])
            self.execute(body["orders"], f"/orders, token {body['epoch']}")
            return 200, self.report()

        result = (
            await self.on_orders(body, carry_out) if self.on_orders is not None else carry_out()
        )
        if result is None:
            # A cut resets the connection before the worker has received the request.
            request.transport.abort()
            return web.Response()
        return web.json_response(result[1], status=result[0])

    async def run(self) -> None:
        """Boot, then report until the machine is gone."""
        await asyncio.sleep(self.type["ready_s"] * self.world.rng.uniform(0.6, 1.5))
        if self.destroyed:
            return
        app = web.Application()
        app.router.add_post("/orders", self.serve_orders)
        runner = await listen(app, self.port)
        self.up_at_s = self.answered_s = time.monotonic()
        self.world.note("worker", f"{self.name} is up")
        async with aiohttp.ClientSession() as http:
            while not self.destroyed:
                await self.running.wait()
                pause_s = await self.send_report(http)
                self.changed.clear()
                await asyncio.sleep(min(pause_s, 0.5))
                try:
                    async with asyncio.timeout(max(0.0, pause_s - 0.5)):
                        await self.changed.wait()
                except TimeoutError:
                    pass
        await runner.cleanup()

    async def send_report(self, http: aiohttp.ClientSession) -> float:
        """Send one report; return the pause until the next one."""
        names = list(self.world.nodes)
        name = names[self.node % len(names)]
        self.advance()
        sent_s, tenure = time.monotonic(), self.tenure
        try:
            async with http.post(
                f"http://{self.world.nodes[name].users}/v1/report",
                json=self.report(),
                timeout=aiohttp.ClientTimeout(total=4.0),
            ) as response:
                status, body = response.status, await response.json()
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
            status, body = 0, {}
        await self.running.wait()
        self.advance()
        if status == 200:
            # An answer that a hanging machine finds after 4 s is dropped.
            fresh = time.monotonic() - sent_s <= 4.0
            if body.get("epoch", -1) >= self.epoch and tenure == self.tenure and fresh:
                self.answered_s = sent_s
                self.see(body["epoch"])
                self.execute(body["orders"], f"answer of {name}, token {body['epoch']}")
            return self.world.site["report_s"] * self.world.rng.uniform(0.75, 1.25)
        steward = body.get("steward") if status == 421 else None
        if steward in names and steward != name:
            self.node = names.index(steward)
            return self.world.rng.uniform(0.0, 0.5)
        self.node += 1
        return 1.0


async def listen(app: web.Application, port: int) -> web.AppRunner:
    """Serve an application on a loopback port."""
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", port, backlog=512, reuse_address=True).start()
    return runner


class Link:
    """A TCP relay from one controller to another that can refuse, hold or reset."""

    def __init__(self, target: str) -> None:
        self.port, self.target = free_port(), target
        self.refuse = False
        self.open = asyncio.Event()
        self.open.set()

    async def start(self) -> None:
        """Begin to relay."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Relay one connection."""
        host, _, port = self.target.partition(":")
        try:
            if self.refuse:
                raise OSError
            up_reader, up_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        await asyncio.gather(
            self.copy(reader, up_writer), self.copy(up_reader, writer), return_exceptions=True
        )

    async def copy(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Relay one direction of a connection."""
        try:
            while data := await reader.read(65536):
                # What is held arrives later, also when its sender has closed the connection.
                await self.open.wait()
                if self.refuse:
                    break
                writer.write(data)
                await writer.drain()
        finally:
            writer.close()


class Node:
    """One controller: its addresses, its settings file and its process."""

    def __init__(self, world: World, name: str, zone: str) -> None:
        self.world, self.name, self.zone = world, name, zone
        self.users = f"127.0.0.1:{free_port()}"
        self.cluster = f"127.0.0.1:{free_port()}"
        self.state_port, self.cloud_port = free_port(), free_port()
        self.process: asyncio.subprocess.Process | None = None
        self.life = 0
        # As the load balancer sees it.
        self.healthy = False
        self.log = world.folder / f"{name}.log"

    def settings(self) -> str:
        """The settings file of this controller."""
        site = self.world.site
        lines = [
            f'host_name = "{self.name}"',
            f'zone = "{self.zone}"',
            f'serve_on = "{self.users}"',
            f'cluster_listen = "{self.cluster}"',
        ]
        for other in self.world.nodes.values():
            if other is not self:
                port = self.world.links[(self.name, other.name)].port
                lines += ["[[known]]", f'host_name = "{other.name}"', f'zone = "{other.zone}"']
                lines.append(f'address = "127.0.0.1:{port}"')
        lines += ["[outside]", f'cloud = "127.0.0.1:{self.cloud_port}"']
        lines += [f'state = "127.0.0.1:{self.state_port}"']
        lines += ["[params]", "initial_size = 3", f"zones = {json.dumps(site['zones'])}"]
        lines += ["time_bound_ms = 1000.0"]
        for team in site["teams"]:
            lines += ["[[params.teams]]", f'name = "{team["name"]}"']
            lines += [f"{k} = {team.get(k, 0.0)}" for k in ("cpus", "cpus_max", "gpus", "gpus_max")]
        lines += ["[params.workers]"]
        lines += [f"{k} = {site[k]}" for k in ("report_s", "lease_s", "cancel_s")]
        lines += ["gang_wait_s = 50.0", "gang_peer_s = 8.0"]
        lines += ["[params.state]", f"rps = {site['state_rps']}"]
        lines += [f"{k} = {site[k]}" for k in ("write_rps", "value_kb", "txn_ops")]
        lines += ["[params.cloud]", f"rps = {site['cloud_rps']}"]
        lines += [f"list_lag_s = {site['list_lag_s']}", "[params.machine_limits]"]
        lines += ["core_share = 0.432", "mem_mb = 146.0", "max_connections = 900"]
        return "\n".join(lines) + "\n"

    async def start(self) -> None:
        """Start the process with the command of the deploy file."""
        path = self.world.folder / f"{self.name}.toml"
        path.write_text(self.settings())
        command = tomllib.loads((ROOT / "deploy" / "service.toml").read_text())["run"]
        environment = {k: v for k, v in os.environ.items() if k != "PYTHONPATH"}
        self.life += 1
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *shlex.split(command),
                str(path),
                cwd=ROOT,
                stdout=log,
                stderr=log,
                env=environment | {"LOG_LEVEL": "info"},
            )
        self.world.note("node", f"{self.name} started")

    async def kill(self) -> None:
        """End the process at once."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
            self.world.note("node", f"{self.name} killed")

    def pause(self) -> None:
        """Suspend the process."""
        self.process.send_signal(signal.SIGSTOP)
        self.world.note("node", f"{self.name} stopped")

    def resume(self) -> None:
        """Let the process go on."""
        self.process.send_signal(signal.SIGCONT)
        self.world.note("node", f"{self.name} continues")


SITE: dict[str, Any] = {
    "zones": ["howrah-floor", "salt-lake"],
    "node_zones": ["salt-lake", "howrah-floor", "salt-lake"],
    "report_s": 2.0,
    "lease_s": 16.0,
    "cancel_s": 41.0,
    "state_rps": 200.0,
    "write_rps": 20.0,
    "value_kb": 16.0,
    "txn_ops": 16,
    "state_ms": 2.0,
    "cloud_rps": 6.0,
    "cloud_ms": 250.0,
    "list_lag_s": 8.0,
    "types": [],
    "capacity": {},
    "teams": [{"name": "release-cell"}],
    # Controllers that the case starts itself.
    "started_by_case": (),
}


def machine_type(label: str, cores: float, ram_gb: float, **changes: Any) -> dict:
    """A machine type; boot times are short, as the pages allow at times."""
    fields = {
        "label": label,
        "cores": cores,
        "cards": 0.0,
        "ram_gb": ram_gb,
        "cache_gb": 40.0,
        "fetch_gb_per_s": 0.8,
        "price": 0.06 * cores,
        "spot_price": 0.02 * cores,
        "ready_s": 2.0,
        "yards": SITE["zones"],
    }
    return {**fields, **changes}


def job(ref: str, **changes: Any) -> dict:
    """A submission; ``run_s`` is for the workers and is not sent."""
    fields = {
        "ref": ref,
        "lane": "night-sweep",
        "owner": "release-cell",
        "shape": "array",
        "rank": "standard",
        "pieces": 1,
        "cores": 1.0,
        "cards": 0.0,
        "ram_gb": 1.0,
        "bundle": "img-01",
        "image_gb": 0.4,
        "builds": None,
        "yard": None,
        "same_place": False,
        "spread": False,
        "reclaimable": False,
        "expect_s": 5.0,
        "savepoint_s": 0.0,
        "flush_s": 0.0,
        "due_s": None,
        "run_s": 3.0,
    }
    return {**fields, **changes}


class World:
    """All stand-ins, the users, and the rules as written in the protocol page."""

    def __init__(self, folder: Path, site: dict[str, Any], record: Path, seed: int = 1) -> None:
        self.folder, self.site = folder, {**SITE, **site}
        self.rng = random.Random(seed)
        self.begun_s = time.monotonic()
        self.record = record.open("w")
        self.tasks: set[asyncio.Task] = set()
        self.workers: dict[str, Worker] = {}
        self.nodes: dict[str, Node] = {}
        for i, zone in enumerate(self.site["node_zones"]):
            self.nodes[f"moss-{i}"] = Node(self, f"moss-{i}", zone)
        self.links = {
            (a, b): Link(self.nodes[b].cluster) for a in self.nodes for b in self.nodes if a != b
        }
        self.state, self.cloud = StateService(self), Cloud(self)
        self.specs: dict[str, dict] = {}
        self.accepted: dict[str, float] = {}
        self.told: dict[str, tuple[str, float]] = {}
        self.asked_to_cancel: set[str] = set()
        self.done_pieces: set[str] = set()
        self.on_machine: dict[str, dict[str, Worker]] = {}
        self.starts: dict[str, int] = {}
        self.broken: list[str] = []
        self.runners: list[web.AppRunner] = []
        # Called with each machine that is rented.
        self.on_new_worker: Callable[[Worker], None] = lambda _: None

    # The record, and background work.

    def now(self) -> float:
        """Seconds since the beginning."""
        return time.monotonic() - self.begun_s

    def delay_s(self, name: str) -> float:
        """How long an answer takes that takes so many milliseconds on average."""
        return self.rng.uniform(0.5, 1.5) * self.site[name] / 1000

    def note(self, who: str, text: str) -> None:
        """Write a line to the record."""
        self.record.write(f"{self.now():8.3f} {who}: {text}\n")
        self.record.flush()

    def violation(self, rule: str, text: str) -> None:
        """Record that a rule was broken."""
        self.broken.append(rule)
        self.note("RULE", f"{rule}: {text}")

    def spawn(self, work: Awaitable[Any]) -> asyncio.Task:
        """Run something in the background."""
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def begin(self) -> None:
        """Serve the stand-ins and start the controllers."""
        for link in self.links.values():
            await link.start()
        for node in self.nodes.values():
            self.runners.append(await listen(self.state.app(node.name), node.state_port))
            self.runners.append(await listen(self.cloud.app(node.name), node.cloud_port))
        self.http = aiohttp.ClientSession(connector=aiohttp.TCPConnector(force_close=True))
        for node in self.nodes.values():
            if node.name not in self.site["started_by_case"]:
                await node.start()
            self.spawn(self.probe(node))
        self.spawn(self.step())

    async def end(self) -> None:
        """End every process and task that this run has started."""
        for node in self.nodes.values():
            await node.kill()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self.http.close()
        for runner in self.runners:
            await runner.cleanup()
        self.record.close()

    async def step(self) -> None:
        """Advance leases and machines, and check the rules that time alone can break."""
        while True:
            await asyncio.sleep(0.05)
            self.state.expire()
            for worker in list(self.cloud.machines.values()):
                worker.advance()
            for piece, machines in self.on_machine.items():
                phase, since_s = self.told.get(piece.split("/")[0], ("", 0.0))
                late = phase == "withdrawn" and self.now() - since_s > self.site["cancel_s"]
                if machines and late:
                    self.violation("ran_cancelled", f"{piece} still on {list(machines)}")
                    self.told[piece.split("/")[0]] = (phase, float("inf"))

    async def until(self, condition: Callable[[], Any], within_s: float) -> bool:
        """Wait until a condition holds; whether it did in time."""
        end_s = self.now() + within_s
        while self.now() < end_s:
            if condition():
                return True
            await asyncio.sleep(0.02)
        return bool(condition())

    # Tasks on machines.

    def spec(self, piece: str) -> dict | None:
        """The job that a task belongs to."""
        return self.specs.get(piece.split("/")[0])

    def on(self, worker: Worker, key: tuple[str, int]) -> None:
        """A task has its image: it is on its machine from now on."""
        piece, spec = key[0], self.spec(key[0])
        self.note("start", f"{piece}@{key[1]} on {worker.name}")
        self.starts[piece] = self.starts.get(piece, 0) + 1
        machines = self.on_machine.setdefault(piece, {})
        if machines:
            self.violation("ran_twice", f"{piece} starts on {worker.name}, is on {list(machines)}")
        machines[worker.name] = worker
        phase, since_s = self.told.get(spec["ref"], ("", 0.0))
        if phase == "withdrawn" and self.now() - since_s > self.site["cancel_s"]:
            self.violation("ran_cancelled", f"{piece} starts on {worker.name}")
        team = next(t for t in self.site["teams"] if t["name"] == spec["owner"])
        used = sum(
            len(where) * self.spec(p)["cores"]
            for p, where in self.on_machine.items()
            if self.spec(p)["owner"] == spec["owner"]
        )
        if 0 < team.get("cpus_max", 0.0) < used - 1e-9:
            self.violation("quota", f"{spec['owner']} uses {used}")
        zones = [
            w.pool[1]
            for p, where in self.on_machine.items()
            if p.split("/")[0] == spec["ref"]
            for w in where.values()
        ]
        label, zone, spot = worker.pool
        if (
            (spec["builds"] is not None and label not in spec["builds"])
            or spec["yard"] not in (None, zone)
            or (spot and not spec["reclaimable"])
            or (spec["same_place"] and len(set(zones)) > 1)
            or (spec["spread"] and zones.count(zone) > -(-spec["pieces"] // 2))
        ):
            self.violation("wrong_place", f"{piece} on {worker.name} {worker.pool}, job in {zones}")

    def off(self, worker: Worker, key: tuple[str, int], cause: str) -> None:
        """A task is not on its machine any more."""
        self.note("end", f"{key[0]}@{key[1]} on {worker.name}: {cause}")
        self.on_machine.get(key[0], {}).pop(worker.name, None)
        if cause == "done":
            self.done_pieces.add(key[0])

    # Users and their load balancer.

    async def probe(self, node: Node) -> None:
        """Probe a controller's health as the load balancer does."""
        failures = successes = 0
        while True:
            try:
                async with self.http.get(
                    f"http://{node.users}/healthz", timeout=aiohttp.ClientTimeout(total=1.0)
                ) as response:
                    well = response.status == 200
            except (aiohttp.ClientError, TimeoutError, OSError):
                well = False
            failures, successes = (0, successes + 1) if well else (failures + 1, 0)
            if (node.healthy and failures >= 2) or (not node.healthy and successes >= 2):
                node.healthy = not node.healthy
                self.note("balancer", f"{node.name} healthy: {node.healthy}")
            await asyncio.sleep(1.0)

    async def ask(
        self, method: str, path: str, body: dict | None, limit_s: float, node: str | None = None
    ) -> Answer:
        """Send one request of a user through the load balancer."""
        names = [n for n, c in self.nodes.items() if c.healthy] or list(self.nodes)
        name = node or self.rng.choice(names)
        try:
            async with self.http.request(
                method,
                f"http://{self.nodes[name].users}{path}",
                json=body,
                timeout=aiohttp.ClientTimeout(total=limit_s),
            ) as response:
                status, answer = response.status, await response.json()
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
            status, answer = 0, {"error": type(error).__name__}
        self.note("user", f"{method} {path} at {name}: {status} {json.dumps(answer)}")
        return status, answer

    def tell(self, ref: str, phase: str, asked_s: float) -> None:
        """A user was told the state of a job."""
        before, since_s = self.told.get(ref, ("", 0.0))
        if before in ("done", "withdrawn") and phase != before and asked_s > since_s:
            self.violation("went_back", f"{ref} was called {before}, then {phase}")
        if phase == "withdrawn" and ref not in self.asked_to_cancel:
            self.violation("went_back", f"{ref} is called withdrawn, nobody asked for it")
        pieces = [f"{ref}/{i}" for i in range(self.specs[ref]["pieces"])]
        if phase == "done" and not self.done_pieces.issuperset(pieces):
            self.violation("not_done", ref)
        if before not in ("done", "withdrawn") and phase != before:
            self.told[ref] = (phase, self.now())

    async def submit(self, spec: dict, node: str | None = None) -> bool:
        """Submit a job as a user does, with retries for up to 60 s."""
        ref = spec["ref"]
        self.specs.setdefault(ref, spec)
        body = {k: v for k, v in spec.items() if k != "run_s"}
        give_up_s = self.now() + 60
        while self.now() < give_up_s:
            asked_s = self.now()
            status, answer = await self.ask("POST", "/api/jobs", body, 5.0, node)
            if status in (200, 201):
                self.accepted.setdefault(ref, self.now())
                self.tell(ref, answer["phase"], asked_s)
                return True
            if status in (400, 422):
                if ref in self.accepted:
                    self.violation("forgotten", f"{ref} submitted again: {status}")
                return False
            await asyncio.sleep(1.0)
        return False

    async def poll(self, ref: str, node: str | None = None) -> str | None:
        """Poll a job once; return the phase that was answered, if any."""
        asked_s = self.now()
        status, answer = await self.ask("GET", f"/api/jobs/{ref}", None, 2.0, node)
        if status == 404 and ref in self.accepted:
            self.violation("forgotten", f"{ref}: 404")
        if status != 200:
            return None
        self.tell(ref, answer["phase"], asked_s)
        return answer["phase"]

    async def watch(self, ref: str) -> None:
        """Poll a job every 5 s until it is over."""
        while True:
            if await self.poll(ref) in ("done", "withdrawn"):
                return
            await asyncio.sleep(5.0)

    async def withdraw(self, ref: str, node: str | None = None) -> bool:
        """Withdraw a job as a user does, with retries."""
        self.asked_to_cancel.add(ref)
        give_up_s = self.now() + 60
        while self.now() < give_up_s:
            asked_s = self.now()
            status, answer = await self.ask("POST", f"/api/jobs/{ref}/withdraw", {}, 5.0, node)
            if status == 200:
                self.tell(ref, answer["phase"], asked_s)
                return True
            await asyncio.sleep(1.0)
        return False

    # What a test may look at to choose its moment.

    def leader(self) -> str | None:
        """The controller that holds the leader's key."""
        row = self.state.rows.get("m/lead")
        return row[0]["node"] if row is not None else None

    def owner(self, team: str) -> str | None:
        """The controller that owns a team."""
        row = self.state.rows.get("m/term")
        return row[0]["owners"].get(team) if row is not None else None

    def live(self, ref: str) -> list[list]:
        """The recorded attempts of a job's first tasks."""
        row = self.state.rows.get(f"m/j/{ref}")
        return row[0].get("x", {}).get("a", []) if row is not None else []


def run(
    scenario: Callable[[World, bool], Awaitable[str | None]],
    site: dict[str, Any],
    limit_s: float = 112.0,
) -> None:
    """Run a case and exit: 1 if a rule was broken, 0 if none was, 2 if it could not run.

    The scenario returns why it could not run, or None. ``TROUBLE=0`` leaves out the disruption.
    """
    # A request that its sender gave up is no error of a stand-in.
    logging.getLogger("aiohttp").setLevel(logging.CRITICAL)
    here = Path(sys.argv[1]).resolve()
    trouble = os.environ.get("TROUBLE", "1") != "0"
    folder = Path(tempfile.mkdtemp(prefix="mosswalk-case-"))

    async def main() -> int:
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        world = World(folder, site, here / "record.txt", int(os.environ.get("SEED", "1")))
        problem: str | None = None
        try:
            await world.begin()
            try:
                async with asyncio.timeout(limit_s):
                    problem = await scenario(world, trouble)
            except TimeoutError:
                problem = "the scenario did not end in time"
            if problem:
                world.note("RESULT", f"could not run: {problem}")
            rules = ", ".join(sorted(set(world.broken)))
            world.note("RESULT", f"broken: {rules}" if rules else "no rule was broken")
            print(f"broken: {rules}" if rules else problem or "no rule was broken")
        finally:
            await world.end()
        if world.broken:
            return FAILED
        return COULD_NOT_RUN if problem else HELD

    code = COULD_NOT_RUN
    try:
        code = asyncio.run(main())
    except asyncio.CancelledError:
        print("ended by a signal")
    finally:
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(folder, keep, dirs_exist_ok=True)
        shutil.rmtree(folder, ignore_errors=True)
    sys.exit(code)
