"""How workers run gangs: the phases that the users' documentation specifies."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from tests.simulated_services import Worker
    from tests.simulation import Simulation

GANG_WAIT_S = 20.0
GANG_PEER_S = 4.0

# A task's name and the number of its attempt.
AttemptKey = tuple[str, int]


@dataclass
class GangAttempt:
    """One attempt of a gang: the state that its tasks share."""

    ends_at_s: float | None = None
    # When the first task was told to checkpoint and stop, and which tasks have been told.
    stop_requested_at_s: float | None = None
    tasks_told_to_stop: set[str] = field(default_factory=set)
    # Since when a task of the running attempt has been missing or hung.
    incomplete_since_s: float | None = None
    finished: bool = False


class SimulatedGangs:
    """Runs the tasks of each gang attempt together."""

    def __init__(self, region: Simulation) -> None:
        self.region = region
        # By job id and the number of the attempt.
        self.attempts: dict[tuple[str, int], GangAttempt] = {}

    def attempt_of(self, key: AttemptKey) -> GangAttempt:
        return self.attempts.setdefault((key[0].partition("/")[0], key[1]), GangAttempt())

    def stop(self, worker: Worker, key: AttemptKey, grace_s: float) -> None:
        """Stop a task; a running gang first takes a checkpoint, if the grace period allows it."""
        attempt, spec = self.attempt_of(key), self.region.spec_of(key[0])
        can_checkpoint = spec.checkpoint_interval_s > 0 and grace_s >= spec.checkpoint_duration_s
        if attempt.ends_at_s is None or not can_checkpoint:
            worker.end_task(key, "stopped")
            return
        attempt.stop_requested_at_s = attempt.stop_requested_at_s or self.region.now()
        attempt.tasks_told_to_stop.add(key[0])

    def advance(self) -> None:
        """Advance every attempt to the current time."""
        members_by_attempt: dict[tuple[str, int], dict[AttemptKey, Worker]] = {}
        for worker in self.region.workers.values():
            for (task, number), row in worker.tasks.items():
                job_id = task.partition("/")[0]
                if self.region.specs[job_id].kind == "group" and row["phase"] in (
                    "gathering",
                    "running",
                ):
                    members_by_attempt.setdefault((job_id, number), {})[(task, number)] = worker
        for (job_id, number), members in members_by_attempt.items():
            self._advance_attempt(
                self.attempts.setdefault((job_id, number), GangAttempt()), job_id, members
            )

    def _hangs(self, worker: Worker) -> bool:
        return worker.name in self.region.network.hung_hosts

    def _end_members(self, members: dict[AttemptKey, Worker], cause: str) -> None:
        for key, worker in members.items():
            if not self._hangs(worker):
                worker.end_task(key, cause)

    def _advance_attempt(
        self, attempt: GangAttempt, job_id: str, members: dict[AttemptKey, Worker]
    ) -> None:
        now, spec = self.region.now(), self.region.specs[job_id]
        is_complete = len(members) == spec.tasks and not any(
            self._hangs(w) for w in members.values()
        )
        if attempt.ends_at_s is None:
            if is_complete and not attempt.finished:
                self._start(attempt, job_id, members)
                return
            timed_out = {k: w for k, w in members.items() if now >= w.tasks[k]["until"]}
            # "alone": the other tasks did not all arrive in time, so the attempt never started.
            self._end_members(timed_out, "alone")
        elif attempt.stop_requested_at_s is not None:
            self._checkpoint(attempt, spec, members, is_complete)
        elif not is_complete:
            # Counted from the first time that a task is missing or hung, and not reset if the gang
            # is complete again. "mates_gone": others of the running attempt are missing or hung.
            attempt.incomplete_since_s = attempt.incomplete_since_s or now
            if now - attempt.incomplete_since_s >= GANG_PEER_S:
                self._end_members(members, "mates_gone")
        elif now >= attempt.ends_at_s:
            attempt.finished = True
            self._end_members(members, "done")

    def _start(self, attempt: GangAttempt, job_id: str, members: dict[AttemptKey, Worker]) -> None:
        self.region.counts["gangs_started"] += 1
        attempt.ends_at_s = self.region.now() + self.region.draw_run_time_s(next(iter(members))[0])
        for key, worker in members.items():
            worker.tasks[key]["phase"] = "running"
            worker.notify_changed()

    def _checkpoint(
        self, attempt: GangAttempt, spec, members: dict[AttemptKey, Worker], is_complete: bool
    ) -> None:
        now = self.region.now()
        if is_complete and attempt.tasks_told_to_stop == {task for task, _ in members}:
            if now >= attempt.stop_requested_at_s + spec.checkpoint_duration_s:
                self.region.counts["gangs_saved"] += 1
                self._end_members(members, "stopped")
        elif now >= attempt.stop_requested_at_s + max(GANG_PEER_S, spec.checkpoint_duration_s):
            self._end_members(members, "mates_gone")
