"""The simulated state service and machines, by their published protocols, also in their faults."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from typing import TYPE_CHECKING
from urllib.parse import parse_qs, urlsplit

import aiohttp
import msgspec

from mosswalk.store.client import ConflictError, NoLeaseError
from mosswalk.wire import state as wire
from tests.fakes import InMemoryStore, is_too_large
from tests.simulated_gangs import GANG_WAIT_S

if TYPE_CHECKING:
    from tests.simulation import Simulation

REPORT_S = 1.5
LEASE_S = 12.0


class StateService:
    """The store and its leases; it can be down, refuse some senders, or commit late."""

    def __init__(self, region: Simulation) -> None:
        self.region = region
        self.store = InMemoryStore()
        # By lease: when it expires, and its time to live, in seconds.
        self.leases: dict[int, tuple[float, float]] = {}
        self._up = asyncio.Event()
        self._up.set()
        self.refused_senders: set[str] = set()
        # The share of transactions that are committed late, without an answer in time.
        self.late_commit_share = 0.0
        # How long a sender's connections are reset once a transaction has been applied: it gets
        # no answer to it.
        self.cut_after_commit_s: Callable[[str, wire.Transaction], float] = lambda *_: 0.0
        # By sender: until when its connections are reset.
        self._cut_until_s: dict[str, float] = {}
        self._changed = asyncio.Event()

    async def serve(self, method: str, path: str, body: bytes, sender: str) -> tuple[int, bytes]:
        url = urlsplit(path)
        query = {k: v[0] for k, v in parse_qs(url.query).items()}
        self._check_connection(sender)
        if url.path == "/follow":
            return await self._follow(query, sender)
        if self.down or sender in self.refused_senders:
            return 503, b"{}"
        if url.path == "/commit":
            return await self._commit(body, sender)
        if url.path == "/holds":
            ttl = json.loads(body)["ttl_ms"] / 1000
            lease = self.store.grant()
            self.leases[lease] = (self.region.now() + ttl, ttl)
            return 200, json.dumps({"hold": lease}).encode()
        if url.path.startswith("/holds/"):
            lease = int(url.path.split("/")[2])
            if lease not in self.leases:
                return 404, b"{}"
            if method == "DELETE":
                del self.leases[lease]
                self.store.end_lease(lease)
                self._notify()
                return 200, b"{}"
            ttl = self.leases[lease][1]
            self.leases[lease] = (self.region.now() + ttl, ttl)
            return 200, b"{}"
        if url.path == "/store":
            return 200, self._range(query)
        return self._get(url.path.removeprefix("/store/"))

    def _row(self, key: str) -> dict:
        value, version, _ = self.store.rows[key]
        return {"path": key, "v": msgspec.Raw(value), "stamp": version}

    def _get(self, key: str) -> tuple[int, bytes]:
        if key not in self.store.rows:
            return 404, json.dumps({"ledger": self.store.revision}).encode()
        return 200, msgspec.json.encode(self._row(key))

    def _range(self, query: dict[str, str]) -> bytes:
        after, limit = query.get("after", ""), int(query["limit"])
        keys = sorted(k for k in self.store.rows if k.startswith(query["starts"]) and k > after)
        return msgspec.json.encode(
            {
                "rows": [self._row(k) for k in keys[:limit]],
                "truncated": len(keys) > limit,
                "ledger": self.store.revision,
            }
        )

    def _check_connection(self, sender: str) -> None:
        if self.region.now() < self._cut_until_s.get(sender, 0.0):
            raise aiohttp.ServerDisconnectedError

    async def _commit(self, body: bytes, sender: str) -> tuple[int, bytes]:
        transaction = msgspec.json.decode(body, type=wire.Transaction)
        if is_too_large(transaction):
            return 400, b'{"error":"too large"}'
        if self.region.rng.random() < self.late_commit_share:
            self.region.network.spawn(self._commit_late(transaction))
            await asyncio.sleep(60.0)
        self._cut_until_s[sender] = self.region.now() + self.cut_after_commit_s(sender, transaction)
        answer = self._apply(transaction)
        self._check_connection(sender)
        return answer

    async def _commit_late(self, transaction: wire.Transaction) -> None:
        await asyncio.sleep(self.region.rng.uniform(2.0, 12.0))
        await self._up.wait()
        self._apply(transaction)

    def _apply(self, transaction: wire.Transaction) -> tuple[int, bytes]:
        try:
            revision = self.store.commit(transaction)
        except ConflictError as error:
            body = {"failed": error.failed, "ledger": self.store.revision}
            return 409, json.dumps(body).encode()
        except NoLeaseError:
            return 400, b'{"error":"no such lease"}'
        self._notify()
        return 200, json.dumps({"ledger": revision}).encode()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _follow(self, query: dict[str, str], sender: str) -> tuple[int, bytes]:
        if self.down or sender in self.refused_senders:
            return 503, b"{}"
        after, prefix = int(query["after"]), query["starts"]
        answer_at_s = self.region.now() + int(query.get("hold_ms", 0)) / 1000
        while True:
            changed = self._changed
            self._check_connection(sender)
            if not self.down and sender not in self.refused_senders:
                events = [
                    e
                    for e in self.store.events[-2000:]
                    if e["stamp"] > after and (e.get("write") or e["delete"]).startswith(prefix)
                ]
                if events or self.region.now() >= answer_at_s:
                    body = {"ledger": self.store.revision, "events": events}
                    return 200, json.dumps(body).encode()
                wait_s = answer_at_s - self.region.now()
            else:
                wait_s = 0.1
            try:
                async with asyncio.timeout(wait_s):
                    await changed.wait()
            except TimeoutError:
                pass

    @property
    def down(self) -> bool:
        return not self._up.is_set()

    def begin_outage(self) -> None:
        self._up.clear()

    def end_outage(self) -> None:
        self._up.set()
        for lease, (_, ttl) in self.leases.items():
            self.leases[lease] = (self.region.now() + ttl, ttl)

    def expire_leases(self) -> None:
        if self.down:
            return
        for lease, (expires_at_s, _) in list(self.leases.items()):
            if self.region.now() > expires_at_s:
                del self.leases[lease]
                self.store.end_lease(lease)
                self._notify()


class Worker:
    """One machine: boots, reports, fetches images, and runs tasks for as long as it has a lease."""

    def __init__(
        self, region: Simulation, name: str, machine_type: str, zone: str, spot: bool
    ) -> None:
        self.region, self.name = region, name
        self.machine_type, self.zone, self.spot = machine_type, zone, spot
        self.address = f"{name}:9000"
        self.session, self.sequence, self.term = 1, 0, 0
        # By task and number of the attempt: its phase, when the phase ends, the cause of its exit.
        self.tasks: dict[tuple[str, int], dict] = {}
        self.images: set[str] = set()
        # The controller that it reports to.
        self.controller_index = region.rng.randrange(len(region.controller_names))
        # When it sent the last report that was answered.
        self.last_answered_at_s = 0.0
        # Three faults. receives_nothing: neither commands nor answers arrive. cannot_report: no
        # report gets out, while commands still arrive. faulty: every task fails as it starts.
        self.up = self.destroyed = self.receives_nothing = self.cannot_report = False
        self.faulty = False
        self.spot_notice_s: float | None = None
        self.kept: list[bytes] = []
        # The messages to /orders that it has carried out.
        self.executed_messages: list[dict] = []
        self._changed = asyncio.Event()
        self.rented_at_s = region.now()

    def encode_report(self) -> bytes:
        self.sequence += 1
        rows = [
            {"piece": p, "try": t, "phase": row["phase"], "cause": row.get("cause")}
            for (p, t), row in self.tasks.items()
        ]
        body = {
            "host": self.name,
            "addr": self.address,
            "build": self.machine_type,
            "yard": self.zone,
            "reclaimable": self.spot,
            "tenure": self.session,
            "tick": self.sequence,
            "epoch": self.term,
            "warning_s": self.spot_notice_s,
            "pieces": rows,
        }
        return json.dumps(body).encode()

    def observe_term(self, term: int) -> None:
        if term > self.term:
            self.term = term
            self._changed.set()

    def execute_commands(self, commands: list[dict]) -> None:
        for command in commands:
            key = (command["piece"], command["try"])
            row = self.tasks.get(key)
            if command["verb"] == "run" and row is None:
                self._start_task(key)
            elif command["verb"] == "kill" and row is not None:
                self._stop_task(key, row, command.get("drain_s") or 0.0)
            elif command["verb"] == "reap" and row is not None and row["phase"] == "exited":
                del self.tasks[key]

    def _start_task(self, key: tuple[str, int]) -> None:
        spec = self.region.spec_of(key[0])
        self._changed.set()
        if spec is None:
            self.tasks[key] = {"phase": "exited", "cause": "no_such"}
        elif any(p == key[0] and r["phase"] != "exited" for (p, _), r in self.tasks.items()):
            self.tasks[key] = {"phase": "exited", "cause": "in_use"}
        else:
            fetch_s = 0.0 if spec.image in self.images else self.region.rng.uniform(0.5, 3.0)
            self.tasks[key] = {"phase": "pulling", "until": self.region.now() + fetch_s}

    def _stop_task(self, key: tuple[str, int], row: dict, grace_s: float) -> None:
        spec = self.region.spec_of(key[0])
        # The kind "group" is a gang: its tasks take a checkpoint together.
        if spec is not None and spec.kind == "group" and row["phase"] != "pulling":
            if row["phase"] != "exited":
                self.region.gangs.stop(self, key, grace_s)
            return
        can_checkpoint = (
            spec is not None
            and spec.checkpoint_interval_s > 0
            and grace_s >= spec.checkpoint_duration_s
        )
        if can_checkpoint and row["phase"] == "running":
            row["phase"], row["until"] = "saving", self.region.now() + spec.checkpoint_duration_s
            self._changed.set()
        elif not can_checkpoint or row["phase"] != "saving":
            self.end_task(key, "stopped")

    def notify_changed(self) -> None:
        self._changed.set()

    def end_task(self, key: tuple[str, int], cause: str) -> None:
        row = self.tasks.get(key)
        if row is None or row["phase"] == "exited":
            return
        if row["phase"] in ("gathering", "running", "saving"):
            self.region.on_task_ended(self, key[0], cause)
        self.tasks[key] = {"phase": "exited", "cause": cause}
        self._changed.set()

    async def serve(self, method: str, path: str, body: bytes, sender: str) -> tuple[int, bytes]:
        if self.receives_nothing or not self.up:
            await asyncio.sleep(60.0)
        message = json.loads(body)
        if not self._accepts(message):
            return 409, self.encode_report()
        self.executed_messages.append(message)
        self._accept_direct_commands(message)
        self.region.maybe_repeat_commands(self, message)
        return 200, self.encode_report()

    def _accept_direct_commands(self, message: dict) -> None:
        self.observe_term(message["epoch"])
        self.execute_commands(message["orders"])

    def receive_copy(self, message: dict) -> None:
        """A copy of /orders that were carried out before arrives; nobody waits for the answer."""
        if self.destroyed or self.receives_nothing or not self._accepts(message):
            return
        known = set(self.tasks)
        self._accept_direct_commands(message)
        self.region.counts["started_by_copies"] += len(self.tasks.keys() - known)

    def receive_all_copies(self) -> None:
        """Copies of all that was ever carried out arrive, in any order."""
        messages = list(self.executed_messages)
        self.region.rng.shuffle(messages)
        for message in messages:
            self.region.counts["copies"] += 1
            self.receive_copy(message)

    def _accepts(self, message: dict) -> bool:
        return message["epoch"] >= self.term and message["tenure"] == self.session

    def advance(self) -> None:
        """Advance leases, image fetches and tasks to the current time, unless the machine hangs."""
        now = self.region.now()
        if not self.up or self.destroyed or self.name in self.region.network.hung_hosts:
            return
        if now - self.last_answered_at_s > LEASE_S:
            for key in list(self.tasks):
                self.end_task(key, "lease")
            self.tasks.clear()
            self.session += 1
            self.last_answered_at_s = now
            self._changed.set()
        for key, row in list(self.tasks.items()):
            if row["phase"] == "pulling" and now >= row["until"]:
                spec = self.region.spec_of(key[0])
                self.images.add(spec.image)
                row["phase"] = "running"
                row["until"] = now + self.region.draw_run_time_s(key[0])
                self._changed.set()
                self.region.on_task_started(self, key[0])
                if self.faulty:
                    self.end_task(key, "error")
                    continue
                if spec.kind == "group":
                    row["phase"], row["until"] = "gathering", now + GANG_WAIT_S
            if self.region.spec_of(key[0]).kind == "group":
                # SimulatedGangs advances the tasks of a gang, all together.
                continue
            if row["phase"] == "running" and now >= row["until"]:
                self.end_task(key, "done")
            elif row["phase"] == "saving" and now >= row["until"]:
                self.end_task(key, "stopped")

    def destroy(self) -> None:
        for key in list(self.tasks):
            self.end_task(key, "gone")
        self.destroyed = True
        self.region.network.hosts.pop(self.address, None)

    async def run(self, boot_s: float) -> None:
        await asyncio.sleep(boot_s)
        self.up = True
        self.last_answered_at_s = self.region.now()
        while not self.destroyed:
            await self.region.network.wait_while_hung(self.name)
            if self.destroyed:
                return
            self.advance()
            pause_s = await self._report_once()
            self._changed.clear()
            await asyncio.sleep(0.5)
            try:
                async with asyncio.timeout(pause_s):
                    await self._changed.wait()
            except TimeoutError:
                pass

    async def _report_once(self) -> float:
        region = self.region
        sent_at_s, session, name = (
            region.now(),
            self.session,
            region.controller_names[self.controller_index],
        )
        body = self.encode_report()
        region.maybe_repeat_report(body)
        if self.cannot_report:
            self.controller_index = (self.controller_index + 1) % len(region.controller_names)
            await asyncio.sleep(2.0)
            return 1.0
        try:
            status, answer = await region.network.call(
                self.name, "POST", f"http://{region.addresses[name]}/v1/report", body, 4.0
            )
        except (aiohttp.ClientError, TimeoutError, OSError):
            status, answer = 0, b""
        if self.receives_nothing or self.destroyed:
            return REPORT_S
        if status == 200:
            decoded = json.loads(answer)
            if decoded["epoch"] >= self.term and session == self.session:
                self.observe_term(decoded["epoch"])
                self.last_answered_at_s = sent_at_s
                self.execute_commands(decoded["orders"])
            return REPORT_S * region.rng.uniform(0.75, 1.25) - 0.5
        manager = json.loads(answer).get("steward") if status == 421 else None
        if manager in region.controller_names and manager != name:
            self.controller_index = region.controller_names.index(manager)
            return 0.0
        self.controller_index = (self.controller_index + 1) % len(region.controller_names)
        return 0.5
