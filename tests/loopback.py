"""A cluster on loopback: controllers, and a fake state service, cloud and workers over HTTP.

Tests use it, and it can be started by hand to try mosswalk without a cloud:

    python3 -m tests.loopback        starts three controllers and prints their addresses
"""

from __future__ import annotations

import argparse
import asyncio
import random
import socket
import time
from collections import Counter
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
from tests.fakes import InMemoryStore, is_too_large, machine_type

REPORT_S = 0.25
LEASE_S = 5.0
FAST_TUNING = Tuning(
    factory=FactoryTuning(period_s=0.1, high_dwell_s=0.0, low_dwell_s=0.5),
    fleet=FleetTuning(silent_reports=4.0, boot_patience=0.2),
    leadership=LeadershipTuning(ttl_s=0.6, renew_s=0.2),
)


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def settings_toml(
    settings: Settings, relay_addresses: Mapping[str, str] | None = None
) -> list[str]:
    """Return the lines of a controller's settings file, as the platform would write it.

    ``relay_addresses`` replaces the addresses of single controllers, by name, and of the state
    service, under ``state``.
    """
    replacements = relay_addresses or {}
    workers = settings.params.workers
    lines = [
        f'host_name = "{settings.host_name}"',
        f'zone = "{settings.zone}"',
        f'serve_on = "{settings.serve_on}"',
        f'cluster_listen = "{settings.cluster_listen}"',
    ]
    for peer in settings.known:
        address = replacements.get(peer.host_name, peer.address)
        lines += ["[[known]]", f'host_name = "{peer.host_name}"', f'zone = "{peer.zone}"']
        lines.append(f'address = "{address}"')
    lines += ["[outside]", f'cloud = "{settings.outside.cloud}"']
    lines.append(f'state = "{replacements.get("state", settings.outside.state)}"')
    lines += ["[params]", 'zones = ["a", "b"]']
    lines += ["[params.workers]", f"report_s = {workers.report_s}"]
    lines += [f"lease_s = {workers.lease_s}", f"cancel_s = {workers.cancel_s}"]
    lines += ["[params.cloud]", "rps = 50.0", "list_lag_s = 0.2"]
    for team in settings.params.teams:
        lines += ["[[params.teams]]", f'name = "{team.name}"']
    lines += ["[params.state]", "rps = 5000.0", "write_rps = 500.0"]
    return [*lines, "value_kb = 16.0", "txn_ops = 16"]


class StateService:
    """The state service over HTTP; ``unavailable`` makes it refuse all requests."""

    def __init__(self) -> None:
        self.store = InMemoryStore()
        # By lease: when it ends, and its time to live, both in seconds.
        self.lease_deadlines: dict[int, tuple[float, float]] = {}
        self.unavailable = False
        # Controllers whose requests alone are refused, by the name in their From header.
        self.refused_senders: set[str] = set()

    def app(self) -> web.Application:
        app = web.Application()
        app.router.add_get("/store/{key:.+}", self.handle_get)
        app.router.add_get("/store", self.handle_read_range)
        app.router.add_post("/commit", self.handle_commit)
        app.router.add_post("/holds", self.handle_grant_lease)
        app.router.add_post("/holds/{id}/touch", self.handle_renew_lease)
        app.router.add_delete("/holds/{id}", self.handle_end_lease)
        app.router.add_get("/follow", self.handle_follow)
        return app

    def expire_leases(self) -> None:
        for lease, (deadline_s, _) in list(self.lease_deadlines.items()):
            if time.monotonic() > deadline_s and not self.unavailable:
                del self.lease_deadlines[lease]
                self.store.end_lease(lease)

    def _check_available(self, request: web.Request) -> None:
        if self.unavailable or request.headers.get("From") in self.refused_senders:
            raise web.HTTPServiceUnavailable
        self.expire_leases()

    async def handle_get(self, request):
        self._check_available(request)
        row = self.store.rows.get(request.match_info["key"])
        if row is None:
            return web.json_response({"ledger": self.store.revision}, status=404)
        body = {"path": request.match_info["key"], "v": msgspec.Raw(row[0]), "stamp": row[1]}
        return web.Response(body=msgspec.json.encode(body))

    async def handle_read_range(self, request):
        self._check_available(request)
        prefix, after = request.query["starts"], request.query.get("after", "")
        limit = int(request.query.get("limit", 100))
        keys = sorted(k for k in self.store.rows if k.startswith(prefix) and k > after)
        rows = [
            {"path": k, "v": msgspec.Raw(self.store.rows[k][0]), "stamp": self.store.rows[k][1]}
            for k in keys[:limit]
        ]
        body = {"rows": rows, "truncated": len(keys) > limit, "ledger": self.store.revision}
        return web.Response(body=msgspec.json.encode(body))

    async def handle_commit(self, request):
        self._check_available(request)
        transaction = msgspec.json.decode(await request.read(), type=wire.Transaction)
        if is_too_large(transaction):
            return web.json_response({"error": "too large"}, status=400)
        try:
            return web.json_response({"ledger": self.store.commit(transaction)})
        except ConflictError as error:
            return web.json_response(
                {"failed": error.failed, "ledger": self.store.revision}, status=409
            )
        except NoLeaseError:
            return web.json_response({"error": "no such lease"}, status=400)

    async def handle_grant_lease(self, request):
        self._check_available(request)
        ttl = (await request.json())["ttl_ms"] / 1000
        lease = self.store.grant()
        self.lease_deadlines[lease] = (time.monotonic() + ttl, ttl)
        return web.json_response({"hold": lease})

    async def handle_renew_lease(self, request):
        self._check_available(request)
        lease = int(request.match_info["id"])
        if lease not in self.lease_deadlines:
            return web.Response(status=404)
        ttl = self.lease_deadlines[lease][1]
        self.lease_deadlines[lease] = (time.monotonic() + ttl, ttl)
        return web.json_response({})

    async def handle_end_lease(self, request):
        self._check_available(request)
        lease = int(request.match_info["id"])
        if self.lease_deadlines.pop(lease, None) is None:
            return web.Response(status=404)
        self.store.end_lease(lease)
        return web.json_response({})

    async def handle_follow(self, request):
        self._check_available(request)
        prefix, after = request.query["starts"], int(request.query["after"])
        deadline_s = time.monotonic() + int(request.query.get("hold_ms", 0)) / 1000
        while True:
            self.expire_leases()
            # While the service is unavailable, or refuses this sender, an open watch delivers no
            # events; at its deadline it is answered without any, but with the current revision.
            refused = self.unavailable or request.headers.get("From") in self.refused_senders
            events = (
                []
                if refused
                else [
                    e
                    for e in self.store.events
                    if e["stamp"] > after and (e.get("write") or e["delete"]).startswith(prefix)
                ]
            )
            if events or time.monotonic() > deadline_s:
                return web.json_response({"ledger": self.store.revision, "events": events})
            await asyncio.sleep(0.01)


class Worker:
    """The worker of one machine: sends reports, runs tasks and ends them with its lease."""

    def __init__(
        self, cluster: LoopbackCluster, name: str, machine_type: str, zone: str, spot: bool
    ) -> None:
        self.cluster = cluster
        self.name, self.machine_type, self.zone, self.spot = name, machine_type, zone, spot
        self.port = free_port()
        self.session, self.sequence, self.term = 1, 0, 0
        # By task and attempt: what a report says of it.
        self.tasks: dict[tuple[str, int], dict] = {}
        # Index of the controller that reports go to, modulo the number of controllers.
        self.target_index = 0
        # When the last report with an answer was sent: the lease is counted from there.
        self.last_answer_at_s = time.monotonic()
        self.tasks_changed = asyncio.Event()
        # Reports are sent, but neither their answers nor commands arrive.
        self.receives_nothing = False
        # The messages to /orders that it has carried out.
        self.executed_messages: list[dict] = []

    def report(self) -> dict:
        self.sequence += 1
        return {
            "host": self.name,
            "addr": f"127.0.0.1:{self.port}",
            "build": self.machine_type,
            "yard": self.zone,
            "reclaimable": self.spot,
            "tenure": self.session,
            "tick": self.sequence,
            "epoch": self.term,
            "warning_s": None,
            "pieces": [{"piece": p, "try": t, **row} for (p, t), row in self.tasks.items()],
        }

    def execute(self, commands: list[dict]) -> None:
        for command in commands:
            key = (command["piece"], command["try"])
            if command["verb"] == "run" and key not in self.tasks:
                self.tasks[key] = {"phase": "running"}
                self.cluster.on_task_started(self, key[0])
                if command["piece"].split("/")[0] not in self.cluster.daemon_jobs:
                    asyncio.get_running_loop().call_later(
                        self.cluster.task_duration_s,
                        self.end_task,
                        key,
                        self.cluster.exit_cause(self),
                    )
            elif command["verb"] == "kill":
                self.end_task(key, "stopped")
            elif command["verb"] == "reap" and self.tasks.get(key, {}).get("phase") == "exited":
                del self.tasks[key]

    def end_task(self, key: tuple[str, int], cause: str) -> None:
        row = self.tasks.get(key)
        if row is not None and row["phase"] != "exited":
            self.tasks[key] = {"phase": "exited", "cause": cause}
            self.cluster.on_task_ended(self, key[0])
            self.tasks_changed.set()

    async def handle_commands(self, request):
        if (
            self.receives_nothing
            or request.headers.get("From") in self.cluster.unreachable_for_workers
        ):
            await asyncio.sleep(60)
        body = await request.json()
        if not self._accepts(body):
            return web.json_response(self.report(), status=409)
        self.executed_messages.append(body)
        self.term = body["epoch"]
        self.execute(body["orders"])
        return web.json_response(self.report())

    def _accepts(self, message: dict) -> bool:
        return message["epoch"] >= self.term and message["tenure"] == self.session

    def receive_copies(self) -> set[tuple[str, int]]:
        """Copies of all that it ever carried out arrive; returns the attempts that they start."""
        known = set(self.tasks)
        for message in filter(self._accepts, self.executed_messages):
            self.term = message["epoch"]
            self.execute(message["orders"])
        return self.tasks.keys() - known

    async def run(self) -> None:
        app = web.Application()
        app.router.add_post("/orders", self.handle_commands)
        runner = await listen(app, f"127.0.0.1:{self.port}")
        try:
            while True:
                await self._send_report()
                self.tasks_changed.clear()
                with suppress(TimeoutError):
                    async with asyncio.timeout(REPORT_S):
                        await self.tasks_changed.wait()
        finally:
            for key in list(self.tasks):
                self.end_task(key, "gone")
            await runner.cleanup()

    async def _send_report(self) -> None:
        if time.monotonic() - self.last_answer_at_s > LEASE_S:
            for key in list(self.tasks):
                self.end_task(key, "lease")
            self.tasks.clear()
            self.session += 1
            self.last_answer_at_s = time.monotonic()
        sent_at_s, controller_names = time.monotonic(), list(self.cluster.addresses)
        name = controller_names[self.target_index % len(controller_names)]
        if name in self.cluster.unreachable_for_workers:
            await asyncio.sleep(0.8)
            self.target_index += 1
            return
        try:
            async with self.cluster.http_session.post(
                f"http://{self.cluster.addresses[name]}/v1/report",
                data=msgspec.json.encode(self.report()),
                timeout=aiohttp.ClientTimeout(total=1.0),
            ) as response:
                status, body = response.status, await response.read()
        except (aiohttp.ClientError, TimeoutError, OSError):
            self.target_index += 1
            return
        if self.receives_nothing:
            return
        if status == 200:
            answer = msgspec.json.decode(body)
            if answer["epoch"] >= self.term:
                self.term = answer["epoch"]
                self.last_answer_at_s = sent_at_s
                self.execute(answer["orders"])
        elif status == 421 and msgspec.json.decode(body).get("steward") in controller_names:
            self.target_index = controller_names.index(msgspec.json.decode(body)["steward"])
        else:
            self.target_index += 1


class LoopbackCluster:
    """Controllers in this process, and the fake services and workers around them."""

    def __init__(
        self, teams: tuple[Team, ...] = (Team("red"), Team("blue")), tuning: Tuning = FAST_TUNING
    ) -> None:
        self.tuning = tuning
        self.state_service = StateService()
        self.teams = teams
        self.state_limits = StateLimits(5000.0, 500.0, 16.0, 16)
        self.task_duration_s = 0.3
        # Jobs whose tasks run until they are killed.
        self.daemon_jobs: set[str] = set()
        # Rules that were broken; tests assert that there are none.
        self.violations: list[str] = []
        # Running tasks, and the machine of each.
        self.running_on: dict[str, str] = {}
        # By job: the most of its tasks that have run at the same time.
        self.most_running: Counter[str] = Counter()
        self.withdrawn: set[str] = set()
        # Machines on which every task ends with an error.
        self.failing_machines: set[str] = set()
        # Machines that never boot, by the number under which they are rented.
        self.never_booting: set[int] = set()
        # Controllers that can't exchange messages with any worker.
        self.unreachable_for_workers: set[str] = set()
        # By the id of the rent request: the machines rented for it.
        self.rentals: dict[str, list[str]] = {}
        self.workers: dict[str, tuple[Worker, asyncio.Task]] = {}
        self.rented_count = 0
        # By controller: where it serves users and workers.
        self.addresses: dict[str, str] = {}
        self.controllers: dict[str, tuple[Controller, list, list]] = {}
        self.settings: dict[str, Settings] = {}

    # The workers' tasks: a task must not run on two machines at once.

    def on_task_started(self, worker: Worker, task: str) -> None:
        if task in self.running_on:
            self.violations.append(f"ran_twice {task} on {self.running_on[task]} and {worker.name}")
        self.running_on[task] = worker.name
        job_id = task.partition("/")[0]
        running = sum(1 for t in self.running_on if t.startswith(f"{job_id}/"))
        self.most_running[job_id] = max(self.most_running[job_id], running)

    def on_task_ended(self, worker: Worker, task: str) -> None:
        if self.running_on.get(task) == worker.name:
            del self.running_on[task]

    def exit_cause(self, worker: Worker) -> str:
        return "error" if worker.name in self.failing_machines else "done"

    # The cloud.

    def cloud_app(self) -> web.Application:
        app = web.Application()
        app.router.add_get("/machine_types", self.handle_machine_types)
        app.router.add_post("/machines", self.handle_rent)
        app.router.add_post("/machines/release", self.handle_release)
        app.router.add_get("/machines", self.handle_list)
        return app

    async def handle_machine_types(self, _request):
        return web.Response(body=msgspec.json.encode({"builds": [machine_type()]}))

    async def handle_rent(self, request):
        body = await request.json()
        if body["hire"] not in self.rentals:
            names = []
            for _ in range(body["how_many"]):
                name = f"vm-{self.rented_count:06d}"
                worker = Worker(self, name, body["build"], body["yard"], body["reclaimable"])
                boots = self.rented_count not in self.never_booting
                task = asyncio.create_task(worker.run() if boots else asyncio.sleep(1e6))
                self.workers[name] = (worker, task)
                self.rented_count += 1
                names.append(name)
            self.rentals[body["hire"]] = names
        return web.json_response({"hosts": self.rentals[body["hire"]]})

    def kill_machine(self, name: str) -> None:
        _, task = self.workers.pop(name)
        task.cancel()

    async def handle_release(self, request):
        for name in (await request.json())["hosts"]:
            if name in self.workers:
                worker, task = self.workers.pop(name)
                task.cancel()
                await asyncio.gather(task, return_exceptions=True)
                for key in list(worker.tasks):
                    worker.end_task(key, "gone")
        return web.json_response({})

    async def handle_list(self, request):
        after = request.query.get("after", "")
        hosts = [
            {
                "ref": n,
                "addr": f"127.0.0.1:{w.port}",
                "build": w.machine_type,
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
        self, stack: AsyncExitStack, controller_count: int = 3, start_controllers: bool = True
    ) -> None:
        self.http_session = await stack.enter_async_context(aiohttp.ClientSession())
        ports = [free_port() for _ in range(2 + 2 * controller_count)]
        state, cloud = f"127.0.0.1:{ports[0]}", f"127.0.0.1:{ports[1]}"
        for app, address in ((self.state_service.app(), state), (self.cloud_app(), cloud)):
            runner = await listen(app, address)
            stack.push_async_callback(runner.cleanup)
        names = [f"moss-{i}" for i in range(controller_count)]
        zones = {n: "b" if n == names[-1] else "a" for n in names}
        peer_addresses = {n: f"127.0.0.1:{ports[2 + 2 * i]}" for i, n in enumerate(names)}
        self.addresses = {n: f"127.0.0.1:{ports[3 + 2 * i]}" for i, n in enumerate(names)}
        for name in names:
            self.settings[name] = Settings(
                name,
                zones[name],
                self.addresses[name],
                peer_addresses[name],
                ServiceAddresses(cloud, state),
                Params(
                    ("a", "b"),
                    WorkerLimits(REPORT_S, LEASE_S, 15.0),
                    self.state_limits,
                    CloudLimits(50.0, 0.2),
                    teams=self.teams,
                    machine_limits=MachineLimits(),
                ),
                tuple(Peer(n, zones[n], peer_addresses[n]) for n in names if n != name),
                self.tuning,
            )
            if start_controllers:
                await self.start_controller(name)
        stack.push_async_callback(self.stop)

    async def start_controller(self, name: str) -> None:
        http = aiohttp.ClientSession(headers={"From": name})
        rng = random.Random(f"{name}-{len(self.controllers)}-{time.monotonic_ns()}")
        controller = Controller(self.settings[name], http, http, SystemClock(), rng)
        users, peers = controller.web_apps()
        runners = [
            await listen(users, self.settings[name].serve_on),
            await listen(peers, self.settings[name].cluster_listen),
        ]
        tasks = [asyncio.create_task(work) for work in controller.background_loops()]
        self.controllers[name] = (controller, tasks, [*runners, http])

    def isolate(self, name: str) -> None:
        """Cut a controller off from the state service and its peers, but not from workers."""
        self.state_service.refused_senders.add(name)
        unused_address = f"127.0.0.1:{free_port()}"
        for other, (controller, *_) in self.controllers.items():
            addresses = controller.peers._addresses
            for known in addresses:
                if name in (other, known):
                    addresses[known] = unused_address

    def reconnect(self, name: str) -> None:
        """Undo ``isolate``."""
        self.state_service.refused_senders.discard(name)
        for controller, *_ in self.controllers.values():
            for peer in controller.settings.known:
                controller.peers._addresses[peer.host_name] = peer.address

    async def kill_controller(self, name: str) -> None:
        """Stop a controller as a crash does, without any message."""
        _, tasks, resources = self.controllers.pop(name)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        *runners, http = resources
        await http.close()
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


async def run_demo(tuning: Tuning) -> None:
    async with AsyncExitStack() as stack:
        cluster = LoopbackCluster(tuning=tuning)
        cluster.task_duration_s = 3.0
        await cluster.start(stack)
        print("\n".join(f"{n}: {a}" for n, a in cluster.addresses.items()), flush=True)
        await asyncio.Event().wait()


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--operator-config", type=Path, help="the operators' HCL file")
    operator_file = parser.parse_args().operator_config
    tuning = load_tuning(operator_file.read_text()) if operator_file is not None else FAST_TUNING
    with suppress(KeyboardInterrupt):
        asyncio.run(run_demo(tuning))
