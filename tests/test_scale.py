"""Leaders of 900 and of 4,000 machines: work is counted, not timed, so that results never vary."""

import asyncio
from types import SimpleNamespace

import msgspec
import pytest
from msgspec import Raw, structs

from mosswalk import service
from mosswalk.config import Team, load
from mosswalk.config.operator import FactoryTuning
from mosswalk.factory import consolidate
from mosswalk.factory.loop import Factory
from mosswalk.factory.view import FleetView, MachineView, Rent
from mosswalk.fleet.inventory import Inventory, Machine
from mosswalk.fleet.manager import FleetManager
from mosswalk.fleet.outcome_sender import OutcomeSender
from mosswalk.jobs.registry import JobRegistry
from mosswalk.jobs.state import Assignment, Draft
from mosswalk.peers import MAX_MESSAGE_BYTES
from mosswalk.placement import preemption
from mosswalk.placement.capacity import FreeCapacity
from mosswalk.store import records
from mosswalk.store.records import Attempt, TermRecord
from mosswalk.store.writer import Change
from mosswalk.wire.peers import MachineOffer, Offer, Outcome, TeamOffer
from mosswalk.wire.workers import Report, TaskReport
from tests.fakes import RECORD_LIMITS, FakeClock, machine_type
from tests.test_config import write_settings
from tests.test_jobs import InMemoryMirror
from tests.test_offers import place_tasks, submit
from tests.test_placement import make_job

S = 1_000_000
FLEET_SIZE = 900
LARGE_FLEET_SIZE = 4000


class PermanentLeadership:
    """A leadership that this process never loses."""

    node, max_unconfirmed_us, on_term = "a", 20 * S, []
    term = TermRecord(3, "a", {"red": "a"})

    def leads(self):
        return True

    may_renew_worker_leases = may_start_tasks = leads

    def term_number(self):
        return 3

    def first_token(self):
        return 3

    def has_token_range(self):
        return False

    def observe_term(self, term):
        assert term <= 3

    def __init__(self):
        self.present_zones = {"a", "b"}

    def zones_with_controller(self, zones):
        return self.present_zones & set(zones.values())


@pytest.fixture
def leader(tmp_path):
    """The fleet manager of a leader, and the objects around it; builds and plans are counted."""
    settings = load(write_settings(tmp_path))
    settings = structs.replace(
        settings, params=structs.replace(settings.params, teams=(Team("red"),))
    )
    mirror, clock = InMemoryMirror(), FakeClock()
    mirror.on_batch_applied = lambda action: None
    mirror.value = lambda key: mirror.rows[key][0] if key in mirror.rows else None
    registry, owner = JobRegistry(mirror), SimpleNamespace(receive_outcomes=lambda message: None)
    leadership = PermanentLeadership()
    manager = FleetManager(settings, mirror, registry, None, leadership, owner, None, None, clock)
    manager._leading = True
    manager._report_intake.start_leading()
    manager._plan_scheduled = False
    manager.inventory.types = {"small": machine_type()}
    for i in range(FLEET_SIZE):
        name = f"vm-{i:06d}"
        manager.inventory.machines[name] = Machine(
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
            session=1,
        )
    offers, counts = manager._offers, SimpleNamespace(builds=0, plans=0)

    def build(machine, inner=offers._build):
        counts.builds += 1
        return inner(machine)

    offers._build = build
    manager.fleet_changed = lambda: setattr(counts, "plans", counts.plans + 1)
    return SimpleNamespace(
        manager=manager,
        mirror=mirror,
        registry=registry,
        offers=offers,
        clock=clock,
        counts=counts,
        leadership=leadership,
    )


def send_report(leader, index, sequence, *tasks):
    name = f"vm-{index:06d}"
    message = Report(name, "1.2.3.4:5", "small", "a", 1, sequence, 3, tasks=tasks)
    assert leader.manager.answer_report(message)[0] == 200


def test_unchanged_reports_rebuild_no_free_capacity_and_request_no_plan(leader):
    async def run():
        leader.offers.mark_periodic_changes()
        assert len(leader.offers.free_capacities()) == FLEET_SIZE
        leader.counts.builds = leader.counts.plans = 0
        for sequence in range(1, 4):
            leader.clock.us += S
            for i in range(FLEET_SIZE):
                send_report(leader, i, sequence)
        assert leader.offers.free_capacities() and leader.counts.builds == leader.counts.plans == 0
        # A report that changes something costs one build and one plan.
        submit(leader.mirror, tasks=1)
        place_tasks(leader.mirror, leader.registry, 1, "vm-000007")
        leader.offers.free_capacities()
        leader.counts.builds = 0
        send_report(leader, 7, 4, TaskReport("j-000001/0", 1, "running"))
        send_report(leader, 7, 5, TaskReport("j-000001/0", 1, "running"))
        leader.offers.free_capacities()
        assert leader.counts.builds == leader.counts.plans == 1
        send_report(leader, 7, 6, TaskReport("j-000001/0", 1, "exited", "done"))
        leader.offers.free_capacities()
        assert leader.counts.builds == leader.counts.plans == 2

    asyncio.run(run())


def test_machine_that_reports_after_a_silence_has_free_capacity_again(leader):
    async def run():
        leader.offers.mark_periodic_changes()
        leader.clock.us += 60 * S
        leader.offers.mark_periodic_changes()
        assert leader.offers.free_capacities() == []
        send_report(leader, 5, 1)
        assert [free.machine for free in leader.offers.free_capacities()] == ["vm-000005"]
        assert leader.counts.plans == 1

    asyncio.run(run())


def test_machines_may_reconnect_after_a_partition_of_their_zone(leader):
    """Guards against releases right after a partition has healed.

    250 machines were released with their tasks in the very second in which their zone was
    reachable again.
    """
    manager, clock = leader.manager, leader.clock
    zone = manager._settings.zone
    released = []
    manager.cloud = SimpleNamespace(
        release=lambda names, requires_state_service: released.extend(names)
    )
    for machine in manager.inventory.machines.values():
        machine.zone = zone
    manager._leading_since_us = manager._answering_since_us = clock.us - 60 * S
    leader.leadership.present_zones = set()
    silent_us = (
        manager._overdue_machines.silence_limits.lease_us
        + manager._overdue_machines.silence_limits.silent_after_us
        + 2 * S
    )
    for _ in range(silent_us // S):
        clock.us += S
        manager._release_overdue()
    leader.leadership.present_zones = {zone}
    machines = list(manager.inventory.machines.values())
    for second in range(6):
        clock.us += S
        # More machines report in each second, but not all of them.
        for machine in machines[: FLEET_SIZE * (second + 1) // 7]:
            machine.last_seen_at_us = clock.us
        manager._release_overdue()
    assert released == []
    for _ in range(4):
        clock.us += S
        manager._release_overdue()
    assert len(released) == FLEET_SIZE - FLEET_SIZE * 6 // 7


def test_leader_that_refused_reports_waits_for_new_ones_before_it_releases_machines(leader):
    """Guards against releases right after an outage of the state service.

    On a recorded day such an outage ended after 52 s, and in that second all machines were
    released.
    """
    manager, clock, released = leader.manager, leader.clock, []
    manager.cloud = SimpleNamespace(
        release=lambda names, requires_state_service: released.extend(names)
    )
    leader.leadership.may_renew_worker_leases = lambda: False
    for _ in range(104):
        clock.us += S // 2
        manager._tick()
    leader.leadership.may_renew_worker_leases = lambda: True
    clock.us += S // 2
    manager._release_overdue()
    assert released == []
    clock.us += 8 * S
    machines = list(manager.inventory.machines.values())
    for machine in machines[5:]:
        machine.last_seen_at_us = clock.us
    manager._release_overdue()
    assert sorted(released) == [machine.name for machine in machines[:5]]


def test_leader_elected_during_a_cloud_outage_uses_its_machines_but_rents_none(leader):
    """The recorded machine types, which hold no prices, suffice to place tasks but not to rent."""
    manager = leader.manager
    recorded_types = Raw(records.encode([machine_type(price=0.0, spot_price=0.0)]))
    leader.mirror.commit(Change({}, {records.MACHINE_TYPES_KEY: recorded_types}))
    manager.inventory.types = {}
    # Only the machine types are missing for renting: the cloud's list of machines was received, and
    # the first leader does not wait for machines that an earlier leader may have rented.
    manager._list_received = manager._is_first_leader = True
    manager._load_recorded_types()
    manager._offers.mark_periodic_changes()
    assert len(manager._offers.free_capacities()) == FLEET_SIZE
    assert not manager._ready_to_rent()
    manager._on_types((machine_type(),))
    assert manager._ready_to_rent()


def test_follower_keeps_a_worker_alive_in_an_outage_if_the_leader_did_not_answer_it(leader):
    """Guards against workers whose leases expire while the state service is down.

    A leader lost its workers that way: every lease expired.
    """
    manager, leadership = leader.manager, leader.leadership
    manager._leading = False
    leadership.leads, leadership.leader, leadership.may_renew_worker_leases_as_follower = (
        lambda: False,
        lambda: "b",
        lambda: True,
    )
    outage = True
    manager.follower_reports.no_peer_reaches_state_service = lambda: outage

    async def run():
        async def answer(term=3):
            message = Report("vm-000001", "1.2.3.4:5", "small", "a", 1, 9, term)
            return manager.answer_report(message)[0]

        nonlocal outage
        assert await answer() == 421
        assert await answer() == 200
        leader.clock.us += 4 * S
        assert await answer() == 200
        # A worker that has seen a higher term would drop the answer, yet keep reporting here.
        leadership.observe_term = lambda term: None
        assert await answer(term=4) == 421
        outage = False
        assert await answer() == 421
        outage = True
        leader.clock.us += manager._lease_us + S
        assert await answer() == 421

    asyncio.run(run())


def make_outcome_sender(leader, tasks):
    """A sender, and what it sent: all tasks of a job are reported done, and none is recorded so."""
    leader.manager._leading = False
    submit(leader.mirror, tasks=tasks)
    place_tasks(leader.mirror, leader.registry, tasks, "vm-000000")
    sent = []
    owner = SimpleNamespace(receive_outcomes=sent.append)
    sender = OutcomeSender(leader.registry, leader.leadership, owner, None, None, leader.clock)
    for index in range(tasks):
        sender.add_reported(Outcome(f"j-000001/{index}", index + 1, "vm-000000", "done"))
    sender.send_due()
    return sender, sent


def test_sending_an_outcome_does_not_cost_more_when_many_are_not_yet_recorded(leader):
    sender, sent = make_outcome_sender(leader, tasks=200)
    assert [len(message.outcomes) for message in sent] == [200]
    submit(leader.mirror, id="j-000002", tasks=1)
    job = leader.registry.jobs["j-000002"]
    draft = Draft(job, RECORD_LIMITS)
    draft.place(Assignment(0, "vm-000001", 1), 1)
    leader.mirror.commit(draft.to_change({}))
    lookups = []
    attempts_on = leader.registry.attempts_on
    leader.registry.attempts_on = lambda name: lookups.append(name) or attempts_on(name)
    sender.add_reported(Outcome("j-000002/0", 1, "vm-000001", "done"))
    sender.send_new()
    assert [len(message.outcomes) for message in sent] == [200, 1]
    assert lookups == ["vm-000001"]
    # A further report does not send an outcome again; only the resend interval does.
    sender.send_new()
    assert len(sent) == 2
    leader.clock.us += S
    sender.send_due()
    assert [len(message.outcomes) for message in sent] == [200, 1, 201]


def test_recorded_outcomes_are_not_sent_again(leader):
    sender, sent = make_outcome_sender(leader, tasks=3)
    draft = Draft(leader.registry.jobs["j-000001"], RECORD_LIMITS)
    draft.record_outcome(0, 1, "done")
    leader.mirror.commit(draft.to_change({}))
    leader.clock.us += S
    sender.send_due()
    assert [o.task for o in sent[1].outcomes] == ["j-000001/1", "j-000001/2"]


def test_removed_machines_are_remembered_while_the_list_or_a_late_copy_may_name_them():
    inventory = Inventory()
    for index in range(2 * LARGE_FLEET_SIZE):
        inventory.remove(f"vm-{index:06d}", index)
    assert all(inventory.is_gone(f"vm-{index:06d}") for index in range(2 * LARGE_FLEET_SIZE))
    # Old entries are dropped later.
    inventory.remove("vm-900000", 3600 * S)
    assert inventory.is_gone("vm-900000") and not inventory.is_gone("vm-000000")


def test_listing_a_large_fleet_takes_at_most_a_quarter_of_the_cloud_calls(leader):
    manager = leader.manager
    rps = manager._settings.params.cloud.rps
    for count in (FLEET_SIZE, LARGE_FLEET_SIZE):
        for index in range(count):
            manager.inventory.adopt(f"vm-{index:06d}", "small", "a", False, "up", 0)
        pages = -(-count // 500)
        assert pages / (manager._list_period_us() / S) <= rps / 4


def test_large_fleet_is_probed_within_a_lease(leader):
    manager, probed = leader.manager, []
    manager._command_sender.probe = lambda machine: probed.append(machine.name)
    for index in range(LARGE_FLEET_SIZE):
        manager.inventory.adopt(f"vm-{index:06d}", "small", "a", False, "up", 0).address = "x"
    for machine in manager.inventory.machines.values():
        machine.has_acknowledged_leader = False
    manager._leading_since_us = leader.clock.us
    leader.clock.us += 10 * S
    ticks = manager._lease_us // (S // 2)
    for _ in range(ticks):
        manager._stray_machines.probe(manager._leading_since_us)
        for name in probed:
            manager.inventory.machines[name].has_acknowledged_leader = True
    assert len(set(probed)) == LARGE_FLEET_SIZE


def test_one_pool_and_one_job_can_fill_a_large_fleet(leader):
    scaler = leader.manager._scaler
    submit(leader.mirror, tasks=LARGE_FLEET_SIZE, cpus=4.0, spot=False)
    job = leader.registry.jobs["j-000001"]
    scaler._blocked_jobs = {"red": [job]}
    (waiting,) = scaler.waiting_tasks()
    assert waiting.count == LARGE_FLEET_SIZE
    pool = ("small", "a", False)
    machines = [
        MachineView(f"vm-{i}", pool, "up", 0, 0, True, None, 1.0)
        for i in range(LARGE_FLEET_SIZE - 1)
    ]
    factory = Factory(FactoryTuning(high_dwell_s=0.0))
    types = {"small": machine_type(zones=("a",))}
    decisions = factory.decide(FleetView(0, types, machines, [waiting], 9))
    assert any(isinstance(d, Rent) and pool in d.pools for d in decisions)


def test_offer_of_a_large_fleet_fits_in_one_message():
    images = tuple(f"registry/team/image-{i:03d}" for i in range(10))
    slots = tuple(
        MachineOffer(
            f"vm-{i:06d}",
            "vembanad-mid",
            "kakkanad-hall",
            True,
            1,
            16_000,
            0,
            64_000,
            images,
            0.123456,
            6.6666666,
        )
        for i in range(LARGE_FLEET_SIZE)
    )
    offer = Offer(7, tuple(TeamOffer(f"team-{i}", slots) for i in range(10)))
    assert len(msgspec.msgpack.encode(offer)) < MAX_MESSAGE_BYTES


def test_preemption_sorts_only_the_tasks_of_machines_it_examines(monkeypatch):
    """Sorting all tasks that run on 4,000 machines took a quarter of the leader's time."""
    ordered = []
    order = preemption._victim_sort_key
    monkeypatch.setattr(preemption, "_victim_sort_key", lambda v: ordered.append(v) or order(v))
    small = make_job("j-000002", tasks=LARGE_FLEET_SIZE, cpus=1.0, priority="idle")
    capacities, running = [], {}
    for index in range(LARGE_FLEET_SIZE):
        name = f"vm-{index:06d}"
        capacities.append(FreeCapacity(name, "small", "a", False, 1, 0, 0, 16_000))
        task_count = 4 if index % 1000 == 0 else 1
        running[name] = [
            preemption.Victim(small, Attempt(4 * index + i, 4 * index + i + 1, name, 1, 1))
            for i in range(task_count)
        ]
    large = make_job("j-000003", tasks=4, cpus=4.0, priority="prod")
    victims = preemption.choose_victims(
        [(large, 4)], capacities, running, {"red": Team("red")}, {}, {}, 16
    )
    assert len(victims) == 16 and len({v.attempt.machine for v in victims}) == 4
    assert len(ordered) == 16


def test_search_for_a_machine_to_drain_examines_a_bounded_number(monkeypatch):
    """Otherwise each search would copy all free capacities for every machine with few replicas.

    That cost shows on a calm day, when nothing else is to be done.
    """
    job = make_job("j-000001", tasks=LARGE_FLEET_SIZE, cpus=1.0, kind="daemon")
    hosts = [
        consolidate.ReplicaHost(
            FreeCapacity(f"vm-{i:06d}", "small", "a", False, 1, 0, 0, 0),
            0.25,
            1.0,
            [(job, Attempt(i, i + 1, f"vm-{i:06d}", 1, 1))],
            True,
        )
        for i in range(LARGE_FLEET_SIZE)
    ]
    looks = []
    monkeypatch.setattr(
        consolidate, "_can_be_drained", lambda host, *_: looks.append(host) or False
    )
    assert consolidate.choose_machine_to_drain(hosts, {}) is None
    assert 0 < len(looks) <= 64


def test_listen_backlog_lets_all_workers_of_a_large_fleet_connect_at_once(leader, monkeypatch):
    """After a takeover, each of them connects to the new leader within a second."""
    started, all_started = [], asyncio.Event()

    class StubSite:
        def __init__(self, runner, host, port, *, backlog, reuse_address):
            started.append(backlog)

        async def start(self):
            if len(started) == 2:
                all_started.set()

    monkeypatch.setattr(service.web, "TCPSite", StubSite)
    limits = structs.replace(
        leader.manager._settings.params.machine_limits, max_connections=LARGE_FLEET_SIZE * 2
    )
    params = structs.replace(leader.manager._settings.params, machine_limits=limits)
    settings = structs.replace(leader.manager._settings, params=params)

    async def run():
        serving = asyncio.create_task(service.serve(settings))
        await asyncio.wait_for(all_started.wait(), 10)
        serving.cancel()
        await asyncio.gather(serving, return_exceptions=True)

    asyncio.run(run())
    assert started == [LARGE_FLEET_SIZE * 2] * 2


def test_due_outcomes_are_sent_again_with_the_next_report_and_not_only_on_the_tick(leader):
    """Guards against gangs that start half a second late.

    Owners collect outcomes until they receive the next ones, which came on the tick alone.
    """
    sender, sent = make_outcome_sender(leader, tasks=3)
    leader.clock.us += 750_000
    sender.add_reported(Outcome("j-000001/0", 1, "vm-000000", "done"))
    sender.send_new()
    assert [len(message.outcomes) for message in sent] == [3, 3]
