"""A gang's life in the records, and its room: all of it or none."""

from functools import partial
from types import SimpleNamespace

from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule
from msgspec import Raw

from mosswalk.config import Team
from mosswalk.fleet.inventory import Inventory, Machine
from mosswalk.fleet.report_evaluation import evaluate_report
from mosswalk.fleet.report_intake import next_report_confirms
from mosswalk.fleet.stale_starts import StaleStarts
from mosswalk.fleet.stopping import StopRegistry
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
from mosswalk.wire.workers import Command, Report, TaskReport
from tests.fakes import RECORD_LIMITS, FakeClock, job_spec, machine_type
from tests.test_jobs import InMemoryMirror
from tests.test_offers import make_fleet, submit

TASKS = 9
OPS = 3
# Two tasks a record and two records besides the header a commit: placing takes two commits.
CHUNK = 2
FEW = RecordLimits(16 * 1024, OPS)
GANG_JOB = job_spec(kind="group", tasks=TASKS)


class GangMachine(RuleBasedStateMachine):
    """An owner that places in parts and may be replaced between any two commits."""

    def __init__(self):
        super().__init__()
        self.mirror = InMemoryMirror()
        self.mirror.max_ops = OPS
        self.registry = JobRegistry(self.mirror)
        self.key = records.job_key(GANG_JOB.id)
        record = new_record(GANG_JOB, 5, CHUNK)
        self.mirror.commit(Change({self.key: 0}, {self.key: Raw(records.encode(record))}))
        self.unwritten = []
        self.highest = 0
        self.live = {}
        self.old = []
        self.started = set()
        self.done = self.withdrawn = self.lost = False
        self.ended = []
        self.registry.on_gang_ending.append(self.ended.append)

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
        draft = Draft(self.job, FEW)
        places = [Assignment(i, machine, 1) for i, machine in enumerate(machines)]
        self.unwritten = draft.place_gang(places, 3)
        self.commit(draft)
        numbers = {a.number for a in self.live.values()}
        assert len(numbers) == 1 and numbers.pop() > self.highest
        self.highest = max(a.number for a in self.live.values())
        self.lost = False

    @precondition(
        lambda self: self.job and self.job.record.gang_phase == "placing" and self.unwritten
    )
    @rule()
    def write_more(self):
        draft = Draft(self.job, FEW)
        self.unwritten = draft.place_gang(self.unwritten, 3)
        self.commit(draft)

    @precondition(lambda self: self.job and self.job.record.gang_phase == "placing")
    @rule()
    def another_owner_takes_over(self):
        draft = Draft(self.job, FEW)
        draft.end_gang()
        self.commit(draft)
        self.unwritten = []
        self.lost = True

    @precondition(lambda self: self.job and self.job.startable)
    @rule()
    def start(self):
        self.started |= {(a.task, a.number) for a in self.job.live_attempts()}

    @precondition(lambda self: self.job and self.live and self.job.record.gang_phase != "placing")
    @rule(data=st.data(), kind=st.sampled_from(["done", "lost", "stopped", "refused"]))
    def settle(self, data, kind):
        attempt = self.live[data.draw(st.sampled_from(sorted(self.live)))]
        if kind == "done" and ((attempt.task, attempt.number) not in self.started or self.lost):
            # Nobody is done without having run, nor once another one is lost.
            kind = "stopped"
        draft = Draft(self.job, FEW)
        assert draft.record_outcome(attempt.task, attempt.number, kind)
        assert not draft.record_outcome(attempt.task, attempt.number, "done")
        self.done = self.done or kind == "done"
        self.lost = self.lost or (kind != "done" and not self.done)
        self.old.append(attempt)
        self.commit(draft)

    @precondition(lambda self: self.job and self.old)
    @rule(data=st.data())
    def late_outcome(self, data):
        attempt = data.draw(st.sampled_from(self.old))
        assert not Draft(self.job, FEW).record_outcome(attempt.task, attempt.number, "done")

    @precondition(lambda self: self.job and self.job.open)
    @rule(chance=st.integers(0, 9))
    def withdraw(self, chance):
        if chance == 0:
            self.mirror.commit(withdraw_change(self.job, 1))
            self.withdrawn = True
            self.unwritten = []

    @precondition(lambda self: self.job and self.job.record.gang_phase != "placing")
    @rule()
    def split_records(self):
        small = RecordLimits(records.max_header_bytes(GANG_JOB) + 3 * 44, OPS)
        for change in split_records(self.job, small).changes({self.key: self.job.version}, OPS):
            self.mirror.commit(change)

    @precondition(lambda self: self.job is None)
    @rule()
    def stay_over(self):
        """Nothing more can happen to a job that is over; the invariant still holds."""

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
        # Nothing starts unless all are there, nor once one is gone.
        assert not job.startable or (len(live) == TASKS and not self.lost and not self.done)
        assert job.record.completed() == self.done
        # All are placed, or none: a task that is gone waits for the others.
        assert job.pending_count() in (0, TASKS)
        assert not job.pending_count() or (not live and not self.done)
        assert (GANG_JOB.id in self.registry.gangs) == bool(live)


GangMachine.TestCase.settings = settings(max_examples=120, stateful_step_count=40)
TestGangMachine = GangMachine.TestCase


def room(machine="vm-1", zone="a", cpus=4, **options):
    return FreeCapacity(machine, "small", zone, False, 1, cpus * 1000, 0, 16_000, **options)


def gang(**changes):
    return Job(new_record(job_spec(**{"kind": "group", "tasks": 4, **changes}), 0, 8), 1)


rooms = st.lists(
    st.builds(room, st.just("vm"), st.sampled_from("ab"), st.integers(0, 4)), max_size=6
).map(lambda found: [room(f"vm-{i}", r.zone, r.cpus // 1000) for i, r in enumerate(found)])


@given(rooms, st.integers(1, 8), st.sampled_from([1.0, 2.0]), st.booleans(), st.booleans())
def test_a_gang_gets_room_for_all_of_it_or_none(places, tasks, cpus, one_zone, spread):
    job = gang(tasks=tasks, cpus=cpus, one_zone=one_zone, spread=spread)
    before = [r.cpus for r in places]
    found = capacities_for_gang(job, places, set())
    assert [r.cpus for r in places] == before
    most = -(-tasks // 2) if spread else tasks
    there = {z: sum(r.max_tasks(job) for r in places if r.zone == z) for z in "ab"}
    if one_zone:
        assert (found is not None) == any(min(n, most) >= tasks for n in there.values())
    else:
        assert (found is not None) == (sum(min(n, most) for n in there.values()) >= tasks)
    if found is not None:
        assert len(found) == tasks
        taken = {r.machine: sum(f is r for f in found) for r in places}
        assert all(n <= r.max_tasks(job) for r in places for n in [taken[r.machine]])
        assert not one_zone or len({r.zone for r in found}) == 1


def test_a_queue_places_a_gang_whole_within_the_limit_and_goes_on_with_others():
    def placed(team, jobs, places, usage=None):
        queue = TeamQueue(team, jobs, usage or Usage(), {}, {}, {}, QueueOrder(()), 0)
        return [
            (p.job.id, len(p.task_capacities()))
            for p in iter(lambda: queue.place_next(places), None)
        ]

    big, small = gang(id="j-000001", tasks=6), gang(id="j-000002", tasks=4)
    assert placed(Team("red"), [big, small], [room()]) == [("j-000002", 4)]
    assert placed(Team("red"), [big, small], [room(), room("vm-2")]) == [("j-000001", 6)]
    assert placed(Team("red", cpus_max=5.0), [big, small], [room(), room("vm-2")]) == [
        ("j-000002", 4)
    ]
    assert placed(Team("red", cpus_max=7.0), [small], [room()], Usage(4000)) == []


def test_room_is_made_for_a_whole_gang_or_nobody_is_stopped():
    idle = Job(new_record(job_spec("j-000009", priority="idle", cpus=2.0), 0, 8), 1)
    running = {
        m: [Victim(idle, Attempt(i, 1, m, 1, 1)) for i in (2 * n, 2 * n + 1)]
        for n, m in enumerate(("vm-1", "vm-2"))
    }
    places = [room("vm-1", cpus=0), room("vm-2", cpus=0)]

    def victims(tasks, one_zone=False):
        job = gang(id="j-000001", priority="high", tasks=tasks, cpus=2.0, one_zone=one_zone)
        return choose_victims([(job, tasks)], places, running, {"red": Team("red")}, {}, {}, 16)

    assert len(victims(3)) == 3 and len(victims(4, one_zone=True)) == 4
    assert victims(5) == []


def test_a_gang_that_is_not_recorded_whole_starts_nowhere_and_its_exits_blame_nobody():
    machine = Machine("vm-1", "small", "a", False, "up", 0, 0, session=1)
    attempts = {("j-1", 0, 4): Attempt(0, 4, "vm-1", 1, 7)}

    def judged(startable, *tasks, stop=None):
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

    assert judged(False).commands == [] and judged(False).outcomes == []
    assert [order.op for order in judged(True).commands] == ["run"]
    for cause in ("mates_gone", "alone"):
        outcomes = judged(True, TaskReport("j-1/0", 4, "exited", cause)).outcomes
        assert [outcome.kind for outcome in outcomes] == ["stopped"]
    assert judged(True, TaskReport("j-1/0", 4, "gathering")).commands == []


def test_which_groups_can_never_run():
    types = (machine_type("small"), machine_type("big", cpus=16.0, zones=("b",)))
    teams = {"red": Team("red", cpus_max=8.0)}

    def never(**changes):
        return rejection_reason(job_spec(**{"kind": "group", **changes}), types, teams)

    assert never(tasks=8) is None and never(tasks=9)
    assert never(tasks=1, cpus=9.0) and never(zone="c") and never(types=("none",))
    assert never(tasks=2, one_zone=True) is None
    assert never(tasks=2, one_zone=True, spread=True)
    assert never(tasks=2, spread=True) is None
    assert never(tasks=2, spread=True, zone="a") and never(tasks=2, spread=True, types=("big",))
    assert never(tasks=1, spread=True, zone="a") is None


def _owner(tmp_path, tasks):
    """An owner with a gang, two records of two tasks and what they need around them."""
    _, mirror, registry, inventory, clock, settings = make_fleet(tmp_path, 4)
    mirror.max_ops = OPS
    job = job_spec(kind="group", tasks=tasks)
    key = records.job_key(job.id)
    mirror.commit(Change({key: 0}, {key: Raw(records.encode(new_record(job, 5, CHUNK)))}))
    leadership = SimpleNamespace(owns=lambda team: True, gangs_allowed=lambda: True)
    return (
        Owner(settings, mirror, registry, None, leadership, clock),
        mirror,
        registry,
        inventory,
        settings,
    )


def test_an_owner_ends_an_attempt_of_which_another_wrote_only_a_part(tmp_path):
    owner, mirror, registry, _, _ = _owner(tmp_path, 8)
    draft = Draft(registry.jobs["j-000001"], FEW)
    left = draft.place_gang([Assignment(i, "vm-0000", 1) for i in range(8)], 1)
    assert left
    mirror.commit(draft.to_change({}))
    drafts = {}
    owner._end_partly_placed_gangs(drafts)
    mirror.commit(drafts["j-000001"].to_change({}))
    assert registry.jobs["j-000001"].gang_ending and not registry.jobs["j-000001"].startable


def test_what_is_left_of_an_ending_gang_is_stopped_but_not_what_saves(tmp_path):
    _, mirror, registry, inventory, settings = _owner(tmp_path, 2)
    draft = Draft(registry.jobs["j-000001"], FEW)
    draft.place_gang([Assignment(0, "vm-0000", 1), Assignment(1, "vm-0001", 1)], 1)
    mirror.commit(draft.to_change({}))
    pushed = []
    clock = FakeClock()
    stopping = StopRegistry(
        settings,
        inventory,
        registry,
        lambda m, o: pushed.append((m.name, o.grace_s)),
        lambda _: False,
        clock,
    )
    for machine in inventory.machines.values():
        machine.session = 1
    one, two = inventory.machines["vm-0000"], inventory.machines["vm-0001"]
    registry.on_gang_ending.append(stopping.kill_gang)
    assert stopping.grace_s(one, ("j-000001", 0, 1)) is None
    stopping.stop(
        registry.jobs["j-000001"], next(iter(registry.jobs["j-000001"].live_attempts())), 6.0
    )
    draft = Draft(registry.jobs["j-000001"], FEW)
    draft.end_gang()
    mirror.commit(draft.to_change({}))
    assert stopping.grace_s(one, ("j-000001", 0, 1)) == 6.0
    assert stopping.grace_s(two, ("j-000001", 1, 1)) == 0.0
    assert pushed == [("vm-0000", 6.0), ("vm-0001", 0.0)]
    clock.us += 60_000_000
    assert stopping.grace_s(one, ("j-000001", 0, 1)) == 0.0


def test_a_notice_saves_the_whole_gang_or_none_of_it(tmp_path):
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
    stopping = StopRegistry(settings, inventory, registry, lambda *_: None, lambda _: False, clock)
    assert list(stopping.gangs_to_checkpoint()) == []
    inventory.machines["vm-0"].spot_notice_until_us = clock.us + 10_000_000
    # On its own, a task under notice is not told to save.
    assert stopping.grace_s(inventory.machines["vm-0"], ("j-000001", 0, 1)) is None
    inventory.machines["vm-1"].not_receiving_since_us = clock.us
    assert list(stopping.gangs_to_checkpoint()) == []
    inventory.machines["vm-1"].not_receiving_since_us = None
    (job,) = stopping.gangs_to_checkpoint()
    stopping.stop_gang(job)
    assert [
        stopping.grace_s(inventory.machines[f"vm-{i}"], ("j-000001", i, 1)) for i in (0, 1)
    ] == [
        3.0,
        3.0,
    ]
    assert list(stopping.gangs_to_checkpoint()) == []


def test_a_gang_told_to_stop_may_go_on_for_a_while_without_being_taken_for_deaf(tmp_path):
    _, _, registry, _, _ = _owner(tmp_path, 2)
    shows = partial(next_report_confirms, registry)
    assert shows(Command("run", "j-000001/0", 1)) and shows(Command("reap", "j-000001/0", 1))
    assert not shows(Command("kill", "j-000001/0", 1, 3.0))
    assert shows(Command("kill", "j-000002/0", 1, 3.0))


def test_an_unanswered_start_of_an_ending_gang_is_outdated_by_a_new_term(tmp_path):
    _, mirror, registry, inventory, _ = _owner(tmp_path, 2)
    draft = Draft(registry.jobs["j-000001"], FEW)
    draft.place_gang([Assignment(0, "vm-0000", 1), Assignment(1, "vm-0001", 1)], 1)
    mirror.commit(draft.to_change({}))
    clock, asked = FakeClock(), []
    leadership = SimpleNamespace(term_number=lambda: 1, request_new_term=lambda: asked.append(True))
    late = StaleStarts(inventory, registry, leadership, clock)
    inventory.machines["vm-0000"].session = 1
    inventory.machines["vm-0000"].unanswered_starts = {("j-000001/0", 1): (1, 1)}
    for ending in (False, True):
        if ending:
            draft = Draft(registry.jobs["j-000001"], FEW)
            draft.end_gang()
            mirror.commit(draft.to_change({}))
        late.check()
        clock.us += 6_000_000
        late.check()
        assert bool(asked) == ending
