"""Offers and rounds of team owners: the work depends on what changed, not on the fleet's size."""

from types import SimpleNamespace

from hypothesis import given
from hypothesis import strategies as st
from msgspec import Raw, structs

from mosswalk.config import Team, load
from mosswalk.factory.view import WaitingTasks
from mosswalk.fleet.inventory import Inventory, Machine
from mosswalk.fleet.offers import OfferPlanner
from mosswalk.fleet.preempting import Preemptor
from mosswalk.jobs.registry import JobRegistry
from mosswalk.jobs.state import Assignment, Draft, new_record
from mosswalk.placement.capacity import ZoneRule
from mosswalk.placement.owner import Owner
from mosswalk.store import records
from mosswalk.store.records import TermRecord
from mosswalk.store.writer import Change
from mosswalk.wire.peers import Outcome, Outcomes
from mosswalk.wire.workers import TaskReport
from tests.fakes import RECORD_LIMITS, FakeClock, job_spec, machine_type
from tests.test_config import write_settings
from tests.test_jobs import InMemoryMirror
from tests.test_placement import make_job

S = 1_000_000


class CountingOfferPlanner(OfferPlanner):
    """Counts how often the free capacity of a machine is computed."""

    build_count = 0

    def _build(self, machine):
        self.build_count += 1
        return super()._build(machine)


def make_fleet(tmp_path, machine_count):
    """An offer planner over small machines with one team, and the objects around it."""
    settings = load(write_settings(tmp_path))
    settings = structs.replace(
        settings, params=structs.replace(settings.params, teams=(Team("red"),))
    )
    mirror, inventory, clock = InMemoryMirror(), Inventory(), FakeClock()
    registry = JobRegistry(mirror)
    inventory.types = {"small": machine_type()}
    for i in range(machine_count):
        name = f"vm-{i:04d}"
        inventory.machines[name] = Machine(
            name,
            "small",
            "a",
            False,
            "up",
            0,
            0,
            "x",
            has_acknowledged_leader=True,
            last_seen_at_us=clock.us,
        )
    term = TermRecord(1, "a", {"red": "a"})
    leadership = SimpleNamespace(
        term=term, may_start_tasks=lambda: True, suspected=frozenset, node="a"
    )
    scaler = SimpleNamespace(
        cordoned=set(), record_blocked_jobs=lambda queues: None, clear_blocked_jobs=lambda: None
    )
    offers = CountingOfferPlanner(
        settings, mirror, registry, inventory, leadership, scaler, clock, {}
    )
    return offers, mirror, registry, inventory, clock, settings


def submit(mirror, placed=(), **changes):
    record = new_record(job_spec(**changes), 5, 256)
    key = records.job_key(record.spec.id)
    mirror.commit(Change({key: 0}, {key: Raw(records.encode(record))}))
    return key


def place_tasks(mirror, registry, count, machine):
    """Records the first tasks of the first job as placed on a machine."""
    draft = Draft(next(iter(registry.jobs.values())), RECORD_LIMITS)
    for index in range(count):
        draft.place(Assignment(index, machine, 1), 1)
    mirror.commit(draft.to_change({}))


def test_plan_rebuilds_free_capacity_of_changed_machines_only(tmp_path):
    offers, mirror, registry, _, clock, _ = make_fleet(tmp_path, 300)
    offers.mark_periodic_changes()
    offers.plan()
    # With nothing to place, no machine is examined.
    assert offers.build_count == 0
    offers.free_capacities()
    assert offers.build_count == 300
    offers.mark_periodic_changes()
    offers.plan()
    assert offers.build_count == 300
    offers.mark_changed("vm-0007")
    submit(mirror, tasks=1)
    ((node, offer),) = offers.plan()
    assert node == "a" and len(offer.teams[0].machines) == 1 and offers.build_count == 301
    place_tasks(mirror, registry, 1, offer.teams[0].machines[0].machine)
    submit(mirror, id="j-000002", tasks=1)
    offers.plan()
    assert offers.build_count == 302
    # A silent machine offers no capacity, though nothing but time has passed.
    clock.us += 60 * S
    offers.mark_periodic_changes()
    assert offers.free_capacities() == []


@given(
    st.sampled_from([None, "pulling", "running", "saving", "exited"]),
    st.booleans(),
    st.booleans(),
)
def test_capacity_is_free_after_a_reported_exit_and_only_on_responsive_machines(
    tmp_path_factory, phase, acknowledged, receives_nothing
):
    offers, mirror, registry, inventory, _, _ = make_fleet(tmp_path_factory.mktemp("offers"), 1)
    submit(mirror, tasks=2, cpus=3.0)
    place_tasks(mirror, registry, 1, "vm-0000")
    machine = inventory.machines["vm-0000"]
    machine.has_acknowledged_leader, machine.not_receiving_since_us = (
        acknowledged,
        5 if receives_nothing else None,
    )
    if phase is not None:
        machine.update_tasks((TaskReport("j-000001/0", 1, phase, "done"),))
    capacities = offers.free_capacities()
    if not acknowledged or receives_nothing:
        assert capacities == []
    else:
        assert capacities[0].cpus == (4000 if phase == "exited" else 1000)


def test_owner_delays_completions_while_writes_are_scarce_except_the_last_one(tmp_path):
    _, mirror, registry, _, clock, settings = make_fleet(tmp_path, 1)
    submit(mirror, tasks=4)
    place_tasks(mirror, registry, 3, "vm-0000")
    spare_rate = False
    writer = SimpleNamespace(has_spare_rate=lambda: spare_rate, set_rate_share=lambda share: None)
    leadership = SimpleNamespace(owns=lambda team: True, gangs_allowed=lambda: False)
    owner = Owner(settings, mirror, registry, writer, leadership, clock)

    def ended_after(*outcomes):
        owner.receive_outcomes(
            Outcomes(
                1,
                tuple(Outcome(f"j-000001/{i}", i + 1, "vm-0000", kind) for i, kind in outcomes),
            )
        )
        drafts = {}
        owner._apply_outcomes(drafts, 1)
        return sum(len(d.ended) for d in drafts.values())

    assert ended_after((0, "done")) == 0
    # A task that must be placed again is written at once, with all delayed completions.
    assert ended_after((1, "lost")) == 2
    assert ended_after((0, "done")) == 0
    clock.us += 3 * S
    assert ended_after() == 1
    spare_rate = True
    assert ended_after((0, "done")) == 1
    spare_rate = False
    record = structs.replace(registry.jobs["j-000001"].record, done_count=3)
    registry.jobs["j-000001"].record = record
    assert ended_after((2, "done")) == 1


def test_round_takes_a_bounded_number_of_jobs_and_the_most_urgent_first(tmp_path):
    """Guards against long rounds.

    When a network partition healed, 170 services and as many arrays had lost tasks, and one round
    for all of them took 8 s.
    """
    _, mirror, registry, _, clock, settings = make_fleet(tmp_path, 1)
    for i in range(40):
        priority = "prod" if i % 10 == 9 else "idle" if i % 2 else "standard"
        submit(mirror, id=f"j-{i:06d}", tasks=2, priority=priority)
        draft = Draft(registry.jobs[f"j-{i:06d}"], RECORD_LIMITS)
        draft.place(Assignment(0, "vm-0000", 1), 1)
        mirror.commit(draft.to_change({}))
    leadership = SimpleNamespace(owns=lambda team: True, gangs_allowed=lambda: False)
    owner = Owner(settings, mirror, registry, None, leadership, clock)
    owner.receive_outcomes(
        Outcomes(1, tuple(Outcome(f"j-{i:06d}/0", 1, "vm-0000", "lost") for i in range(40)))
    )
    drafts = {}
    owner._apply_outcomes(drafts, 1)
    assert len(drafts) == owner._max_outcome_jobs and owner._wake.is_set()
    job_ids = [draft.job.id for draft in drafts.values()]
    prod_job_ids = [f"j-{i:06d}" for i in (9, 19, 29, 39)]
    # Outcomes of idle jobs are not delayed by those of standard jobs.
    assert job_ids == [*prod_job_ids, "j-000000", "j-000001", "j-000002", "j-000003"]
    # Rounds stay short until the replicas are placed again; then one takes all the rest.
    for draft in drafts.values():
        mirror.commit(draft.to_change({}))
    drafts = {}
    owner._apply_outcomes(drafts, 1)
    assert len(drafts) == owner._max_outcome_jobs
    for job_id in prod_job_ids:
        draft = Draft(registry.jobs[job_id], RECORD_LIMITS)
        assert draft.place(Assignment(0, "vm-0000", 1), 1) and draft.place(
            Assignment(1, "vm-0000", 1), 1
        )
        mirror.commit(draft.to_change({}))
    drafts = {}
    owner._apply_outcomes(drafts, 1)
    assert len(drafts) == 24 and not owner._outcomes


def test_reported_exit_is_no_victim_and_its_capacity_is_counted_once(tmp_path):
    offers, mirror, registry, inventory, clock, settings = make_fleet(tmp_path, 1)
    submit(mirror, tasks=4, cpus=1.0, priority="idle")
    place_tasks(mirror, registry, 4, "vm-0000")
    waiting = WaitingTasks(make_job("j-000009", tasks=3, priority="prod"), 3, ZoneRule(False, 3))
    preemptor = Preemptor(settings, inventory, registry, offers, clock)
    exits = (TaskReport(f"j-000001/{i}", i + 1, "exited", "stopped") for i in range(2))
    inventory.machines["vm-0000"].update_tasks(tuple(exits))
    # Two stopped tasks are reported as exited: capacity for two, so one more is stopped.
    stopping = {("j-000001", 0, 1), ("j-000001", 1, 2)}
    assert [v.attempt.task for v in preemptor.select_victims([waiting], stopping)] == [3]
