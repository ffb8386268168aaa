"""The job's state machine under any order of placings, outcomes, repeats and a withdrawal."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule
from msgspec import Raw

from mosswalk.config import Team
from mosswalk.jobs.admission import rejection_reason
from mosswalk.jobs.registry import JobRegistry
from mosswalk.jobs.state import Assignment, Draft, Job, new_record, withdraw_change
from mosswalk.store import records
from mosswalk.store.records import RecordLimits
from mosswalk.store.writer import Change
from tests.fakes import RECORD_LIMITS, job_spec, machine_type

TASKS = 30
OPS = 5
FEW_OPS = RecordLimits(16 * 1024, OPS)


class MirrorOf:
    """Applies changes as the state service would, and feeds a registry."""

    def __init__(self) -> None:
        self.listeners = []
        self.rows = {}
        self.revision = 0
        self.ops = OPS

    def listen(self, prefix, listener):
        self.listeners.append((prefix, listener))

    def commit(self, change):
        for key, version in change.guards.items():
            assert self.rows.get(key, (None, 0))[1] == version
        assert change.write_count() <= self.ops
        self.revision += 1
        for key, value in [*change.puts.items(), *((k, None) for k in change.deletes)]:
            if value is None:
                self.rows.pop(key, None)
            else:
                self.rows[key] = (bytes(value), self.revision)
            for prefix, listener in self.listeners:
                if key.startswith(prefix):
                    listener(key, None if value is None else bytes(value), self.revision)


class JobMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.mirror = MirrorOf()
        self.registry = JobRegistry(self.mirror)
        record = new_record(job_spec(tasks=TASKS), 5, chunk_size=7)
        self.key = records.job_key("j-000001")
        self.mirror.commit(Change({self.key: 0}, {self.key: Raw(records.encode(record))}))
        self.live = {}
        self.old = []
        self.done = set()
        self.numbers = set()
        self.withdrawn = False

    @property
    def job(self):
        return self.registry.jobs.get("j-000001")

    def commit(self, draft):
        if draft.has_changes():
            self.mirror.commit(draft.to_change({}))

    @precondition(lambda self: self.job)
    @rule(picks=st.lists(st.integers(-1, TASKS), max_size=8), machine=st.sampled_from("pqr"))
    def place(self, picks, machine):
        draft = Draft(self.job, FEW_OPS)
        for index in picks:
            attempt = draft.place(Assignment(index, machine, 1), 3)
            free = 0 <= index < TASKS and index not in self.live and index not in self.done
            if attempt is not None:
                assert free and not self.withdrawn
                assert attempt.number not in self.numbers
                self.numbers.add(attempt.number)
                self.live[index] = attempt
        self.commit(draft)

    @precondition(lambda self: self.job and self.live)
    @rule(data=st.data(), kind=st.sampled_from(["done", "error", "lost", "stopped"]))
    def settle(self, data, kind):
        index = data.draw(st.sampled_from(sorted(self.live)))
        attempt = self.live[index]
        draft = Draft(self.job, FEW_OPS)
        assert draft.record_outcome(index, attempt.number, kind)
        # The same message again, as the leader repeats it, changes nothing.
        assert not draft.record_outcome(index, attempt.number, "done")
        self.commit(draft)
        del self.live[index]
        self.old.append(attempt)
        if kind == "done":
            self.done.add(index)

    @precondition(lambda self: self.job and self.old)
    @rule(data=st.data())
    def late_outcome(self, data):
        attempt = data.draw(st.sampled_from(self.old))
        assert not Draft(self.job, FEW_OPS).record_outcome(attempt.task, attempt.number, "done")

    @precondition(lambda self: self.job and not self.withdrawn)
    @rule(chance=st.integers(0, 9))
    def withdraw(self, chance):
        if chance == 0:
            self.mirror.commit(withdraw_change(self.job, 1))
            self.withdrawn = True

    @precondition(lambda self: self.job is None)
    @rule()
    def stay_over(self):
        """Nothing more can happen to a job that is over; the invariant still holds."""

    @invariant()
    def records_agree(self):
        job = self.job
        if job is None:
            final = records.decode_final(self.mirror.rows[records.final_key("j-000001")][0])
            assert not self.live
            assert final.phase == ("withdrawn" if self.withdrawn else "done")
            assert self.withdrawn or len(self.done) == TASKS
            assert not self.registry.attempts_by_machine
            assert not self.registry.unplaced["red"] and not self.registry.withdrawn
            assert self.registry.usage()["red"].cpus == 0
            return
        live = {a.task: a for a in job.live_attempts()}
        assert live == self.live
        assert job.record.live_count == len(live) and job.record.done_count == len(self.done)
        assert set(job.pending_tasks()) == set(range(TASKS)) - set(live) - self.done
        # What plans read instead of walking all jobs.
        registry = self.registry
        pending = job.open and job.pending_count() > 0
        assert list(registry.unplaced["red"]) == (["j-000001"] if pending else [])
        assert list(registry.withdrawn) == ([] if job.open else ["j-000001"])
        assert registry.usage()["red"].cpus == len(live) * job.cpus
        on_machines = sum(len(there) for there in self.registry.attempts_by_machine.values())
        assert on_machines == len(live)
        # A controller that has just started reads all keys in order, chunks before headers.
        anew = MirrorOf()
        registry = JobRegistry(anew)
        for key, (value, version) in sorted(self.mirror.rows.items()):
            for prefix, listener in anew.listeners:
                if key.startswith(prefix):
                    listener(key, value, version)
        assert registry.attempts_by_machine == self.registry.attempts_by_machine


JobMachine.TestCase.settings = settings(max_examples=60, stateful_step_count=40)
TestJobMachine = JobMachine.TestCase


def test_a_job_of_100000_tasks_fits_its_records():
    size = records.chunk_size(RECORD_LIMITS, job_spec(tasks=100_000))
    job = Job(new_record(job_spec(tasks=100_000), 1 << 52, size), 1)
    draft = Draft(job, RECORD_LIMITS)
    placed = [draft.place(Assignment(i, "vm-00123456", 100), 1 << 40) for i in range(15 * size)]
    change = draft.to_change({})
    assert change.write_count() <= 16
    assert sum(p is not None for p in placed) == 15 * size
    assert max(len(bytes(v)) for v in change.puts.values()) <= 16 * 1024


def test_a_replica_that_ends_is_started_again():
    job = Job(new_record(job_spec(kind="daemon", tasks=1), 0, 8), 1)
    draft = Draft(job, RECORD_LIMITS)
    attempt = draft.place(Assignment(0, "vm-1", 1), 1)
    draft.record_outcome(0, attempt.number, "done")
    assert draft.final_record() is None and draft.record.done_count == 0
    assert draft.place(Assignment(0, "vm-2", 1), 1).number != attempt.number


def test_what_can_never_run_is_told_from_what_can():
    types = (machine_type("small"), machine_type("big", cpus=16.0, zones=("b",)))
    teams = {"red": Team("red", cpus_max=8.0)}

    def judge(**changes):
        return rejection_reason(job_spec(**changes), types, teams)

    assert judge() is None and judge(tasks=100_000) is None
    assert judge(team="blue") and judge(cpus=9.0) and judge(gpus=1.0) and judge(zone="c")
    assert judge(cpus=5.0) is None and judge(cpus=5.0, zone="a")
    assert judge(types=("small",), cpus=5.0) and judge(types=("none",)) and judge(types=())
    assert judge(kind="daemon", tasks=8) is None and judge(kind="daemon", tasks=9)
