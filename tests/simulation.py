"""A simulated region: state service, cloud, workers and users around real controllers.

It runs in virtual time. Each outside system follows its published protocol, also in its faults.
Violations of the scheduler's rules are recorded in ``Simulation.violations`` as they happen.
"""

from __future__ import annotations

import asyncio
import contextvars
import json
import random
from collections import Counter
from collections.abc import Callable
from urllib.parse import parse_qs, urlsplit

import aiohttp
import msgspec
from msgspec import Raw

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
from mosswalk.config.operator import Tuning
from mosswalk.service import Controller
from mosswalk.store import records
from mosswalk.wire.peers import Heartbeat, Offer, Outcomes, Withdrawals
from mosswalk.wire.state import Transaction, Write
from mosswalk.wire.users import JobSpec
from mosswalk.wire.workers import Report
from tests.fakes import machine_type
from tests.production import records as production
from tests.simulated_gangs import GANG_PEER_S, GANG_WAIT_S, SimulatedGangs
from tests.simulated_services import LEASE_S, REPORT_S, StateService, Worker
from tests.virtual_time import CURRENT_PROCESS, Network, SimulatedHttp, VirtualClock

CANCEL_S = 42.0
DEFAULT_TUNING = Tuning()
STEP_S = 0.25


def min_cores_to_start(job: JobSpec) -> float:
    """The CPU cores that must be free within the team's limit before any task of a job starts."""
    return job.cpus * (job.tasks if job.kind == "group" else 1)


class Simulation:
    """The controllers and the outside systems that they talk to."""

    def __init__(
        self,
        seed: int,
        teams: tuple[Team, ...] = (Team("red", 8.0, 24.0), Team("blue")),
        controller_count: int = 3,
        tuning: Tuning = DEFAULT_TUNING,
    ) -> None:
        self.tuning = tuning
        self.rng = random.Random(seed)
        self.loop = asyncio.get_running_loop()
        self.network = Network(self.rng)
        self.state = StateService(self)
        self.teams = {team.name: team for team in teams}
        self.controller_names = [f"moss-{i}" for i in range(controller_count)]
        self.addresses = {n: f"{n}:8080" for n in self.controller_names}
        self.controllers: dict[str, tuple[Controller, list[asyncio.Task]]] = {}
        # The controllers that are not started, whatever happens, until they are taken out here.
        self.absent: set[str] = set()
        self.workers: dict[str, Worker] = {}
        # By the request's id: the machines rented.
        self.rentals: dict[str, list[str]] = {}
        self.cloud_down = False
        # The share of reports of which a second copy arrives late.
        self.late_report_share = 0.0
        # The share of answered /orders of which one or two copies arrive late.
        self.late_copy_share = 0.0
        self.rented_count = 0
        # What users have submitted and were told, and what runs: the rules are checked on these.
        self.specs: dict[str, JobSpec] = {}
        self.run_times_s: dict[str, float] = {}
        self.accepted: set[str] = set()
        # By job: the last phase that a user was told, and when it changed to that.
        self.reported_phases: dict[str, tuple[str, float]] = {}
        self.withdrawal_requested: set[str] = set()
        self.done_tasks: set[str] = set()
        # By task: the worker that runs it.
        self.running_on: dict[str, Worker] = {}
        # By team and a number of cores: when the team's limit last had fewer cores than that left.
        self.last_at_limit_s: dict[tuple[str, float], float] = {}
        self.violations: list[str] = []
        self.counts: Counter[str] = Counter()
        self.gangs = SimulatedGangs(self)

    def now(self) -> float:
        return self.loop.time()

    async def wait_until(self, condition: Callable[[], object], within_s: float = 90.0) -> None:
        """Wait for a condition by polling, and return also on a timeout: the caller asserts."""
        for _ in range(round(within_s / STEP_S)):
            if condition():
                return
            await asyncio.sleep(STEP_S)

    # The scheduler's rules.

    def record_violation(self, rule: str, detail: str) -> None:
        self.violations.append(f"{rule} at {self.now():.1f} s: {detail}")

    def spec_of(self, task: str) -> JobSpec | None:
        return self.specs.get(task.partition("/")[0])

    def draw_run_time_s(self, task: str) -> float:
        """A random run time; a task that was done already has no work left if it is run again."""
        if task in self.done_tasks:
            return 0.0
        return self.run_times_s[task.partition("/")[0]] * self.rng.uniform(0.4, 1.6)

    def on_task_started(self, worker: Worker, task: str) -> None:
        spec = self.spec_of(task)
        self.counts["started"] += 1
        if task in self.running_on:
            self.record_violation(
                "ran_twice", f"{task} on {self.running_on[task].name} and {worker.name}"
            )
        self.running_on[task] = worker
        phase, since_s = self.reported_phases.get(spec.id, ("", 0.0))
        if phase == "withdrawn":
            self.counts["started_cancelled"] += 1
            if self.now() - since_s > CANCEL_S:
                self.record_violation("ran_cancelled", f"{task} started on {worker.name}")
        used_cpus = sum(
            self.spec_of(t).cpus for t in self.running_on if self.spec_of(t).team == spec.team
        )
        if 0 < self.teams[spec.team].cpus_max < used_cpus:
            self.record_violation("quota", f"{spec.team} uses {used_cpus}")
        sibling_workers = [
            w for t, w in self.running_on.items() if t.partition("/")[0] == spec.id and t != task
        ]
        if spec.one_zone and any(sibling.zone != worker.zone for sibling in sibling_workers):
            self.record_violation("wrong_place", f"{task} in {worker.zone}, others elsewhere")
        tasks_in_zone = sum(1 for sibling in sibling_workers if sibling.zone == worker.zone) + 1
        if spec.spread and tasks_in_zone > -(-spec.tasks // 2):
            self.record_violation("wrong_place", f"{task}: {tasks_in_zone} tasks in {worker.zone}")
        if (worker.spot and not spec.spot) or (spec.zone or worker.zone) != worker.zone:
            self.record_violation("wrong_place", f"{task} on {worker.name}")

    def on_task_ended(self, worker: Worker, task: str, cause: str) -> None:
        if self.running_on.get(task) is worker:
            del self.running_on[task]
        if cause == "done":
            self.done_tasks.add(task)

    def on_phase_reported(self, job_id: str, phase: str, requested_at_s: float) -> None:
        before, since_s = self.reported_phases.get(job_id, ("", 0.0))
        if before in ("done", "withdrawn") and phase != before:
            # An answer to a request from before the final phase was reported may be out of date,
            # unless it is another final phase.
            if requested_at_s > since_s or phase in ("done", "withdrawn"):
                self.record_violation("went_back", f"{job_id} was {before}, is {phase}")
            return
        if phase == "withdrawn" and job_id not in self.withdrawal_requested:
            self.record_violation("went_back", f"{job_id} cancelled by nobody")
        if phase == "done" and any(
            f"{job_id}/{i}" not in self.done_tasks for i in range(self.specs[job_id].tasks)
        ):
            self.record_violation("not_done", job_id)
        if phase != before:
            self.counts[phase] += 1
            self.reported_phases[job_id] = (phase, self.now())

    def check_invariants(self) -> None:
        used_cpus = Counter(dict.fromkeys(self.teams, 0.0))
        for worker in self.workers.values():
            for (task, _), row in worker.tasks.items():
                if row["phase"] != "exited":
                    used_cpus[self.spec_of(task).team] += self.spec_of(task).cpus
        for name, team in self.teams.items():
            gang_cpus = {min_cores_to_start(s) for s in self.specs.values() if s.kind == "group"}
            for cpus in {1.0, 2.0} | gang_cpus:
                if 0 < team.cpus_max < used_cpus[name] + cpus:
                    self.last_at_limit_s[(name, cpus)] = self.now()
        for task, worker in self.running_on.items():
            phase, since_s = self.reported_phases.get(task.partition("/")[0], ("", 0.0))
            if phase == "withdrawn" and self.now() - since_s > CANCEL_S:
                self.record_violation("ran_cancelled", f"{task} still on {worker.name}")

    # The cloud.

    async def serve_cloud(
        self, method: str, path: str, body: bytes, _sender: str
    ) -> tuple[int, bytes]:
        url = urlsplit(path)
        if self.cloud_down:
            return 503, b'{"error":"trouble"}'
        if url.path == "/machine_types":
            return 200, msgspec.json.encode({"builds": [machine_type(boot_s=3.0)]})
        if url.path == "/machines/release":
            for name in json.loads(body)["hosts"]:
                if name in self.workers:
                    self.workers.pop(name).destroy()
            return 200, b"{}"
        if method == "POST":
            return 200, json.dumps({"hosts": self._rent(json.loads(body))}).encode()
        hosts = [
            {
                "ref": n,
                "addr": w.address,
                "build": w.machine_type,
                "yard": w.zone,
                "reclaimable": w.spot,
                "phase": "running" if w.up else "booting",
                "held_s": 1.0,
            }
            for n, w in sorted(self.workers.items())
            if self.now() - w.rented_at_s > 4.0 and n > parse_qs(url.query).get("after", [""])[0]
        ]
        return 200, json.dumps({"hosts": hosts, "truncated": False}).encode()

    def _rent(self, body: dict) -> list[str]:
        if body["hire"] not in self.rentals:
            names = []
            for _ in range(min(body["how_many"], 24 - len(self.workers))):
                name = f"vm-{self.rented_count:06d}"
                worker = Worker(self, name, body["build"], body["yard"], body["reclaimable"])
                self.workers[name] = worker
                self.network.hosts[worker.address] = (name, worker.serve)
                self.network.spawn(worker.run(self.rng.uniform(2.0, 4.5)))
                self.rented_count += 1
                names.append(name)
            self.rentals[body["hire"]] = names
        return self.rentals[body["hire"]]

    def maybe_repeat_report(self, body: bytes) -> None:
        if self.rng.random() < self.late_report_share:
            self.network.spawn(self._repeat_report(body))

    async def _repeat_report(self, body: bytes) -> None:
        await asyncio.sleep(self.rng.choice([2.0, 5.0, LEASE_S + 4.0, 2 * LEASE_S]))
        name = self.rng.choice(self.controller_names)
        if name in self.controllers:
            self.controllers[name][0].manager.answer_report(msgspec.json.decode(body, type=Report))

    def maybe_repeat_commands(self, worker: Worker, message: dict) -> None:
        if self.late_copy_share > 0 and self.rng.random() < self.late_copy_share:
            for _ in range(self.rng.choice([1, 1, 2])):
                self.counts["copies"] += 1
                self.network.spawn(self._repeat_commands(worker, message))

    async def _repeat_commands(self, worker: Worker, message: dict) -> None:
        await asyncio.sleep(self.rng.uniform(0.3, 32.0))
        await self.network.wait_while_hung(worker.name)
        worker.receive_copy(message)

    # The controllers.

    def start(self) -> None:
        self.network.hosts["state:1"] = ("state", self.state.serve)
        self.network.hosts["cloud:1"] = ("cloud", self.serve_cloud)
        for name in self.controller_names:
            self.start_controller(name)
        self.network.spawn(self._run_steps())

    async def _run_steps(self) -> None:
        while True:
            await asyncio.sleep(STEP_S)
            self.state.expire_leases()
            for worker in list(self.workers.values()):
                worker.advance()
            self.gangs.advance()
            self.check_invariants()

    def settings(self, name: str) -> Settings:
        zone = {n: "b" if n == self.controller_names[-1] else "a" for n in self.controller_names}
        return Settings(
            name,
            zone[name],
            self.addresses[name],
            f"{name}:8081",
            ServiceAddresses("cloud:1", "state:1"),
            Params(
                ("a", "b"),
                WorkerLimits(REPORT_S, LEASE_S, CANCEL_S, GANG_WAIT_S, GANG_PEER_S),
                StateLimits(200.0, 40.0, 16.0, 16),
                CloudLimits(6.0, 4.0),
                teams=tuple(self.teams.values()),
                machine_limits=MachineLimits(),
            ),
            tuple(Peer(n, zone[n], f"{n}:8081") for n in self.controller_names if n != name),
            self.tuning,
        )

    def start_controller(self, name: str) -> None:
        if name in self.controllers or name in self.absent:
            # Another fault has killed and restarted it in the meantime, or it is not to be started.
            return
        http = SimulatedHttp(self.network, name)
        rng = random.Random(self.rng.random())
        controller = Controller(
            self.settings(name),
            http,
            http,
            VirtualClock(self.loop, rng),
            rng,  # type: ignore[arg-type]
        )
        context = contextvars.copy_context()
        context.run(CURRENT_PROCESS.set, name)
        tasks = [
            self.loop.create_task(work, context=context) for work in controller.background_loops()
        ]
        self.controllers[name] = (controller, tasks)

        async def serve_api(method: str, path: str, body: bytes, _sender: str) -> tuple[int, bytes]:
            if path == "/v1/report":
                return controller.manager.answer_report(msgspec.json.decode(body, type=Report))
            if method == "POST" and path == "/api/jobs":
                reply = await controller.job_service.submit(body)
            elif method == "POST":
                reply = await controller.job_service.withdraw(path.split("/")[3])
            else:
                reply = await controller.job_service.poll(path.split("/")[3])
            return reply.status, reply.body

        async def serve_peers(
            _method: str, path: str, body: bytes, _sender: str
        ) -> tuple[int, bytes]:
            def decode(kind: type) -> object:
                return msgspec.msgpack.decode(body, type=kind)

            if path == "/offer":
                answer: object = await controller.owner.receive_offer(decode(Offer))
            elif path == "/outcomes":
                answer = controller.owner.receive_outcomes(decode(Outcomes))
            elif path == "/withdrawn":
                answer = controller.apply_peer_withdrawals(decode(Withdrawals))
            elif path == "/probe":
                answer = await controller.detector.probe(decode(str))
            elif path == "/poll":
                answer = await controller.job_service.poll_for_peer(decode(str))
            else:
                answer = controller.peer_status(decode(Heartbeat | None))
            return 200, msgspec.msgpack.encode(answer)

        self.network.hosts[f"{name}:8080"] = (name, serve_api)
        self.network.hosts[f"{name}:8081"] = (name, serve_peers)

    def add_old_presence(self, name: str) -> None:
        """Let the state service show a controller of the production version, without serving."""
        lease = self.state.store.grant()
        self.state.leases[lease] = (10**9, 10**9)
        value = Raw(production.encode(production.Presence(name, "old")))
        key = records.NODE_PREFIX + name
        self.state._apply(Transaction((), (Write(key=key, value=value, lease=lease),)))

    def kill_controller(self, name: str) -> None:
        self.loop.thaw(name)
        controller, tasks = self.controllers.pop(name)
        detector_tasks = controller.detector._tasks if controller.detector is not None else ()
        for task in [*tasks, *controller.manager._tasks, *detector_tasks]:
            task.cancel()
        for port in (8080, 8081):
            self.network.hosts.pop(f"{name}:{port}", None)

    def leader(self) -> str | None:
        return next((n for n, (c, _) in self.controllers.items() if c.leadership.leads()), None)

    # The users.

    async def send_user_request(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        node: str | None = None,
        timeout_s: float = 5.0,
    ) -> tuple[int, dict]:
        name = node or self.rng.choice(self.controller_names)
        try:
            status, answer = await self.network.call(
                "user", method, f"http://{self.addresses[name]}{path}", body, timeout_s
            )
        except (aiohttp.ClientError, TimeoutError, OSError):
            return 0, {}
        return status, json.loads(answer)

    async def submit(self, spec: JobSpec, run_s: float, node: str | None = None) -> bool:
        self.specs.setdefault(spec.id, spec)
        self.run_times_s.setdefault(spec.id, run_s)
        body = msgspec.json.encode(spec)
        give_up_at_s = self.now() + 60.0
        while self.now() < give_up_at_s:
            requested_at_s = self.now()
            status, answer = await self.send_user_request("POST", "/api/jobs", body, node)
            if status in (200, 201):
                self.accepted.add(spec.id)
                self.on_phase_reported(spec.id, answer["phase"], requested_at_s)
                return True
            if status in (400, 422):
                if spec.id in self.accepted:
                    self.record_violation("forgotten", f"{spec.id}: {status}")
                return False
            await asyncio.sleep(1.0)
        return False

    async def poll(self, job_id: str, node: str | None = None) -> str | None:
        requested_at_s = self.now()
        status, answer = await self.send_user_request(
            "GET", f"/api/jobs/{job_id}", node=node, timeout_s=2.0
        )
        if status == 404 and job_id in self.accepted:
            self.record_violation("forgotten", f"{job_id}: 404")
        if status != 200:
            return None
        self.on_phase_reported(job_id, answer["phase"], requested_at_s)
        return answer["phase"]

    async def withdraw(self, job_id: str, node: str | None = None) -> None:
        self.withdrawal_requested.add(job_id)
        give_up_at_s = self.now() + 60.0
        while self.now() < give_up_at_s:
            requested_at_s = self.now()
            status, answer = await self.send_user_request(
                "POST", f"/api/jobs/{job_id}/withdraw", node=node
            )
            if status == 200:
                self.on_phase_reported(job_id, answer["phase"], requested_at_s)
                return
            await asyncio.sleep(1.0)

    async def poll_until_final(self, job_id: str) -> None:
        phase = await self.poll(job_id)
        while phase not in ("done", "withdrawn"):
            await asyncio.sleep(5.0)
            phase = await self.poll(job_id)
