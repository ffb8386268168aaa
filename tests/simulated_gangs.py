"""Gangs as workers run them, by the users' table of phases."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from tests.simulated_services import Worker
    from tests.simulation import Simulation

GANG_WAIT_S = 20.0
GANG_PEER_S = 4.0

Key = tuple[str, int]


@dataclass
class Attempt:
    """One attempt of a gang, as its tasks know it together."""

    ends: float | None = None
    # When the first task was told to stop in good order, and who was told since.
    stopped: float | None = None
    told: set[str] = field(default_factory=set)
    # Since when a task of it has been missing or has hung, while it ran.
    lost: float | None = None
    over: bool = False


class SimulatedGangs:
    """What the tasks of each attempt find out about one another."""

    def __init__(self, region: Simulation) -> None:
        self.region = region
        self.attempts: dict[tuple[str, int], Attempt] = {}

    def of(self, key: Key) -> Attempt:
        return self.attempts.setdefault((key[0].partition("/")[0], key[1]), Attempt())

    def stop(self, worker: Worker, key: Key, grace_s: float) -> None:
        """A task is told to stop."""
        attempt, spec = self.of(key), self.region.spec_of(key[0])
        saves = spec.checkpoint_interval_s > 0 and grace_s >= spec.checkpoint_duration_s
        if attempt.ends is None or not saves:
            worker.end_task(key, "stopped")
            return
        attempt.stopped = attempt.stopped or self.region.now()
        attempt.told.add(key[0])

    def advance(self) -> None:
        """Let every attempt go on."""
        members: dict[tuple[str, int], dict[Key, Worker]] = {}
        for worker in self.region.workers.values():
            for (task, number), row in worker.tasks.items():
                job_id = task.partition("/")[0]
                if self.region.specs[job_id].kind == "group" and row["phase"] in (
                    "gathering",
                    "running",
                ):
                    members.setdefault((job_id, number), {})[(task, number)] = worker
        for (job_id, number), there in members.items():
            self._advance(self.attempts.setdefault((job_id, number), Attempt()), job_id, there)

    def _hangs(self, worker: Worker) -> bool:
        return worker.name in self.region.network.hung_hosts

    def _exit(self, there: dict[Key, Worker], cause: str) -> None:
        for key, worker in there.items():
            if not self._hangs(worker):
                worker.end_task(key, cause)

    def _advance(self, attempt: Attempt, job_id: str, there: dict[Key, Worker]) -> None:
        now, spec = self.region.now(), self.region.specs[job_id]
        whole = len(there) == spec.tasks and not any(self._hangs(w) for w in there.values())
        if attempt.ends is None:
            if whole and not attempt.over:
                self._start(attempt, job_id, there)
                return
            late = {k: w for k, w in there.items() if now >= w.tasks[k]["until"]}
            self._exit(late, "alone")
        elif attempt.stopped is not None:
            self._save(attempt, spec, there, whole)
        elif not whole:
            attempt.lost = attempt.lost or now
            if now - attempt.lost >= GANG_PEER_S:
                self._exit(there, "mates_gone")
        elif now >= attempt.ends:
            attempt.over = True
            self._exit(there, "done")

    def _start(self, attempt: Attempt, job_id: str, there: dict[Key, Worker]) -> None:
        self.region.counts["gangs_started"] += 1
        attempt.ends = self.region.now() + self.region.draw_run_time_s(next(iter(there))[0])
        for key, worker in there.items():
            worker.tasks[key]["phase"] = "running"
            worker.notify_changed()

    def _save(self, attempt: Attempt, spec, there: dict[Key, Worker], whole: bool) -> None:
        now = self.region.now()
        if whole and attempt.told == {task for task, _ in there}:
            if now >= attempt.stopped + spec.checkpoint_duration_s:
                self.region.counts["gangs_saved"] += 1
                self._exit(there, "stopped")
        elif now >= attempt.stopped + max(GANG_PEER_S, spec.checkpoint_duration_s):
            self._exit(there, "mates_gone")
