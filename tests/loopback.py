"""A whole world on loopback: state service, cloud and workers that speak the protocol.

Used by the tests, and by hand to try mosswalk without a cloud:

    python3 -m tests.loopback        three controllers, the first one's port is printed
"""

from __future__ import annotations

import argparse
import asyncio
import random
import socket
import time
from collections.abc import Mapping
from contextlib import AsyncExitStack, suppress
from pathlib import Path

import aiohttp
import msgspec
from aiohttp import web

from mosswalk.actors import SystemClock
from mosswalk.config import (
    CloudLimits,
    MachineLimits,
    Params,
    Peer,
    ServiceAddresses,
    Settings,
    StateLimits,
    Team,
    WorkerLimits,
)
from mosswalk.config.operator import (
    FactoryTuning,
    FleetTuning,
    LeadershipTuning,
    Tuning,
    load_tuning,
)
from mosswalk.service import Controller, listen
from mosswalk.store.client import ConflictError, NoLeaseError
from mosswalk.wire import state as wire
from tests.fakes import InMemoryStore, machine_type

REPORT_S = 0.25
LEASE_S = 5.0
QUICK = Tuning(
    factory=FactoryTuning(period_s=0.1, high_dwell_s=0.0, low_dwell_s=0.5),
    fleet=FleetTuning(silent_reports=4.0, boot_patience=0.2),
    leadership=LeadershipTuning(ttl_s=0.6, renew_s=0.2),
)


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def settings_toml(settings: Settings, reached_at: Mapping[str, str] | None = None) -> list[str]:
    """The lines of the platform's file for a process; others may be reached by way of a relay."""
    by_way = reached_at or {}
    workers = settings.params.workers
    lines = [
        f'host_name = "{settings.host_name}"',
        f'zone = "{settings.zone}"',
        f'serve_on = "{settings.serve_on}"',
        f'cluster_listen = "{settings.cluster_listen}"',
    ]
    for peer in settings.known:
        address = by_way.get(peer.host_name, peer.address)
        lines += ["[[known]]", f'host_name = "{peer.host_name}"', f'zone = "{peer.zone}"']
        lines.append(f'address = "{address}"')
    lines += ["[outside]", f'cloud = "{settings.outside.cloud}"']
    lines.append(f'state = "{by_way.get("state", settings.outside.state)}"')
    lines += ["[params]", 'zones = ["a", "b"]']
    lines += ["[params.workers]", f"report_s = {workers.report_s}"]
    lines += [f"lease_s = {workers.lease_s}", f"cancel_s = {workers.cancel_s}"]
    lines += ["[params.cloud]", "rps = 50.0", "list_lag_s = 0.2"]
    for team in settings.params.teams:
        lines += ["[[params.teams]]", f'name = "{team.name}"']
    lines += ["[params.state]", "rps = 5000.0", "write_rps = 500.0"]
    return [*lines, "value_kb = 16.0", "txn_ops = 16"]


class StateService:
    """The store over HTTP; ``down`` makes it refuse everybody."""

    def __init__(self) -> None:
        self.store = InMemoryStore()
        self.lease_deadlines: dict[int, tuple[float, float]] = {}
        self.down = False
        # Controllers that it alone refuses, by the name that they send.
        self.refused: set[str] = set()

    def app(self) -> web.Application:
        app = web.Application()
        app.router.add_get("/store/{key:.+}", self.get)
        app.router.add_get("/store", self.read)
        app.router.add_post("/commit", self.commit)
        app.router.add_post("/holds", self.grant)
        app.router.add_post("/holds/{id}/touch", self.touch)
        app.router.add_delete("/holds/{id}", self.end)
        app.router.add_get("/follow", self.follow)
        return app

    def expire_leases(self) -> None:
        for lease, (until, _) in list(self.lease_deadlines.items()):
            if time.monotonic() > until and not self.down:
                del self.lease_deadlines[lease]
                self.store.end_lease(lease)

    def _check(self, request: web.Request) -> None:
        if self.down or request.headers.get("From") in self.refused:
            raise web.HTTPServiceUnavailable
        self.expire_leases()

    async def get(self, request):
        self._check(request)
        row = self.store.rows.get(request.match_info["key"])
        if row is None:
            return web.json_response({"ledger": self.store.revision}, status=404)
        body = {"path": request.match_info["key"], "v": msgspec.Raw(row[0]), "stamp": row[1]}
        return web.Response(body=msgspec.json.encode(body))

    async def read(self, request):
        self._check(request)
        prefix, after = request.query["starts"], request.query.get("after", "")
        limit = int(request.query.get("limit", 100))
        keys = sorted(k for k in self.store.rows if k.startswith(prefix) and k > after)
        rows = [
            {"path": k, "v": msgspec.Raw(self.store.rows[k][0]), "stamp": self.store.rows[k][1]}
            for k in keys[:limit]
        ]
        body = {"rows": rows, "truncated": len(keys) > limit, "ledger": self.store.revision}
        return web.Response(body=msgspec.json.encode(body))

    async def commit(self, request):
        self._check(request)
        transaction = msgspec.json.decode(await request.read(), type=wire.Transaction)
        try:
            return web.json_response({"ledger": self.store.commit(transaction)})
        except ConflictError as error:
            return web.json_response(
                {"failed": error.failed, "ledger": self.store.revision}, status=409
            )
        except NoLeaseError:
            return web.json_response({"error": "no such lease"}, status=400)

    async def grant(self, request):
        self._check(request)
        ttl = (await request.json())["ttl_ms"] / 1000
        lease = self.store.grant()
        self.lease_deadlines[lease] = (time.monotonic() + ttl, ttl)
        return web.json_response({"hold": lease})

    async def touch(self, request):
        self._check(request)
        lease = int(request.match_info["id"])
        if lease not in self.lease_deadlines:
            return web.Response(status=404)
        ttl = self.lease_deadlines[lease][1]
        self.lease_deadlines[lease] = (time.monotonic() + ttl, ttl)
        return web.json_response({})

    async def end(self, request):
        self._check(request)
        lease = int(request.match_info["id"])
        if self.lease_deadlines.pop(lease, None) is None:
            return web.Response(status=404)
        self.store.end_lease(lease)
        return web.json_response({})

    async def follow(self, request):
        self._check(request)
        prefix, after = request.query["starts"], int(request.query["after"])
        until = time.monotonic() + int(request.query.get("hold_ms", 0)) / 1000
        while True:
            self.expire_leases()
            refused = self.down or request.headers.get("From") in self.refused
            events = (
                []
                if refused
                else [
                    e
                    for e in self.store.events
                    if e["stamp"] > after and (e.get("write") or e["delete"]).startswith(prefix)
                ]
            )
            if events or time.monotonic() > until:
                return web.json_response({"ledger": self.store.revision, "events": events})
            await asyncio.sleep(0.01)


class Worker:
    """One machine's worker: reports, runs tasks, keeps its lease."""

    def __init__(self, world: LoopbackCluster, name: str, kind: str, zone: str, spot: bool) -> None:
        self.world = world
        self.name, self.kind, self.zone, self.spot = name, kind, zone, spot
        self.port = free_port()
        self.tenure, self.tick, self.epoch = 1, 0, 0
        self.tasks: dict[tuple[str, int], dict] = {}
        self.target = 0
        self.answered = time.monotonic()
        self.changed = asyncio.Event()
        # Its reports go out, but neither answers nor orders reach it.
        self.deaf = False

    def report(self) -> dict:
        self.tick += 1
        return {
            "host": self.name,
            "addr": f"127.0.0.1:{self.port}",
            "build": self.kind,
            "yard": self.zone,
            "reclaimable": self.spot,
            "tenure": self.tenure,
            "tick": self.tick,
            "epoch": self.epoch,
            "warning_s": None,
            "pieces": [{"piece": p, "try": t, **row} for (p, t), row in self.tasks.items()],
        }

    def carry_out(self, orders: list[dict]) -> None:
        for order in orders:
            key = (order["piece"], order["try"])
            if order["verb"] == "run" and key not in self.tasks:
                self.tasks[key] = {"phase": "running"}
                self.world.started(self, key[0])
                if order["piece"].split("/")[0] not in self.world.services:
                    asyncio.get_running_loop().call_later(
                        self.world.task_s, self.exit, key, self.world.cause(self)
                    )
            elif order["verb"] == "kill":
                self.exit(key, "stopped")
            elif order["verb"] == "reap" and self.tasks.get(key, {}).get("phase") == "exited":
                del self.tasks[key]

    def exit(self, key: tuple[str, int], cause: str) -> None:
        row = self.tasks.get(key)
        if row is not None and row["phase"] != "exited":
            self.tasks[key] = {"phase": "exited", "cause": cause}
            self.world.ended(self, key[0])
            self.changed.set()

    async def orders(self, request):
        if self.deaf or request.headers.get("From") in self.world.cut_from_workers:
            await asyncio.sleep(60)
        body = await request.json()
        if body["epoch"] < self.epoch or body["tenure"] != self.tenure:
            return web.json_response(self.report(), status=409)
        self.epoch = body["epoch"]
        self.carry_out(body["orders"])
        return web.json_response(self.report())

    async def run(self) -> None:
        app = web.Application()
        app.router.add_post("/orders", self.orders)
        runner = await listen(app, f"127.0.0.1:{self.port}")
        try:
            while True:
                await self._once()
                self.changed.clear()
                with suppress(TimeoutError):
                    async with asyncio.timeout(REPORT_S):
                        await self.changed.wait()
        finally:
            for key in list(self.tasks):
                self.exit(key, "gone")
            await runner.cleanup()

    async def _once(self) -> None:
        if time.monotonic() - self.answered > LEASE_S:
            for key in list(self.tasks):
                self.exit(key, "lease")
            self.tasks.clear()
            self.tenure += 1
            self.answered = time.monotonic()
        sent, names = time.monotonic(), list(self.world.addresses)
        name = names[self.target % len(names)]
        if name in self.world.cut_from_workers:
            await asyncio.sleep(0.8)
            self.target += 1
            return
        try:
            async with self.world.session.post(
                f"http://{self.world.addresses[name]}/v1/report",
                data=msgspec.json.encode(self.report()),
                timeout=aiohttp.ClientTimeout(total=1.0),
            ) as response:
                status, body = response.status, await response.read()
        except (aiohttp.ClientError, TimeoutError, OSError):
            self.target += 1
            return
        if self.deaf:
            return
        if status == 200:
            answer = msgspec.json.decode(body)
            if answer["epoch"] >= self.epoch:
                self.epoch = answer["epoch"]
                self.answered = sent
                self.carry_out(answer["orders"])
        elif status == 421 and msgspec.json.decode(body).get("steward") in names:
            self.target = names.index(msgspec.json.decode(body)["steward"])
        else:
            self.target += 1


class LoopbackCluster:
    """Everything around the controllers, and the controllers."""

    def __init__(
        self, teams: tuple[Team, ...] = (Team("red"), Team("blue")), tuning: Tuning = QUICK
    ) -> None:
        self.tuning = tuning
        self.state = StateService()
        self.teams = teams
        self.limits = StateLimits(5000.0, 500.0, 16.0, 16)
        self.task_s = 0.3
        self.services: set[str] = set()
        self.broken: list[str] = []
        self.on: dict[str, str] = {}
        self.withdrawn: set[str] = set()
        self.sick: set[str] = set()
        self.never_boots: set[int] = set()
        # Controllers that no worker can reach nor be reached by.
        self.cut_from_workers: set[str] = set()
        self.hires: dict[str, list[str]] = {}
        self.workers: dict[str, tuple[Worker, asyncio.Task]] = {}
        self.rented = 0
        self.addresses: dict[str, str] = {}
        self.controllers: dict[str, tuple[Controller, list, list]] = {}
        self.settings: dict[str, Settings] = {}

    # What the rules are checked on.

    def started(self, worker: Worker, task: str) -> None:
        if task in self.on:
            self.broken.append(f"ran_twice {task} on {self.on[task]} and {worker.name}")
        self.on[task] = worker.name

    def ended(self, worker: Worker, task: str) -> None:
        if self.on.get(task) == worker.name:
            del self.on[task]

    def cause(self, worker: Worker) -> str:
        return "error" if worker.name in self.sick else "done"

    # The cloud.

    def cloud_app(self) -> web.Application:
        app = web.Application()
        app.router.add_get("/machine_types", self.machine_types)
        app.router.add_post("/machines", self.rent)
        app.router.add_post("/machines/release", self.release)
        app.router.add_get("/machines", self.listing)
        return app

    async def machine_types(self, _request):
        return web.Response(body=msgspec.json.encode({"builds": [machine_type()]}))

    async def rent(self, request):
        body = await request.json()
        if body["hire"] not in self.hires:
            names = []
            for _ in range(body["how_many"]):
                name = f"vm-{self.rented:06d}"
                worker = Worker(self, name, body["build"], body["yard"], body["reclaimable"])
                boots = self.rented not in self.never_boots
                task = asyncio.create_task(worker.run() if boots else asyncio.sleep(1e6))
                self.workers[name] = (worker, task)
                self.rented += 1
                names.append(name)
            self.hires[body["hire"]] = names
        return web.json_response({"hosts": self.hires[body["hire"]]})

    def kill_machine(self, name: str) -> None:
        _, task = self.workers.pop(name)
        task.cancel()

    async def release(self, request):
        for name in (await request.json())["hosts"]:
            if name in self.workers:
                worker, task = self.workers.pop(name)
                task.cancel()
                await asyncio.gather(task, return_exceptions=True)
                for key in list(worker.tasks):
                    worker.exit(key, "gone")
        return web.json_response({})

    async def listing(self, request):
        after = request.query.get("after", "")
        hosts = [
            {
                "ref": n,
                "addr": f"127.0.0.1:{w.port}",
                "build": w.kind,
                "yard": w.zone,
                "reclaimable": w.spot,
                "phase": "running",
                "held_s": 1.0,
            }
            for n, (w, _) in sorted(self.workers.items())
            if n > after
        ]
        return web.json_response({"hosts": hosts, "truncated": False})

    # The controllers.

    async def start(
        self, stack: AsyncExitStack, count: int = 3, start_controllers: bool = True
    ) -> None:
        self.session = await stack.enter_async_context(aiohttp.ClientSession())
        ports = [free_port() for _ in range(2 + 2 * count)]
        state, cloud = f"127.0.0.1:{ports[0]}", f"127.0.0.1:{ports[1]}"
        for app, address in ((self.state.app(), state), (self.cloud_app(), cloud)):
            runner = await listen(app, address)
            stack.push_async_callback(runner.cleanup)
        names = [f"moss-{i}" for i in range(count)]
        zone = {n: "b" if n == names[-1] else "a" for n in names}
        peer = {n: f"127.0.0.1:{ports[2 + 2 * i]}" for i, n in enumerate(names)}
        self.addresses = {n: f"127.0.0.1:{ports[3 + 2 * i]}" for i, n in enumerate(names)}
        for name in names:
            self.settings[name] = Settings(
                name,
                zone[name],
                self.addresses[name],
                peer[name],
                ServiceAddresses(cloud, state),
                Params(
                    ("a", "b"),
                    WorkerLimits(REPORT_S, LEASE_S, 15.0),
                    self.limits,
                    CloudLimits(50.0, 0.2),
                    teams=self.teams,
                    machine_limits=MachineLimits(),
                ),
                tuple(Peer(n, zone[n], peer[n]) for n in names if n != name),
                self.tuning,
            )
            if start_controllers:
                await self.start_controller(name)
        stack.push_async_callback(self.stop)

    async def start_controller(self, name: str) -> None:
        session = aiohttp.ClientSession(headers={"From": name})
        rng = random.Random(f"{name}-{len(self.controllers)}-{time.monotonic_ns()}")
        controller = Controller(self.settings[name], session, session, SystemClock(), rng)
        users, peers = controller.web_apps()
        runners = [
            await listen(users, self.settings[name].serve_on),
            await listen(peers, self.settings[name].cluster_listen),
        ]
        tasks = [asyncio.create_task(work) for work in controller.background_loops()]
        self.controllers[name] = (controller, tasks, [*runners, session])

    def cut_off(self, name: str) -> None:
        """From the state service and the other controllers, both ways, but not from workers."""
        self.state.refused.add(name)
        nowhere = f"127.0.0.1:{free_port()}"
        for other, (controller, *_) in self.controllers.items():
            addresses = controller.peers._addresses
            for known in addresses:
                if name in (other, known):
                    addresses[known] = nowhere

    def heal(self, name: str) -> None:
        """End what ``cut_off`` began."""
        self.state.refused.discard(name)
        for controller, *_ in self.controllers.values():
            for peer in controller.settings.known:
                controller.peers._addresses[peer.host_name] = peer.address

    async def kill_controller(self, name: str) -> None:
        """As a crash: nothing is said to anybody."""
        _, tasks, held = self.controllers.pop(name)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        *runners, session = held
        await session.close()
        for runner in runners:
            await runner.cleanup()

    async def stop(self) -> None:
        for name in list(self.controllers):
            await self.kill_controller(name)
        tasks = [task for _, task in self.workers.values()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def leader(self) -> str | None:
        return next((n for n, (c, *_) in self.controllers.items() if c.leadership.leads()), None)


async def demo(tuning: Tuning) -> None:
    async with AsyncExitStack() as stack:
        world = LoopbackCluster(tuning=tuning)
        world.task_s = 3.0
        await world.start(stack)
        print("\n".join(f"{n}: {a}" for n, a in world.addresses.items()), flush=True)
        await asyncio.Event().wait()


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--operator-config", type=Path, help="the operators' HCL file")
    operator_file = parser.parse_args().operator_config
    chosen = load_tuning(operator_file.read_text()) if operator_file is not None else QUICK
    with suppress(KeyboardInterrupt):
        asyncio.run(demo(chosen))
