"""Gangs: their state in the records, and capacity for all tasks of a gang or for none."""

from functools import partial
from types import SimpleNamespace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule
from msgspec import Raw

from mosswalk.config import Team
from mosswalk.fleet.inventory import Inventory, Machine, SentStart
from mosswalk.fleet.report_evaluation import evaluate_report
from mosswalk.fleet.report_intake import next_report_confirms
from mosswalk.fleet.stale_starts import StaleStarts
from mosswalk.fleet.stopping import StopRegistry
from mosswalk.fleet.worker_tokens import WorkerTokens
from mosswalk.jobs.admission import rejection_reason
from mosswalk.jobs.layout import split_records
from mosswalk.jobs.registry import JobRegistry
from mosswalk.jobs.state import Assignment, Draft, Job, Usage, new_record, withdraw_change
from mosswalk.placement.capacity import FreeCapacity
from mosswalk.placement.gangs import capacities_for_gang
from mosswalk.placement.owner import Owner
from mosswalk.placement.preemption import Victim, choose_victims
from mosswalk.placement.queues import QueueOrder, TeamQueue
from mosswalk.store import records
from mosswalk.store.records import Attempt, RecordLimits
from mosswalk.store.writer import Change
from mosswalk.wire.tokens import first_token_of_range
from mosswalk.wire.workers import Command, Report, TaskReport
from tests.fakes import RECORD_LIMITS, FakeClock, job_spec, machine_type
from tests.test_jobs import InMemoryMirror
from tests.test_offers import make_fleet, submit

TASKS = 9
MAX_OPS = 3
# Two tasks per record, and two records besides the header per commit: placing the gang takes two
# commits.
CHUNK_SIZE = 2
SMALL_COMMIT_LIMITS = RecordLimits(16 * 1024, MAX_OPS)
GANG_JOB = job_spec(kind="group", tasks=TASKS)


class GangStateMachine(RuleBasedStateMachine):
    """An owner that records a gang in several commits, and may be replaced between any two."""

    def __init__(self):
        super().__init__()
        self.mirror = InMemoryMirror()
        self.mirror.max_ops = MAX_OPS
        self.registry = JobRegistry(self.mirror)
        self.key = records.job_key(GANG_JOB.id)
        record = new_record(GANG_JOB, 5, CHUNK_SIZE)
        self.mirror.commit(Change({self.key: 0}, {self.key: Raw(records.encode(record))}))
        self.unrecorded = []
        self.highest_number = 0
        self.live = {}
        self.ended_attempts = []
        self.started = set()
        self.done = self.withdrawn = self.lost = False
        self.ended_gangs = []
        self.registry.on_gang_ending.append(self.ended_gangs.append)

    @property
    def job(self):
        return self.registry.jobs.get(GANG_JOB.id)

    def commit(self, draft):
        if draft.has_changes():
            self.mirror.commit(draft.to_change({}))
        if self.job:
            self.live = {a.task: a for a in self.job.live_attempts()}

    @precondition(lambda self: self.job and self.job.open and self.job.pending_count())
    @rule(machines=st.lists(st.sampled_from("pqrs"), min_size=TASKS, max_size=TASKS))
    def place(self, machines):
        assert not self.live
        draft = Draft(self.job, SMALL_COMMIT_LIMITS)
        assignments = [Assignment(i, machine, 1) for i, machine in enumerate(machines)]
        self.unrecorded = draft.place_gang(assignments, 3)
        self.commit(draft)
        numbers = {a.number for a in self.live.values()}
        assert len(numbers) == 1 and numbers.pop() > self.highest_number
        self.highest_number = max(a.number for a in self.live.values())
        self.lost = False

    @precondition(
        lambda self: self.job and self.job.record.gang_phase == "placing" and self.unrecorded
    )
    @rule()
    def record_rest(self):
        draft = Draft(self.job, SMALL_COMMIT_LIMITS)
        self.unrecorded = draft.place_gang(self.unrecorded, 3)
        self.commit(draft)

    @precondition(lambda self: self.job and self.job.record.gang_phase == "placing")
    @rule()
    def replace_owner(self):
        draft = Draft(self.job, SMALL_COMMIT_LIMITS)
        draft.end_gang()
        self.commit(draft)
        self.unrecorded = []
        self.lost = True

    @precondition(lambda self: self.job and self.job.startable)
    @rule()
    def start(self):
        self.started |= {(a.task, a.number) for a in self.job.live_attempts()}

    @precondition(lambda self: self.job and self.live and self.job.record.gang_phase != "placing")
    @rule(data=st.data(), kind=st.sampled_from(["done", "lost", "stopped", "refused"]))
    def end_attempt(self, data, kind):
        attempt = self.live[data.draw(st.sampled_from(sorted(self.live)))]
        if kind == "done" and ((attempt.task, attempt.number) not in self.started or self.lost):
            # No task completes without having run, nor after another one was lost.
            kind = "stopped"
        draft = Draft(self.job, SMALL_COMMIT_LIMITS)
        assert draft.record_outcome(attempt.task, attempt.number, kind)
        assert not draft.record_outcome(attempt.task, attempt.number, "done")
        self.done = self.done or kind == "done"
        self.lost = self.lost or (kind != "done" and not self.done)
        self.ended_attempts.append(attempt)
        self.commit(draft)

    @precondition(lambda self: self.job and self.ended_attempts)
    @rule(data=st.data())
    def late_outcome(self, data):
        attempt = data.draw(st.sampled_from(self.ended_attempts))
        assert not Draft(self.job, SMALL_COMMIT_LIMITS).record_outcome(
            attempt.task, attempt.number, "done"
        )

    @precondition(lambda self: self.job and self.job.open)
    @rule(chance=st.integers(0, 9))
    def withdraw(self, chance):
        if chance == 0:
            self.mirror.commit(withdraw_change(self.job, 1))
            self.withdrawn = True
            self.unrecorded = []

    @precondition(lambda self: self.job and self.job.record.gang_phase != "placing")
    @rule()
    def split_records(self):
        small = RecordLimits(records.max_header_bytes(GANG_JOB) + 3 * 44, MAX_OPS)
        for change in split_records(self.job, small).changes({self.key: self.job.version}, MAX_OPS):
            self.mirror.commit(change)

    @precondition(lambda self: self.job is None)
    @rule()
    def stay_final(self):
        """No other rule applies to a job that is over; the invariant must still hold."""

    @invariant()
    def all_or_none(self):
        job = self.job
        if job is None:
            final = records.decode_final(self.mirror.rows[records.final_key(GANG_JOB.id)][0])
            assert final.phase == ("withdrawn" if self.withdrawn else "done")
            assert self.withdrawn or self.done
            assert not self.registry.gangs and not self.registry.attempts_by_machine
            return
        live = list(job.live_attempts())
        assert len({a.number for a in live}) <= 1
        assert job.record.live_count == len(live)
        # No task may start unless all are recorded, nor after one has ended.
        assert not job.startable or (len(live) == TASKS and not self.lost and not self.done)
        assert job.record.completed() == self.done
        # Either all tasks are pending or none: an ended task waits for the others to end.
        assert job.pending_count() in (0, TASKS)
        assert not job.pending_count() or (not live and not self.done)
        assert (GANG_JOB.id in self.registry.gangs) == bool(live)


GangStateMachine.TestCase.settings = settings(max_examples=120, stateful_step_count=40)
TestGangStateMachine = GangStateMachine.TestCase


def free_capacity(machine="vm-1", zone="a", cpus=4, **options):
    return FreeCapacity(machine, "small", zone, False, 1, cpus * 1000, 0, 16_000, **options)


def make_gang(**changes):
    return Job(new_record(job_spec(**{"kind": "group", "tasks": 4, **changes}), 0, 8), 1)


capacity_lists = st.lists(
    st.builds(free_capacity, st.just("vm"), st.sampled_from("ab"), st.integers(0, 4)), max_size=6
).map(lambda found: [free_capacity(f"vm-{i}", r.zone, r.cpus // 1000) for i, r in enumerate(found)])


# No machines are avoided. With ``spread``, a zone takes at most half of the tasks, rounded up.
@given(capacity_lists, st.integers(1, 8), st.sampled_from([1.0, 2.0]), st.booleans(), st.booleans())
def test_capacity_is_found_for_a_whole_gang_or_not_at_all(
    capacities, tasks, cpus, one_zone, spread
):
    job = make_gang(tasks=tasks, cpus=cpus, one_zone=one_zone, spread=spread)
    before = [r.cpus for r in capacities]
    found = capacities_for_gang(job, capacities, set())
    assert [r.cpus for r in capacities] == before
    max_tasks_per_zone = -(-tasks // 2) if spread else tasks
    max_tasks_by_zone = {z: sum(r.max_tasks(job) for r in capacities if r.zone == z) for z in "ab"}
    if one_zone:
        assert (found is not None) == any(
            min(n, max_tasks_per_zone) >= tasks for n in max_tasks_by_zone.values()
        )
    else:
        assert (found is not None) == (
            sum(min(n, max_tasks_per_zone) for n in max_tasks_by_zone.values()) >= tasks
        )
    if found is not None:
        assert len(found) == tasks
        taken = {r.machine: sum(f is r for f in found) for r in capacities}
        assert all(n <= r.max_tasks(job) for r in capacities for n in [taken[r.machine]])
        assert not one_zone or len({r.zone for r in found}) == 1


def test_queue_places_whole_gangs_within_the_limit_and_skips_those_that_do_not_fit():
    def placed(team, jobs, capacities, usage=None):
        queue = TeamQueue(team, jobs, usage or Usage(), {}, {}, {}, QueueOrder(()), 0)
        return [
            (p.job.id, len(p.task_capacities()))
            for p in iter(lambda: queue.place_next(capacities), None)
        ]

    big, small = make_gang(id="j-000001", tasks=6), make_gang(id="j-000002", tasks=4)
    assert placed(Team("red"), [big, small], [free_capacity()]) == [("j-000002", 4)]
    assert placed(Team("red"), [big, small], [free_capacity(), free_capacity("vm-2")]) == [
        ("j-000001", 6)
    ]
    assert placed(
        Team("red", cpus_max=5.0), [big, small], [free_capacity(), free_capacity("vm-2")]
    ) == [("j-000002", 4)]
    assert placed(Team("red", cpus_max=7.0), [small], [free_capacity()], Usage(4000)) == []


def test_preemption_frees_capacity_for_a_whole_gang_or_stops_nothing():
    idle = Job(new_record(job_spec("j-000009", priority="idle", cpus=2.0), 0, 8), 1)
    running = {
        machine: [Victim(idle, Attempt(i, 1, machine, 1, 1)) for i in (2 * n, 2 * n + 1)]
        for n, machine in enumerate(("vm-1", "vm-2"))
    }
    capacities = [free_capacity("vm-1", cpus=0), free_capacity("vm-2", cpus=0)]

    def victims(tasks, one_zone=False):
        job = make_gang(id="j-000001", priority="high", tasks=tasks, cpus=2.0, one_zone=one_zone)
        return choose_victims([(job, tasks)], capacities, running, {"red": Team("red")}, {}, {}, 16)

    assert len(victims(3)) == 3 and len(victims(4, one_zone=True)) == 4
    assert victims(5) == []


def test_partly_recorded_gang_is_not_started_and_exits_due_to_other_tasks_are_not_failures():
    machine = Machine("vm-1", "small", "a", False, "up", 0, 0, session=1)
    attempts = {("j-1", 0, 4): Attempt(0, 4, "vm-1", 1, 7)}

    def evaluate(startable, *tasks, stop=None):
        report = Report("vm-1", "x", "small", "a", 1, 1, 7, tasks=tasks)
        return evaluate_report(
            machine,
            report,
            attempts,
            7,
            lambda *_: stop,
            lambda _: startable,
            may_start=True,
            is_periodic=True,
        )

    assert evaluate(False).commands == [] and evaluate(False).outcomes == []
    assert [command.op for command in evaluate(True).commands] == ["run"]
    for cause in ("mates_gone", "alone"):
        outcomes = evaluate(True, TaskReport("j-1/0", 4, "exited", cause)).outcomes
        assert [outcome.kind for outcome in outcomes] == ["stopped"]
    assert evaluate(True, TaskReport("j-1/0", 4, "gathering")).commands == []


def test_only_gangs_that_can_never_run_are_rejected():
    types = (machine_type("small"), machine_type("big", cpus=16.0, zones=("b",)))
    teams = {"red": Team("red", cpus_max=8.0)}

    def rejection(**changes):
        return rejection_reason(job_spec(**{"kind": "group", **changes}), types, teams)

    assert rejection(tasks=8) is None and rejection(tasks=9)
    assert rejection(tasks=1, cpus=9.0) and rejection(zone="c") and rejection(types=("none",))
    assert rejection(tasks=2, one_zone=True) is None
    assert rejection(tasks=2, one_zone=True, spread=True)
    assert rejection(tasks=2, spread=True) is None
    assert rejection(tasks=2, spread=True, zone="a") and rejection(
        tasks=2, spread=True, types=("big",)
    )
    assert rejection(tasks=1, spread=True, zone="a") is None


def _make_owner(tmp_path, tasks):
    """An owner with one gang, two tasks per record, and the objects around it."""
    _, mirror, registry, inventory, clock, settings = make_fleet(tmp_path, 4)
    mirror.max_ops = MAX_OPS
    job = job_spec(kind="group", tasks=tasks)
    key = records.job_key(job.id)
    mirror.commit(Change({key: 0}, {key: Raw(records.encode(new_record(job, 5, CHUNK_SIZE)))}))
    leadership = SimpleNamespace(owns=lambda team: True, gangs_allowed=lambda: True)
    return (
        Owner(settings, mirror, registry, None, leadership, clock),
        mirror,
        registry,
        inventory,
        settings,
    )


def test_owner_ends_a_gang_attempt_that_another_owner_recorded_only_in_part(tmp_path):
    owner, mirror, registry, _, _ = _make_owner(tmp_path, 8)
    draft = Draft(registry.jobs["j-000001"], SMALL_COMMIT_LIMITS)
    unrecorded = draft.place_gang([Assignment(i, "vm-0000", 1) for i in range(8)], 1)
    assert unrecorded
    mirror.commit(draft.to_change({}))
    drafts = {}
    owner._end_partly_placed_gangs(drafts)
    mirror.commit(drafts["j-000001"].to_change({}))
    assert registry.jobs["j-000001"].gang_ending and not registry.jobs["j-000001"].startable


def test_ending_gang_is_killed_except_tasks_that_save_a_checkpoint(tmp_path):
    _, mirror, registry, inventory, settings = _make_owner(tmp_path, 2)
    draft = Draft(registry.jobs["j-000001"], SMALL_COMMIT_LIMITS)
    draft.place_gang([Assignment(0, "vm-0000", 1), Assignment(1, "vm-0001", 1)], 1)
    mirror.commit(draft.to_change({}))
    sent = []
    clock = FakeClock()
    stop_registry = StopRegistry(
        settings,
        inventory,
        registry,
        lambda machine, command: sent.append((machine.name, command.grace_s)),
        lambda _: False,
        clock,
    )
    for machine in inventory.machines.values():
        machine.session = 1
    first_machine, second_machine = inventory.machines["vm-0000"], inventory.machines["vm-0001"]
    registry.on_gang_ending.append(stop_registry.kill_gang)
    assert stop_registry.grace_s(first_machine, ("j-000001", 0, 1)) is None
    stop_registry.stop(
        registry.jobs["j-000001"], next(iter(registry.jobs["j-000001"].live_attempts())), 6.0
    )
    draft = Draft(registry.jobs["j-000001"], SMALL_COMMIT_LIMITS)
    draft.end_gang()
    mirror.commit(draft.to_change({}))
    assert stop_registry.grace_s(first_machine, ("j-000001", 0, 1)) == 6.0
    assert stop_registry.grace_s(second_machine, ("j-000001", 1, 1)) == 0.0
    assert sent == [("vm-0000", 6.0), ("vm-0001", 0.0)]
    clock.us += 60_000_000
    assert stop_registry.grace_s(first_machine, ("j-000001", 0, 1)) == 0.0


def test_spot_notice_checkpoints_the_whole_gang_or_none_of_it(tmp_path):
    _, mirror, registry, _, clock, settings = make_fleet(tmp_path, 3)
    inventory = Inventory()
    for i in range(3):
        inventory.machines[f"vm-{i}"] = Machine(
            f"vm-{i}", "small", "a", True, "up", 0, 0, session=1
        )
    submit(mirror, kind="group", tasks=2, checkpoint_interval_s=20.0, checkpoint_duration_s=3.0)
    draft = Draft(registry.jobs["j-000001"], RECORD_LIMITS)
    draft.place_gang([Assignment(0, "vm-0", 1), Assignment(1, "vm-1", 1)], 1)
    mirror.commit(draft.to_change({}))
    stop_registry = StopRegistry(
        settings, inventory, registry, lambda *_: None, lambda _: False, clock
    )
    assert list(stop_registry.gangs_to_checkpoint()) == []
    inventory.machines["vm-0"].spot_notice_until_us = clock.us + 10_000_000
    # A single task of a gang on a machine under notice is not told to save a checkpoint.
    assert stop_registry.grace_s(inventory.machines["vm-0"], ("j-000001", 0, 1)) is None
    inventory.machines["vm-1"].not_receiving_since_us = clock.us
    assert list(stop_registry.gangs_to_checkpoint()) == []
    inventory.machines["vm-1"].not_receiving_since_us = None
    (job,) = stop_registry.gangs_to_checkpoint()
    stop_registry.stop_gang(job)
    assert [
        stop_registry.grace_s(inventory.machines[f"vm-{i}"], ("j-000001", i, 1)) for i in (0, 1)
    ] == [
        3.0,
        3.0,
    ]
    assert list(stop_registry.gangs_to_checkpoint()) == []


def test_next_report_does_not_confirm_that_a_gang_task_is_being_stopped(tmp_path):
    """A gang's task that is being stopped may be reported as running until all have exited.

    Its machine must not be taken for one that receives no commands.
    """
    _, _, registry, _, _ = _make_owner(tmp_path, 2)
    confirms = partial(next_report_confirms, registry)
    assert confirms(Command("run", "j-000001/0", 1)) and confirms(Command("reap", "j-000001/0", 1))
    assert not confirms(Command("kill", "j-000001/0", 1, 3.0))
    assert confirms(Command("kill", "j-000002/0", 1, 3.0))


@pytest.mark.parametrize("ranged", [False, True])
def test_unanswered_start_of_an_ending_gang_requests_a_new_term(tmp_path, ranged):
    """A start command without an answer may still arrive while its gang ends.

    A higher token makes its worker refuse it after 5 s: a new term's where a term has only one.
    """
    _, mirror, registry, inventory, _ = _make_owner(tmp_path, 2)
    draft = Draft(registry.jobs["j-000001"], SMALL_COMMIT_LIMITS)
    draft.place_gang([Assignment(0, "vm-0000", 1), Assignment(1, "vm-0001", 1)], 1)
    mirror.commit(draft.to_change({}))
    clock, requested, probed = FakeClock(), [], []
    first_token = first_token_of_range(1) if ranged else 1
    leadership = SimpleNamespace(
        first_token=lambda: first_token,
        has_token_range=lambda: ranged,
        request_new_term=lambda: requested.append(True),
    )
    tokens, sender = WorkerTokens(leadership), SimpleNamespace(probe=probed.append)
    stale_starts = StaleStarts(inventory, registry, leadership, tokens, sender, clock)
    inventory.machines["vm-0000"].session = 1
    # Attempt 1 of the task, with the token and the worker's session that its start was sent in.
    machine = inventory.machines["vm-0000"]
    machine.unanswered_starts = {("j-000001/0", 1): SentStart(first_token, 1)}
    machine.started_with_token = first_token
    for ending in (False, True):
        if ending:
            draft = Draft(registry.jobs["j-000001"], SMALL_COMMIT_LIMITS)
            draft.end_gang()
            mirror.commit(draft.to_change({}))
        stale_starts.check()
        clock.us += 6_000_000
        stale_starts.check()
        assert bool(requested) == (ending and not ranged)
        assert probed == ([machine] if ending and ranged else [])
        assert tokens.current(machine) == first_token + len(probed)
    # Until the worker shows that it has seen the token, the start may still be carried out.
    assert machine.may_still_start(("j-000001/0", 1), tokens.lowest())
    machine.token = tokens.current(machine)
    assert machine.may_still_start(("j-000001/0", 1), tokens.lowest()) != ranged
