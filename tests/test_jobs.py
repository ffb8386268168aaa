"""The state machine of a job under any order of placements, outcomes, repeats and a withdrawal."""

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
from mosswalk.wire import state as wire
from tests.fakes import RECORD_LIMITS, is_too_large, job_spec, machine_type

TASKS = 30
MAX_OPS = 5
SMALL_COMMIT_LIMITS = RecordLimits(16 * 1024, MAX_OPS)


class InMemoryMirror:
    """Applies changes as the state service would, and passes them to the listeners."""

    def __init__(self) -> None:
        self.listeners = []
        self.rows = {}
        self.revision = 0
        self.max_ops = MAX_OPS

    def listen(self, prefix, listener):
        self.listeners.append((prefix, listener))

    def on_settled(self, callback):
        """Never called: changes are applied in order, so every key is settled."""

    def is_settled(self, key):
        return True

    def commit(self, change):
        for key, version in change.guards.items():
            assert self.rows.get(key, (None, 0))[1] == version
        assert change.write_count() <= self.max_ops
        guards = tuple(wire.Guard(key, version) for key, version in change.guards.items())
        puts = (wire.Write(key=key, value=value) for key, value in change.puts.items())
        deletes = (wire.Write(delete=key) for key in change.deletes)
        assert not is_too_large(wire.Transaction(guards, (*puts, *deletes)))
        self.revision += 1
        for key, value in [*change.puts.items(), *((k, None) for k in change.deletes)]:
            if value is None:
                self.rows.pop(key, None)
            else:
                self.rows[key] = (bytes(value), self.revision)
            for prefix, listener in self.listeners:
                if key.startswith(prefix):
                    listener(key, None if value is None else bytes(value), self.revision)


class JobStateMachine(RuleBasedStateMachine):
    """Commits placements, outcomes and a withdrawal of one job; compares the records to a model."""

    def __init__(self):
        super().__init__()
        self.mirror = InMemoryMirror()
        self.registry = JobRegistry(self.mirror)
        record = new_record(job_spec(tasks=TASKS), 5, chunk_size=7)
        self.key = records.job_key("j-000001")
        self.mirror.commit(Change({self.key: 0}, {self.key: Raw(records.encode(record))}))
        self.live = {}
        self.ended = []
        self.done = set()
        self.attempt_numbers = set()
        self.withdrawn = False

    @property
    def job(self):
        return self.registry.jobs.get("j-000001")

    def commit(self, draft):
        if draft.has_changes():
            self.mirror.commit(draft.to_change({}))

    @precondition(lambda self: self.job)
    @rule(indexes=st.lists(st.integers(-1, TASKS), max_size=8), machine=st.sampled_from("pqr"))
    def place(self, indexes, machine):
        draft = Draft(self.job, SMALL_COMMIT_LIMITS)
        for index in indexes:
            attempt = draft.place(Assignment(index, machine, 1), 3)
            free = 0 <= index < TASKS and index not in self.live and index not in self.done
            if attempt is not None:
                assert free and not self.withdrawn
                assert attempt.number not in self.attempt_numbers
                self.attempt_numbers.add(attempt.number)
                self.live[index] = attempt
        self.commit(draft)

    @precondition(lambda self: self.job and self.live)
    @rule(data=st.data(), kind=st.sampled_from(["done", "error", "lost", "stopped"]))
    def end_attempt(self, data, kind):
        index = data.draw(st.sampled_from(sorted(self.live)))
        attempt = self.live[index]
        draft = Draft(self.job, SMALL_COMMIT_LIMITS)
        assert draft.record_outcome(index, attempt.number, kind)
        # The leader may repeat an outcome; the repetition changes nothing.
        assert not draft.record_outcome(index, attempt.number, "done")
        self.commit(draft)
        del self.live[index]
        self.ended.append(attempt)
        if kind == "done":
            self.done.add(index)

    @precondition(lambda self: self.job and self.ended)
    @rule(data=st.data())
    def late_outcome(self, data):
        attempt = data.draw(st.sampled_from(self.ended))
        assert not Draft(self.job, SMALL_COMMIT_LIMITS).record_outcome(
            attempt.task, attempt.number, "done"
        )

    @precondition(lambda self: self.job and not self.withdrawn)
    @rule(chance=st.integers(0, 9))
    def withdraw(self, chance):
        if chance == 0:
            self.mirror.commit(withdraw_change(self.job, 1))
            self.withdrawn = True

    @precondition(lambda self: self.job is None)
    @rule()
    def stay_final(self):
        """No other rule applies to a job that is over; the invariant must still hold."""

    @invariant()
    def records_match_model(self):
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
        # The indexes that planning reads instead of iterating over all jobs.
        registry = self.registry
        pending = job.open and job.pending_count() > 0
        assert list(registry.unplaced["red"]) == (["j-000001"] if pending else [])
        assert list(registry.withdrawn) == ([] if job.open else ["j-000001"])
        assert registry.usage()["red"].cpus == len(live) * job.cpus
        on_machines = sum(len(attempts) for attempts in self.registry.attempts_by_machine.values())
        assert on_machines == len(live)
        # A controller that has just started reads the keys in sorted order: chunks before headers.
        fresh_mirror = InMemoryMirror()
        fresh_registry = JobRegistry(fresh_mirror)
        for key, (value, version) in sorted(self.mirror.rows.items()):
            for prefix, listener in fresh_mirror.listeners:
                if key.startswith(prefix):
                    listener(key, value, version)
        assert fresh_registry.attempts_by_machine == self.registry.attempts_by_machine


JobStateMachine.TestCase.settings = settings(max_examples=60, stateful_step_count=40)
TestJobStateMachine = JobStateMachine.TestCase


def test_records_of_a_job_of_100000_tasks_fit_the_limits():
    """As many tasks as 15 records hold are placed in as many commits as their size requires."""
    mirror = InMemoryMirror()
    mirror.max_ops = RECORD_LIMITS.txn_ops
    registry = JobRegistry(mirror)
    size = records.chunk_size(RECORD_LIMITS, job_spec(tasks=100_000))
    key = records.job_key("j-000001")
    record = new_record(job_spec(tasks=100_000), 1 << 52, size)
    mirror.commit(Change({key: 0}, {key: Raw(records.encode(record))}))
    unplaced, commits = list(range(15 * size)), 0
    while unplaced:
        draft = Draft(registry.jobs["j-000001"], RECORD_LIMITS)
        unplaced = [
            i for i in unplaced if not draft.place(Assignment(i, "vm-00123456", 100), 1 << 40)
        ]
        change = draft.to_change({})
        assert change.write_count() <= 16
        assert max(len(bytes(v)) for v in change.puts.values()) <= 16 * 1024
        mirror.commit(change)
        commits += 1
    live = list(registry.jobs["j-000001"].live_attempts())
    assert {attempt.task for attempt in live} == set(range(15 * size))
    # Encoded rows of 40 bytes, in transactions that are nearly full.
    assert commits <= 15 * size * 44 // (48 * 1024) + 1


def test_completed_replica_of_a_daemon_is_placed_again():
    job = Job(new_record(job_spec(kind="daemon", tasks=1), 0, 8), 1)
    draft = Draft(job, RECORD_LIMITS)
    attempt = draft.place(Assignment(0, "vm-1", 1), 1)
    draft.record_outcome(0, attempt.number, "done")
    assert draft.final_record() is None and draft.record.done_count == 0
    assert draft.place(Assignment(0, "vm-2", 1), 1).number != attempt.number


def test_only_jobs_that_can_never_run_are_rejected():
    types = (machine_type("small"), machine_type("big", cpus=16.0, zones=("b",)))
    teams = {"red": Team("red", cpus_max=8.0)}

    def rejection(**changes):
        return rejection_reason(job_spec(**changes), types, teams)

    assert rejection() is None and rejection(tasks=100_000) is None
    assert (
        rejection(team="blue")
        and rejection(cpus=9.0)
        and rejection(gpus=1.0)
        and rejection(zone="c")
    )
    assert rejection(cpus=5.0) is None and rejection(cpus=5.0, zone="a")
    assert (
        rejection(types=("small",), cpus=5.0) and rejection(types=("none",)) and rejection(types=())
    )
    assert rejection(kind="daemon", tasks=8) is None and rejection(kind="daemon", tasks=9)
