"""Compares a report with the records: outcomes of attempts and commands for the worker."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from msgspec import Struct, field

from mosswalk.fleet.inventory import Machine
from mosswalk.jobs.registry import AttemptKey
from mosswalk.jobs.state import Job, parse_task_name, task_name
from mosswalk.store.records import Attempt
from mosswalk.wire.peers import Outcome, OutcomeKind
from mosswalk.wire.workers import Command, Report, TaskReport

# Outcome of an attempt by the cause of its exit; a cause not listed here means refused.
_OUTCOME_BY_CAUSE: dict[str, OutcomeKind] = {
    "done": "done",
    "stopped": "stopped",
    "error": "error",
    "full": "refused",
    "in_use": "refused",
    "no_such": "refused",
    # A task of a gang that ended because of the others: no fault of its machine or job.
    "mates_gone": "stopped",
    "alone": "stopped",
}


class Evaluation(Struct):
    """Commands for the worker, and outcomes for the records."""

    commands: list[Command] = field(default_factory=list)
    outcomes: list[Outcome] = field(default_factory=list)
    # Tasks that the worker reports although no record has them.
    unrecorded: list[TaskReport] = field(default_factory=list)
    live_tasks: int = 0


def kill_commands_for_closed_jobs(report: Report, jobs: Mapping[str, Job]) -> list[Command]:
    """Commands to kill all tasks of a report whose job is not known to be open.

    These are the only commands that a follower may send: such tasks must end whoever leads.
    """
    kills: list[Command] = []
    for task in report.tasks:
        parsed_name = parse_task_name(task.task)
        job = jobs.get(parsed_name[0]) if parsed_name is not None else None
        if task.phase != "exited" and (job is None or not job.open):
            kills.append(Command("kill", task.task, task.attempt, 0.0))
    return kills


def evaluate_report(
    machine: Machine,
    report: Report,
    attempts: Mapping[AttemptKey, Attempt],
    lowest_token: int,
    stop_grace_s: Callable[[str, int, int], float | None],
    is_startable: Callable[[str], bool],
    *,
    may_start: bool,
    is_periodic: bool,
) -> Evaluation:
    """Compare a report with the records.

    ``lowest_token`` is the lowest that this leader uses: a worker that reports it, or a higher one,
    refuses the commands of earlier leaders.
    ``stop_grace_s`` returns the grace period of an attempt that is to be stopped, or None if it is
    to run. ``is_startable`` tells whether the attempts of a job may be started, which is not so for
    a gang that is only partly recorded. ``is_periodic`` is false for the answer to /orders: it may
    have been made before the worker executed the commands in the answer to its last periodic
    report, so tasks that it does not list may be about to start.
    """
    result = Evaluation()
    listed: set[AttemptKey] = set()
    for task in report.tasks:
        parsed_name = parse_task_name(task.task)
        if parsed_name is None:
            continue
        key = (*parsed_name, task.attempt)
        listed.add(key)
        attempt = attempts.get(key)
        if attempt is None:
            result.unrecorded.append(task)
        if task.phase == "exited":
            _evaluate_exit(result, machine, task, attempt, lowest_token)
            continue
        result.live_tasks += 1
        if attempt is None:
            # Without a record, nothing relies on the attempt, and another one may be placed.
            result.commands.append(Command("kill", task.task, task.attempt, 0.0))
            continue
        grace_s = stop_grace_s(*key)
        if grace_s is None:
            continue
        if task.phase == "saving" and grace_s > 0:
            continue
        result.commands.append(Command("kill", task.task, task.attempt, grace_s))
    for key, attempt in attempts.items():
        if key in listed:
            continue
        name = task_name(key[0], key[1])
        if attempt.session < report.session:
            # The worker has begun a new session, so all attempts of earlier ones were killed.
            result.outcomes.append(Outcome(name, key[2], machine.name, "lost"))
        elif attempt.session == report.session:
            if stop_grace_s(*key) is None:
                if may_start and is_startable(key[0]):
                    result.commands.append(Command("run", name, key[2]))
            elif (
                is_periodic
                and report.token >= lowest_token
                and not machine.may_still_start((name, key[2]), lowest_token)
            ):
                # The task does not run and won't start. The worker refuses commands of earlier
                # leaders, and this leader's came in answers that it executed or lost before it made
                # this report, or in requests that it answered.
                result.outcomes.append(Outcome(name, key[2], machine.name, "lost"))
    return result


def _evaluate_exit(
    result: Evaluation,
    machine: Machine,
    task: TaskReport,
    attempt: Attempt | None,
    lowest_token: int,
) -> None:
    """Add the outcome of a task that has exited, or the command to reap it."""
    if attempt is not None:
        kind = _OUTCOME_BY_CAUSE.get(task.cause or "", "refused")
        result.outcomes.append(Outcome(task.task, task.attempt, machine.name, kind))
    elif not machine.may_still_start((task.task, task.attempt), lowest_token):
        # Reaped only once the record shows the outcome, and only if no start command is unanswered:
        # the worker would not remember the attempt and would run it again.
        result.commands.append(Command("reap", task.task, task.attempt))
