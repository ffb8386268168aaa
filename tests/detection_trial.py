"""Fault injection trial: freezes, kills and one-way loss on real controller processes.

The faults and what followed them are written to a history file, one JSON object a line.

    python -m tests.detection_trial --faults 60 --seed 1 --out history.jsonl
    python -m tests.detection_trial --faults 60 --seed 1 --out baseline.jsonl --baseline
    python -m tests.detection_report history.jsonl baseline.jsonl --html report.html

The controllers are processes of this checkout. The state service, the cloud and the workers are
the fakes of ``tests.loopback``, and everything runs on loopback.
"""

from __future__ import annotations

import argparse
import asyncio
import os
import random
import re
import signal
import sys
import tempfile
import time
from contextlib import AsyncExitStack
from pathlib import Path
from typing import Any

import aiohttp
import msgspec
from msgspec import Struct

from mosswalk.store import records
from tests.fakes import job_spec
from tests.loopback import LoopbackCluster, Worker, settings_toml
from tests.relay import Relay
from tests.term_history import TermHistory

ROOT = Path(__file__).resolve().parent.parent
FAULT_KINDS = ("freeze leader", "freeze owner", "one way", "state one way", "kill leader")
FAULT_DURATIONS_S = (0.5, 1.5, 2.5, 3.5, 4.5, 6.0, 8.0)
RECOVERY_S = 9.0
_LOG_EVENT = re.compile(
    r"(moss-\d): (\w+) -> (\w+) \(silent for|(moss-\d): dead, |term (\d+): leader"
)


class Event(Struct, omit_defaults=True):
    """One line of the history; the attributes are the names of its fields."""

    at_s: float
    kind: str
    # The controller, machine or job that the event is about.
    who: str = ""
    detail: dict[str, Any] = {}


class Trial:
    """Runs a cluster of processes, injects faults, sends users' requests and records events."""

    def __init__(
        self, seed: int, operator_file: Path, recovery_s: float, time_scale: float
    ) -> None:
        self.rng = random.Random(seed)
        self.cluster = LoopbackCluster()
        self.cluster.task_duration_s = 0.4
        self.operator_file, self.recovery_s, self.time_scale = operator_file, recovery_s, time_scale
        self.started_at_s = time.monotonic()
        self.events: list[Event] = []
        self.relays: dict[tuple[str, str], Relay] = {}
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self.log_readers: set[asyncio.Task[None]] = set()
        self.final_phases: dict[str, list[str]] = {}
        self.accepted_jobs: set[str] = set()
        self.directory = Path(tempfile.mkdtemp(prefix="mosswalk-trial-"))
        on_started, on_ended = self.cluster.on_task_started, self.cluster.on_task_ended
        self.cluster.on_task_started = self._recording_callback("start", on_started)  # type: ignore[method-assign]
        self.cluster.on_task_ended = self._recording_callback("end", on_ended)  # type: ignore[method-assign]

    def record_event(self, kind: str, who: str = "", **detail: Any) -> None:
        self.events.append(Event(round(time.monotonic() - self.started_at_s, 4), kind, who, detail))

    def _recording_callback(self, kind: str, callback: Any) -> Any:
        def record_and_call(worker: Worker, task: str) -> None:
            self.record_event(kind, worker.name, task=task)
            callback(worker, task)

        return record_and_call

    # The controllers.

    async def _start_relay(
        self, stack: AsyncExitStack, sender: str, receiver: str, address: str
    ) -> str:
        relay = Relay(sender, receiver, address)
        await relay.start()
        stack.callback(relay.close)
        self.relays[(sender, receiver)] = relay
        return relay.address

    async def _write_settings(self, stack: AsyncExitStack, name: str) -> Path:
        """Start a relay to each receiver, and write settings that hold the relays' addresses."""
        settings = self.cluster.settings[name]
        receivers = {peer.host_name: peer.address for peer in settings.known}
        receivers["state"] = settings.outside.state
        relay_addresses = {
            receiver: await self._start_relay(stack, name, receiver, address)
            for receiver, address in receivers.items()
        }
        lines = settings_toml(settings, relay_addresses)
        path = self.directory / f"{name}.toml"
        path.write_text("\n".join(lines) + "\n")
        return path

    async def start_process(self, name: str) -> None:
        self.processes[name] = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "mosswalk",
            "serve",
            "--config",
            str(self.directory / f"{name}.toml"),
            "--operator-config",
            str(self.operator_file),
            cwd=ROOT,
            env={**os.environ, "LOG_LEVEL": "info"},
            stderr=asyncio.subprocess.PIPE,
        )
        reader = asyncio.ensure_future(self._record_log_events(name, self.processes[name]))
        self.log_readers.add(reader)

    async def _record_log_events(self, name: str, process: asyncio.subprocess.Process) -> None:
        assert process.stderr is not None
        with (self.directory / f"{name}.log").open("ab") as log_file:
            async for raw in process.stderr:
                log_file.write(raw)
                line = raw.decode(errors="replace")
                match = _LOG_EVENT.search(line)
                if match is None:
                    continue
                peer, _, state, dead_peer, term = match.groups()
                if peer is not None:
                    self.record_event("state", name, peer=peer, after=state)
                elif dead_peer is not None:
                    self.record_event("verdict", name, peer=dead_peer)
                else:
                    self.record_event("term", name, term=int(term))

    def term_record(self) -> records.TermRecord | None:
        row = self.cluster.state_service.store.rows.get(records.TERM_KEY)
        return records.decode_term(row[0]) if row is not None else None

    async def wait_until(self, condition: Any, within_s: float = 30.0) -> bool:
        for _ in range(int(within_s / 0.05)):
            if condition():
                return True
            await asyncio.sleep(0.05)
        return False

    # Faults.

    async def _freeze(self, name: str, duration_s: float) -> None:
        process = self.processes[name]
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(duration_s)
        process.send_signal(signal.SIGCONT)

    async def _lose_traffic(self, relay: Relay, loss_flag: str, duration_s: float) -> None:
        setattr(relay, loss_flag, True)
        await asyncio.sleep(duration_s)
        setattr(relay, loss_flag, False)

    async def _kill_and_restart(self, name: str, duration_s: float) -> None:
        self.processes[name].kill()
        await self.processes[name].wait()
        inbound_relays = [relay for (_, receiver), relay in self.relays.items() if receiver == name]
        for relay in inbound_relays:
            relay.close()
        await asyncio.sleep(duration_s)
        for relay in inbound_relays:
            await relay.start()
        await self.start_process(name)

    async def inject_fault(self, kind: str, duration_s: float) -> None:
        """Inject one fault and wait until it has ended and the recovery time has passed."""
        term = self.term_record()
        assert term is not None
        owners = sorted(set(term.owners.values()) - {term.leader}) or [term.leader]
        target = self.rng.choice(owners) if kind == "freeze owner" else term.leader
        loss_flag = self.rng.choice(["loses_requests", "loses_answers"])
        link = (target, self.rng.choice([n for n in self.processes if n != target]))
        relay = self.relays[
            (target, "state") if "state" in kind else self.rng.choice([link, link[::-1]])
        ]
        self.record_event(
            "fault", target, fault=kind, for_s=duration_s, way=loss_flag, term=term.term
        )
        if kind.startswith("freeze"):
            await self._freeze(target, duration_s)
        elif kind == "kill leader":
            await self._kill_and_restart(target, duration_s)
        else:
            await self._lose_traffic(relay, loss_flag, duration_s)
        self.record_event("fault over", target)
        await asyncio.sleep(self.recovery_s)
        last_term = self.term_record()
        self.record_event("calm", target, term=last_term.term if last_term is not None else 0)

    # Users.

    async def _send_request(
        self, method: str, path: str, body: bytes = b""
    ) -> tuple[int, dict[str, Any]]:
        address = self.rng.choice(list(self.cluster.addresses.values()))
        try:
            async with self.cluster.http_session.request(
                method,
                f"http://{address}{path}",
                data=body,
                timeout=aiohttp.ClientTimeout(total=3.0),
            ) as response:
                return response.status, msgspec.json.decode(await response.read())
        except (aiohttp.ClientError, TimeoutError, OSError, msgspec.DecodeError):
            return 0, {}

    async def _run_job(self, number: int) -> None:
        job = job_spec(f"j-{number:06d}", tasks=2, team=self.rng.choice(["red", "blue"]))
        body = msgspec.json.encode(job)
        while job.id not in self.accepted_jobs:
            status, _ = await self._send_request("POST", "/api/jobs", body)
            if status in (200, 201):
                self.accepted_jobs.add(job.id)
            else:
                await asyncio.sleep(0.5)
        phases = self.final_phases.setdefault(job.id, [])
        # Asked two more times after its end, since the answer must stay the same.
        while phases[-3:] != ["done"] * 3:
            status, answer = await self._send_request("GET", f"/api/jobs/{job.id}")
            if status in (200, 404):
                phase = answer.get("phase", "forgotten") if status == 200 else "forgotten"
                if phase in ("done", "withdrawn", "forgotten"):
                    phases.append(phase)
                    self.record_event("answer", job.id, phase=phase)
            await asyncio.sleep(0.3)

    async def run_users(self, stop: asyncio.Event) -> None:
        """Submit a job each half second until ``stop`` is set, then wait for all of them to end."""
        jobs: list[asyncio.Task[None]] = []
        while not stop.is_set():
            jobs.append(asyncio.ensure_future(self._run_job(len(jobs))))
            await asyncio.sleep(0.5)
        await asyncio.wait_for(asyncio.gather(*jobs), 120)

    # The trial.

    async def run(self, faults: list[tuple[str, float]], *, detection_enabled: bool) -> None:
        async with AsyncExitStack() as stack:
            await self.cluster.start(stack, start_controllers=False)
            for name in self.cluster.settings:
                await self._write_settings(stack, name)
                await self.start_process(name)
            stack.push_async_callback(self.stop)
            ready = lambda: (t := self.term_record()) is not None and t.detects == detection_enabled  # noqa: E731
            assert await self.wait_until(lambda: ready() and len(self.term_record().runs) == 3)  # type: ignore[union-attr]
            await asyncio.sleep(self.recovery_s)
            stop = asyncio.Event()
            users = asyncio.ensure_future(self.run_users(stop))
            for kind, duration_s in faults:
                await self.inject_fault(kind, duration_s * self.time_scale)
            stop.set()
            await users

    async def stop(self) -> None:
        for process in self.processes.values():
            if process.returncode is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                await process.wait()
        await asyncio.gather(*self.log_readers)

    def check(self) -> None:
        """Assert one final answer a job, no task running twice, and no change before a verdict."""
        assert self.cluster.violations == []
        assert self.accepted_jobs == self.final_phases.keys()
        assert all(set(phases) == {"done"} for phases in self.final_phases.values())
        TermHistory(self.cluster.state_service.store.events).check()

    def write_history(self, path: Path, *, baseline: bool) -> None:
        terms = TermHistory(self.cluster.state_service.store.events)
        with path.open("wb") as out:
            header = Event(
                0.0, "trial", detail={"baseline": baseline, "jobs": len(self.accepted_jobs)}
            )
            for event in (header, *self.events):
                out.write(msgspec.json.encode(event) + b"\n")
            for revision, term in terms.terms:
                detail = {"revision": revision, "term": msgspec.to_builtins(term)}
                out.write(msgspec.json.encode(Event(0.0, "term record", detail=detail)) + b"\n")


def draw_faults(seed: int, count: int) -> list[tuple[str, float]]:
    """Draw faults of all kinds in turn, with random durations, from a seed."""
    rng = random.Random(seed)
    return [
        (FAULT_KINDS[i % len(FAULT_KINDS)], rng.choice(FAULT_DURATIONS_S)) for i in range(count)
    ]


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--faults", type=int, default=60)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--out", type=Path, required=True)
    parser.add_argument("--kind", choices=FAULT_KINDS, help="faults of this kind alone")
    parser.add_argument("--baseline", action="store_true", help="without failure detection")
    options = parser.parse_args()
    operator_file = ROOT / "deploy" / "detection.hcl"
    if options.baseline:
        operator_file = Path(tempfile.mkdtemp()) / "none.hcl"
        operator_file.write_text("leadership {\n}\n")
    trial = Trial(options.seed, operator_file, RECOVERY_S, 1.0)
    faults = draw_faults(options.seed, options.faults)
    if options.kind is not None:
        faults = [(options.kind, duration_s) for _, duration_s in faults]
    try:
        asyncio.run(trial.run(faults, detection_enabled=not options.baseline))
    finally:
        trial.write_history(options.out, baseline=options.baseline)
    trial.check()
    print(f"{options.faults} faults, {len(trial.accepted_jobs)} jobs: each answered once")


if __name__ == "__main__":
    main()
