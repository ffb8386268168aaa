"""Freezes and one-way loss, many times, on real processes; what happened is written down.

    python -m tests.detection_trial --faults 60 --seed 1 --out history.jsonl
    python -m tests.detection_trial --faults 60 --seed 1 --out baseline.jsonl --baseline
    python -m tests.detection_report history.jsonl baseline.jsonl --html report.html

Controllers are this checkout's, everything around them stand-ins, all on loopback.
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
KINDS = ("freeze leader", "freeze owner", "one way", "state one way", "kill leader")
STALLS_S = (0.5, 1.5, 2.5, 3.5, 4.5, 6.0, 8.0)
CALM_S = 9.0
_LOGGED = re.compile(r"(moss-\d): (\w+) -> (\w+) \(silent for|(moss-\d): dead, |term (\d+): leader")


class Event(Struct, omit_defaults=True):
    """One line of the history."""

    at_s: float
    kind: str
    who: str = ""
    detail: dict[str, Any] = {}


class Trial:
    """A cluster of processes, its faults, its users, and all that was seen."""

    def __init__(self, seed: int, operator_file: Path, calm_s: float, scale: float) -> None:
        self.rng = random.Random(seed)
        self.world = LoopbackCluster()
        self.world.task_s = 0.4
        self.operator_file, self.calm_s, self.scale = operator_file, calm_s, scale
        self.began = time.monotonic()
        self.events: list[Event] = []
        self.relays: dict[tuple[str, str], Relay] = {}
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self.readers: set[asyncio.Task[None]] = set()
        self.answers: dict[str, list[str]] = {}
        self.accepted: set[str] = set()
        self.folder = Path(tempfile.mkdtemp(prefix="mosswalk-trial-"))
        started, ended = self.world.started, self.world.ended
        self.world.started = self._noted("start", started)  # type: ignore[method-assign]
        self.world.ended = self._noted("end", ended)  # type: ignore[method-assign]

    def note(self, kind: str, who: str = "", **detail: Any) -> None:
        self.events.append(Event(round(time.monotonic() - self.began, 4), kind, who, detail))

    def _noted(self, kind: str, then: Any) -> Any:
        def act(worker: Worker, task: str) -> None:
            self.note(kind, worker.name, task=task)
            then(worker, task)

        return act

    # The controllers.

    async def _relay(self, stack: AsyncExitStack, sender: str, receiver: str, to: str) -> str:
        relay = Relay(sender, receiver, to)
        await relay.start()
        stack.callback(relay.close)
        self.relays[(sender, receiver)] = relay
        return relay.address

    async def _config(self, stack: AsyncExitStack, name: str) -> Path:
        settings = self.world.settings[name]
        receivers = {peer.host_name: peer.address for peer in settings.known}
        receivers["state"] = settings.outside.state
        by_way = {
            receiver: await self._relay(stack, name, receiver, address)
            for receiver, address in receivers.items()
        }
        lines = settings_toml(settings, by_way)
        path = self.folder / f"{name}.toml"
        path.write_text("\n".join(lines) + "\n")
        return path

    async def start_process(self, name: str) -> None:
        self.processes[name] = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "mosswalk",
            "serve",
            "--config",
            str(self.folder / f"{name}.toml"),
            "--operator-config",
            str(self.operator_file),
            cwd=ROOT,
            env={**os.environ, "LOG_LEVEL": "info"},
            stderr=asyncio.subprocess.PIPE,
        )
        reader = asyncio.ensure_future(self._read_log(name, self.processes[name]))
        self.readers.add(reader)

    async def _read_log(self, name: str, process: asyncio.subprocess.Process) -> None:
        assert process.stderr is not None
        with (self.folder / f"{name}.log").open("ab") as kept:
            async for raw in process.stderr:
                kept.write(raw)
                line = raw.decode(errors="replace")
                found = _LOGGED.search(line)
                if found is None:
                    continue
                peer, _, after, dead, term = found.groups()
                if peer is not None:
                    self.note("state", name, peer=peer, after=after)
                elif dead is not None:
                    self.note("verdict", name, peer=dead)
                else:
                    self.note("term", name, term=int(term))

    def term(self) -> records.TermRecord | None:
        row = self.world.state.store.rows.get(records.TERM_KEY)
        return records.decode_term(row[0]) if row is not None else None

    async def until(self, condition: Any, within_s: float = 30.0) -> bool:
        for _ in range(int(within_s / 0.05)):
            if condition():
                return True
            await asyncio.sleep(0.05)
        return False

    # Faults.

    async def _freeze(self, name: str, for_s: float) -> None:
        process = self.processes[name]
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(for_s)
        process.send_signal(signal.SIGCONT)

    async def _lose(self, relay: Relay, way: str, for_s: float) -> None:
        setattr(relay, way, True)
        await asyncio.sleep(for_s)
        setattr(relay, way, False)

    async def _kill(self, name: str, for_s: float) -> None:
        self.processes[name].kill()
        await self.processes[name].wait()
        to_it = [relay for (_, receiver), relay in self.relays.items() if receiver == name]
        for relay in to_it:
            relay.close()
        await asyncio.sleep(for_s)
        for relay in to_it:
            await relay.start()
        await self.start_process(name)

    async def fault(self, kind: str, for_s: float) -> None:
        """One fault, from its begin to calm again."""
        term = self.term()
        assert term is not None
        owners = sorted(set(term.owners.values()) - {term.leader}) or [term.leader]
        who = self.rng.choice(owners) if kind == "freeze owner" else term.leader
        way = self.rng.choice(["loses_requests", "loses_answers"])
        ends = (who, self.rng.choice([n for n in self.processes if n != who]))
        relay = self.relays[
            (who, "state") if "state" in kind else self.rng.choice([ends, ends[::-1]])
        ]
        self.note("fault", who, fault=kind, for_s=for_s, way=way, term=term.term)
        if kind.startswith("freeze"):
            await self._freeze(who, for_s)
        elif kind == "kill leader":
            await self._kill(who, for_s)
        else:
            await self._lose(relay, way, for_s)
        self.note("fault over", who)
        await asyncio.sleep(self.calm_s)
        after = self.term()
        self.note("calm", who, term=after.term if after is not None else 0)

    # Users.

    async def _ask(self, method: str, path: str, body: bytes = b"") -> tuple[int, dict[str, Any]]:
        address = self.rng.choice(list(self.world.addresses.values()))
        try:
            async with self.world.session.request(
                method,
                f"http://{address}{path}",
                data=body,
                timeout=aiohttp.ClientTimeout(total=3.0),
            ) as response:
                return response.status, msgspec.json.decode(await response.read())
        except (aiohttp.ClientError, TimeoutError, OSError, msgspec.DecodeError):
            return 0, {}

    async def _job(self, number: int) -> None:
        job = job_spec(f"j-{number:06d}", tasks=2, team=self.rng.choice(["red", "blue"]))
        body = msgspec.json.encode(job)
        while job.id not in self.accepted:
            status, _ = await self._ask("POST", "/api/jobs", body)
            if status in (200, 201):
                self.accepted.add(job.id)
            else:
                await asyncio.sleep(0.5)
        told = self.answers.setdefault(job.id, [])
        # Asked some times more after its end: it must stay the same.
        while told[-3:] != ["done"] * 3:
            status, answer = await self._ask("GET", f"/api/jobs/{job.id}")
            if status in (200, 404):
                phase = answer.get("phase", "forgotten") if status == 200 else "forgotten"
                if phase in ("done", "withdrawn", "forgotten"):
                    told.append(phase)
                    self.note("answer", job.id, phase=phase)
            await asyncio.sleep(0.3)

    async def users(self, stop: asyncio.Event) -> None:
        """A job each half second until told to stop; then all of them are seen to end."""
        jobs: list[asyncio.Task[None]] = []
        while not stop.is_set():
            jobs.append(asyncio.ensure_future(self._job(len(jobs))))
            await asyncio.sleep(0.5)
        await asyncio.wait_for(asyncio.gather(*jobs), 120)

    # The whole.

    async def run(self, kinds: list[tuple[str, float]], *, detects: bool) -> None:
        async with AsyncExitStack() as stack:
            await self.world.start(stack, start_controllers=False)
            for name in self.world.settings:
                await self._config(stack, name)
                await self.start_process(name)
            stack.push_async_callback(self.stop)
            ready = lambda: (t := self.term()) is not None and t.detects == detects  # noqa: E731
            assert await self.until(lambda: ready() and len(self.term().runs) == 3)  # type: ignore[union-attr]
            await asyncio.sleep(self.calm_s)
            stop = asyncio.Event()
            users = asyncio.ensure_future(self.users(stop))
            for kind, for_s in kinds:
                await self.fault(kind, for_s * self.scale)
            stop.set()
            await users

    async def stop(self) -> None:
        for process in self.processes.values():
            if process.returncode is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                await process.wait()
        await asyncio.gather(*self.readers)

    def check(self) -> None:
        """Exactly one final answer a job, no attempt twice at once, nothing before a verdict."""
        assert self.world.broken == []
        assert self.accepted == self.answers.keys()
        assert all(set(told) == {"done"} for told in self.answers.values())
        TermHistory(self.world.state.store.events).check()

    def write(self, path: Path, *, baseline: bool) -> None:
        terms = TermHistory(self.world.state.store.events)
        with path.open("wb") as out:
            first = Event(0.0, "trial", detail={"baseline": baseline, "jobs": len(self.accepted)})
            for event in (first, *self.events):
                out.write(msgspec.json.encode(event) + b"\n")
            for stamp, term in terms.terms:
                detail = {"revision": stamp, "term": msgspec.to_builtins(term)}
                out.write(msgspec.json.encode(Event(0.0, "term record", detail=detail)) + b"\n")


def draw(seed: int, count: int) -> list[tuple[str, float]]:
    """A seeded list of faults in which each kind and each length comes about equally often."""
    rng = random.Random(seed)
    return [(KINDS[i % len(KINDS)], rng.choice(STALLS_S)) for i in range(count)]


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--faults", type=int, default=60)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--out", type=Path, required=True)
    parser.add_argument("--kind", choices=KINDS, help="faults of this kind alone")
    parser.add_argument("--baseline", action="store_true", help="without failure detection")
    options = parser.parse_args()
    operator_file = ROOT / "deploy" / "detection.hcl"
    if options.baseline:
        operator_file = Path(tempfile.mkdtemp()) / "none.hcl"
        operator_file.write_text("leadership {\n}\n")
    trial = Trial(options.seed, operator_file, CALM_S, 1.0)
    faults = draw(options.seed, options.faults)
    if options.kind is not None:
        faults = [(options.kind, for_s) for _, for_s in faults]
    try:
        asyncio.run(trial.run(faults, detects=not options.baseline))
    finally:
        trial.write(options.out, baseline=options.baseline)
    trial.check()
    print(f"{options.faults} faults, {len(trial.accepted)} jobs: each answered once")


if __name__ == "__main__":
    main()
