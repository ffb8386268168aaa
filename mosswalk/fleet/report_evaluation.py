"""What a report means for the records, and what to order in answer: pure decisions."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from msgspec import Struct, field

from mosswalk.fleet.inventory import Machine
from mosswalk.jobs.registry import AttemptKey
from mosswalk.jobs.state import Job, parse_task_name, task_name
from mosswalk.store.records import Attempt
from mosswalk.wire.peers import Outcome, OutcomeKind
from mosswalk.wire.workers import Command, Report

_OUTCOME_BY_CAUSE: dict[str, OutcomeKind] = {
    "done": "done",
    "stopped": "stopped",
    "error": "error",
    "full": "refused",
    "in_use": "refused",
    "no_such": "refused",
    # A gang's task that ended because of the others: not its machine's fault, nor its job's.
    "mates_gone": "stopped",
    "alone": "stopped",
}


class Evaluation(Struct):
    """Orders for the worker, and outcomes for the records."""

    commands: list[Command] = field(default_factory=list)
    outcomes: list[Outcome] = field(default_factory=list)
    live_tasks: int = 0


def kill_commands_for_closed_jobs(report: Report, jobs: Mapping[str, Job]) -> list[Command]:
    """Orders to end all tasks of a report whose job is not known to be open.

    All that may be ordered by one that does not lead: ending such a task is right whoever leads.
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
    term: int,
    stop_grace_s: Callable[[str, int, int], float | None],
    is_startable: Callable[[str], bool],
    *,
    may_start: bool,
    is_periodic: bool,
) -> Evaluation:
    """Compare a report with the records.

    ``stop_grace`` gives the grace with which an attempt is to be stopped, or None if it is to
    run. ``startable`` tells whether a job's attempts may be started: not those of a gang that is
    not recorded whole. ``in_answer`` is false for the answer to /orders: such a report may have
    been made before the worker carried out our last answer to its own report, so what it does
    not list may be about to start.
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
        if task.phase == "exited":
            if attempt is not None:
                kind = _OUTCOME_BY_CAUSE.get(task.cause or "", "refused")
                result.outcomes.append(Outcome(task.task, task.attempt, machine.name, kind))
            elif not machine.may_still_start((task.task, task.attempt), term):
                # Reaped only once the record shows the outcome, and only if no start of ours
                # is still on the way: the worker would know nothing and run it once more.
                result.commands.append(Command("reap", task.task, task.attempt))
            continue
        result.live_tasks += 1
        if attempt is None:
            # No record of it: nothing may count on it, and another attempt may be placed.
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
            # The session it was started in is over, and everything in it was killed.
            result.outcomes.append(Outcome(name, key[2], machine.name, "lost"))
        elif attempt.session == report.session:
            if stop_grace_s(*key) is None:
                if may_start and is_startable(key[0]):
                    result.commands.append(Command("run", name, key[2]))
            elif (
                is_periodic
                and report.term >= term
                and not machine.may_still_start((name, key[2]), term)
            ):
                # Not there, no order of an earlier epoch can start it any more, ours came in
                # answers that were carried out or dropped before this report was made.
                result.outcomes.append(Outcome(name, key[2], machine.name, "lost"))
    return result
