"""What a report means: the cases by which ran_twice and ran_cancelled would be broken."""

from hypothesis import given
from hypothesis import strategies as st
from msgspec import structs

from mosswalk.fleet.inventory import Inventory, Machine
from mosswalk.fleet.report_evaluation import evaluate_report, kill_commands_for_closed_jobs
from mosswalk.jobs.state import Job, new_record
from mosswalk.store.records import Attempt
from mosswalk.wire.workers import Report, TaskReport
from tests.fakes import job_spec

KEY = ("j-1", 0, 4)
ATTEMPT = {KEY: Attempt(0, 4, "vm-1", 2, 7)}


def machine():
    made = Machine("vm-1", "small", "a", False, "up", 0, 0)
    made.session, made.term = 2, 7
    return made


def look(tasks=(), attempts=ATTEMPT, tenure=2, epoch=7, stop=None, on=None, **changes):
    report = Report("vm-1", "h:1", "small", "a", tenure, 50, epoch, tasks=tuple(tasks))
    options = {"may_start": True, "is_periodic": True, **changes}
    return evaluate_report(
        on or machine(), report, attempts, 7, lambda *_: stop, lambda _: True, **options
    )


def listed(phase, cause=None, attempt=4):
    return TaskReport("j-1/0", attempt, phase, cause)


def verbs(evaluation):
    return [(o.op, o.task, o.attempt) for o in evaluation.commands]


def test_a_committed_attempt_is_started_until_the_worker_lists_it():
    assert verbs(look()) == [("run", "j-1/0", 4)]
    assert verbs(look(may_start=False)) == []
    assert verbs(look([listed("pulling")])) == []


def test_an_exit_is_told_and_reaped_only_once_the_record_shows_it():
    told = look([listed("exited", "done")])
    assert [o.kind for o in told.outcomes] == ["done"] and verbs(told) == []
    assert verbs(look([listed("exited", "done")], attempts={})) == [("reap", "j-1/0", 4)]


def test_an_exit_is_not_reaped_while_its_start_may_still_arrive():
    late = machine()
    late.unanswered_starts[("j-1/0", 4)] = (7, 2)
    assert verbs(look([listed("exited", "error")], attempts={}, on=late)) == []
    late.unanswered_starts[("j-1/0", 4)] = (6, 2)
    assert verbs(look([listed("exited", "error")], attempts={}, on=late)) != []


def test_a_higher_tenure_is_proof_that_the_attempt_is_gone():
    assert [o.kind for o in look(tenure=3).outcomes] == ["lost"]
    assert verbs(look(tenure=3)) == []


def test_absence_is_proof_only_when_no_order_can_start_the_attempt_any_more():
    assert [o.kind for o in look(stop=0.0).outcomes] == ["lost"]
    # The worker has not seen our epoch: an earlier leader's order may still be carried out.
    assert look(stop=0.0, epoch=6).outcomes == []
    # The answer to /orders may overtake our answer to the worker's report.
    assert look(stop=0.0, is_periodic=False).outcomes == []
    late = machine()
    late.unanswered_starts[("j-1/0", 4)] = (7, 2)
    assert look(stop=0.0, on=late).outcomes == []


def test_what_no_record_knows_is_killed_and_what_is_to_stop_is_stopped():
    assert verbs(look([listed("running", attempt=3)])) == [
        ("kill", "j-1/0", 3),
        ("run", "j-1/0", 4),
    ]
    stopped = look([listed("running")], stop=2.5)
    assert stopped.commands[0].grace_s == 2.5
    assert look([listed("saving")], stop=2.5).commands == []
    assert look([listed("saving")], stop=0.0).commands[0].grace_s == 0.0


@given(
    st.sampled_from(["pulling", "running", "saving", "exited", "absent", "dreaming"]),
    st.sampled_from(["done", "stopped", "error", "full", "in_use", "no_such", "odd", None]),
    st.integers(1, 3),
    st.integers(5, 8),
    st.sampled_from([None, 0.0, 3.0]),
    st.booleans(),
    st.booleans(),
    st.sampled_from([None, (7, 2), (6, 2), (7, 1)]),
)
def test_an_attempt_is_never_both_wanted_and_given_up(
    phase, cause, tenure, epoch, stop, may_start, in_answer, pending
):
    on = machine()
    on.session = tenure
    if pending:
        on.unanswered_starts[("j-1/0", 4)] = pending
    tasks = [] if phase == "absent" else [listed(phase, cause)]
    got = look(
        tasks,
        tenure=tenure,
        epoch=epoch,
        stop=stop,
        on=on,
        may_start=may_start,
        is_periodic=in_answer,
    )
    starts = [o for o in got.commands if o.op == "run"]
    assert not (starts and got.outcomes)
    assert not any(o.op == "reap" for o in got.commands)
    if phase in ("pulling", "running", "saving", "dreaming"):
        assert not got.outcomes and not starts
    if stop is not None or tenure != 2:
        assert not starts
    if any(o.kind == "lost" for o in got.outcomes):
        assert tenure > 2 or (epoch >= 7 and stop is not None and pending != (7, 2))


def test_a_machine_that_is_gone_stays_gone_however_late_the_list_is():
    inventory = Inventory()
    inventory.machines["vm-1"] = machine()
    inventory.remove("vm-1", 0)
    assert inventory.is_gone("vm-1") and "vm-1" not in inventory.machines


def test_an_image_leaves_the_cache_when_the_worker_would_drop_it():
    on = machine()
    for name, size in (("a", 10.0), ("b", 6.0), ("a", 10.0), ("c", 8.0)):
        on.record_image_use(name, size, 20.0)
    assert list(on.cached_images) == ["a", "c"]


def test_one_that_only_keeps_tasks_alive_ends_those_that_may_be_withdrawn():
    """A task withdrawn before the cut would else live on for a lease more with each answer."""
    jobs = {n: open_job(n) for n in ("j-1", "j-2")}
    jobs["j-2"].record = structs.replace(jobs["j-2"].record, phase="withdrawn")
    tasks = [TaskReport(f"j-{i}/0", 1, "running") for i in (1, 2, 3)]
    tasks.append(TaskReport("j-4/0", 1, "exited", "done"))
    report = Report("vm-1", "h:1", "small", "a", 2, 50, 7, tasks=tuple(tasks))
    kills = kill_commands_for_closed_jobs(report, jobs)
    assert [(k.op, k.task, k.grace_s) for k in kills] == [
        ("kill", "j-2/0", 0.0),
        ("kill", "j-3/0", 0.0),
    ]


def open_job(job_id):
    return Job(new_record(job_spec(job_id), 0, 8), 1)
