"""Evaluation of workers' reports: cases that could break the rules ran_twice and ran_cancelled."""

from hypothesis import given
from hypothesis import strategies as st
from msgspec import structs

from mosswalk.fleet.inventory import Inventory, Machine, SentStart
from mosswalk.fleet.report_evaluation import evaluate_report, kill_commands_for_closed_jobs
from mosswalk.jobs.state import Job, new_record
from mosswalk.store.records import Attempt
from mosswalk.wire.workers import Report, TaskReport
from tests.fakes import job_spec

KEY = ("j-1", 0, 4)
ATTEMPTS = {KEY: Attempt(0, 4, "vm-1", 2, 7)}


def make_machine():
    machine = Machine("vm-1", "small", "a", False, "up", 0, 0)
    machine.session, machine.token = 2, 7
    return machine


def evaluate(
    tasks=(), attempts=ATTEMPTS, session=2, term=7, stop_grace_s=None, machine=None, **options
):
    """Evaluates a report in term 7; by default a periodic one, and tasks may be started.

    ``options`` override those of ``evaluate_report``. Attempts of every job are startable.
    """
    report = Report("vm-1", "h:1", "small", "a", session, 50, term, tasks=tuple(tasks))
    options = {"may_start": True, "is_periodic": True, **options}
    return evaluate_report(
        machine or make_machine(),
        report,
        attempts,
        7,
        stop_grace_s=lambda *_: stop_grace_s,
        is_startable=lambda _: True,
        **options,
    )


def task_report(phase, cause=None, attempt=4):
    return TaskReport("j-1/0", attempt, phase, cause)


def commands(evaluation):
    return [(o.op, o.task, o.attempt) for o in evaluation.commands]


def test_recorded_attempt_is_started_until_the_worker_lists_it():
    assert commands(evaluate()) == [("run", "j-1/0", 4)]
    assert commands(evaluate(may_start=False)) == []
    assert commands(evaluate([task_report("pulling")])) == []


def test_exit_gives_an_outcome_and_is_reaped_only_once_the_record_shows_it():
    evaluation = evaluate([task_report("exited", "done")])
    assert [o.kind for o in evaluation.outcomes] == ["done"] and commands(evaluation) == []
    assert commands(evaluate([task_report("exited", "done")], attempts={})) == [
        ("reap", "j-1/0", 4)
    ]


def test_exit_is_not_reaped_while_its_start_may_still_arrive():
    machine = make_machine()
    machine.unanswered_starts[("j-1/0", 4)] = SentStart(7, 2)
    assert commands(evaluate([task_report("exited", "error")], attempts={}, machine=machine)) == []
    machine.unanswered_starts[("j-1/0", 4)] = SentStart(6, 2)
    assert commands(evaluate([task_report("exited", "error")], attempts={}, machine=machine)) != []


def test_higher_session_proves_that_the_attempt_is_terminated():
    assert [o.kind for o in evaluate(session=3).outcomes] == ["lost"]
    assert commands(evaluate(session=3)) == []


def test_unlisted_attempt_is_lost_only_if_no_command_can_still_start_it():
    assert [o.kind for o in evaluate(stop_grace_s=0.0).outcomes] == ["lost"]
    # The worker has not seen the leader's term: an earlier leader's command may still be executed.
    assert evaluate(stop_grace_s=0.0, term=6).outcomes == []
    # The answer to /orders may overtake the leader's answer to the worker's periodic report.
    assert evaluate(stop_grace_s=0.0, is_periodic=False).outcomes == []
    machine = make_machine()
    machine.unanswered_starts[("j-1/0", 4)] = SentStart(7, 2)
    assert evaluate(stop_grace_s=0.0, machine=machine).outcomes == []


def test_unrecorded_attempts_are_killed_and_stopped_ones_get_their_grace_period():
    assert commands(evaluate([task_report("running", attempt=3)])) == [
        ("kill", "j-1/0", 3),
        ("run", "j-1/0", 4),
    ]
    stopped = evaluate([task_report("running")], stop_grace_s=2.5)
    assert stopped.commands[0].grace_s == 2.5
    assert evaluate([task_report("saving")], stop_grace_s=2.5).commands == []
    assert evaluate([task_report("saving")], stop_grace_s=0.0).commands[0].grace_s == 0.0


@given(
    st.sampled_from(["pulling", "running", "saving", "exited", "absent", "dreaming"]),
    st.sampled_from(["done", "stopped", "error", "full", "in_use", "no_such", "odd", None]),
    st.integers(1, 3),
    st.integers(5, 8),
    st.sampled_from([None, 0.0, 3.0]),
    st.booleans(),
    st.booleans(),
    st.sampled_from([None, SentStart(7, 2), SentStart(6, 2), SentStart(7, 1)]),
)
def test_attempt_is_never_both_started_and_reported_as_ended(
    phase, cause, session, term, stop_grace_s, may_start, is_periodic, unanswered_start
):
    machine = make_machine()
    machine.session = session
    if unanswered_start:
        machine.unanswered_starts[("j-1/0", 4)] = unanswered_start
    tasks = [] if phase == "absent" else [task_report(phase, cause)]
    evaluation = evaluate(
        tasks,
        session=session,
        term=term,
        stop_grace_s=stop_grace_s,
        machine=machine,
        may_start=may_start,
        is_periodic=is_periodic,
    )
    starts = [o for o in evaluation.commands if o.op == "run"]
    assert not (starts and evaluation.outcomes)
    assert not any(o.op == "reap" for o in evaluation.commands)
    if phase in ("pulling", "running", "saving", "dreaming"):
        assert not evaluation.outcomes and not starts
    if stop_grace_s is not None or session != 2:
        assert not starts
    if any(o.kind == "lost" for o in evaluation.outcomes):
        assert session > 2 or (
            term >= 7 and stop_grace_s is not None and unanswered_start != SentStart(7, 2)
        )


def test_removed_machine_is_remembered_as_gone():
    """A late machine list may still name it."""
    inventory = Inventory()
    inventory.machines["vm-1"] = make_machine()
    inventory.remove("vm-1", 0)
    assert inventory.is_gone("vm-1") and "vm-1" not in inventory.machines


def test_image_is_evicted_from_the_cache_when_the_worker_would_evict_it():
    machine = make_machine()
    for name, size in (("a", 10.0), ("b", 6.0), ("a", 10.0), ("c", 8.0)):
        machine.record_image_use(name, size, 20.0)
    assert list(machine.cached_images) == ["a", "c"]


def test_follower_kills_tasks_of_jobs_that_it_does_not_know_to_be_open():
    """Otherwise each of its answers would extend a withdrawn task's life by another lease.

    A controller that does not lead keeps tasks alive during a partition; the job may have been
    withdrawn before it.
    """
    jobs = {n: make_open_job(n) for n in ("j-1", "j-2")}
    jobs["j-2"].record = structs.replace(jobs["j-2"].record, phase="withdrawn")
    tasks = [TaskReport(f"j-{i}/0", 1, "running") for i in (1, 2, 3)]
    tasks.append(TaskReport("j-4/0", 1, "exited", "done"))
    report = Report("vm-1", "h:1", "small", "a", 2, 50, 7, tasks=tuple(tasks))
    kills = kill_commands_for_closed_jobs(report, jobs)
    assert [(k.op, k.task, k.grace_s) for k in kills] == [
        ("kill", "j-2/0", 0.0),
        ("kill", "j-3/0", 0.0),
    ]


def make_open_job(job_id):
    return Job(new_record(job_spec(job_id), 0, 8), 1)
