"""Leaders of 900 and of 4,000 machines: counted work, so that the verdict never varies."""

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
MACHINES = 900
LARGE_FLEET = 4000


class Led:
    """Leadership that never ends."""

    node, max_unconfirmed_us, on_term = "a", 20 * S, []
    term = TermRecord(3, "a", {"red": "a"})

    def leads(self):
        return True

    may_renew_worker_leases = may_start_tasks = leads

    def term_number(self):
        return 3

    def observe_term(self, term):
        assert term <= 3

    def __init__(self):
        self.present = {"a", "b"}

    def zones_with_controller(self, zones):
        return self.present & set(zones.values())


@pytest.fixture
def led(tmp_path):
    settings = load(write_settings(tmp_path))
    settings = structs.replace(
        settings, params=structs.replace(settings.params, teams=(Team("red"),))
    )
    mirror, clock = InMemoryMirror(), FakeClock()
    mirror.on_batch_applied = lambda action: None
    mirror.value = lambda key: mirror.rows[key][0] if key in mirror.rows else None
    registry, owner = JobRegistry(mirror), SimpleNamespace(receive_outcomes=lambda message: None)
    leadership = Led()
    manager = FleetManager(settings, mirror, registry, None, leadership, owner, None, None, clock)
    manager._leading, manager._report_intake._first_term = True, 3
    manager._plan_scheduled = False
    manager.inventory.types = {"small": machine_type()}
    for i in range(MACHINES):
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
    offers, counts = manager._offers, SimpleNamespace(built=0, plans=0)

    def build(machine, inner=offers._build):
        counts.built += 1
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


def report(led, index, tick, *tasks):
    name = f"vm-{index:06d}"
    told = Report(name, "1.2.3.4:5", "small", "a", 1, tick, 3, tasks=tasks)
    assert led.manager.answer_report(told)[0] == 200


def test_reports_that_tell_nothing_new_build_no_room_and_ask_for_no_plan(led):
    async def run():
        led.offers.mark_periodic_changes()
        assert len(led.offers.free_capacities()) == MACHINES
        led.counts.built = led.counts.plans = 0
        for tick in range(1, 4):
            led.clock.us += S
            for i in range(MACHINES):
                report(led, i, tick)
        assert led.offers.free_capacities() and led.counts.built == led.counts.plans == 0
        # One that has changed costs one.
        submit(led.mirror, tasks=1)
        place_tasks(led.mirror, led.registry, 1, "vm-000007")
        led.offers.free_capacities()
        led.counts.built = 0
        report(led, 7, 4, TaskReport("j-000001/0", 1, "running"))
        report(led, 7, 5, TaskReport("j-000001/0", 1, "running"))
        led.offers.free_capacities()
        assert led.counts.built == led.counts.plans == 1
        report(led, 7, 6, TaskReport("j-000001/0", 1, "exited", "done"))
        led.offers.free_capacities()
        assert led.counts.built == led.counts.plans == 2

    asyncio.run(run())


def test_a_machine_heard_of_again_after_a_silence_gives_room_again(led):
    async def run():
        led.offers.mark_periodic_changes()
        led.clock.us += 60 * S
        led.offers.mark_periodic_changes()
        assert led.offers.free_capacities() == []
        report(led, 5, 1)
        assert [room.machine for room in led.offers.free_capacities()] == ["vm-000005"]
        assert led.counts.plans == 1

    asyncio.run(run())


def test_a_zone_that_was_cut_off_is_given_time_to_come_back(led):
    """Released in the second in which their cut healed: 250 machines, tasks and all."""
    manager, clock = led.manager, led.clock
    zone = manager._settings.zone
    released = []
    manager.cloud = SimpleNamespace(
        release=lambda names, requires_state_service: released.extend(names)
    )
    for machine in manager.inventory.machines.values():
        machine.zone = zone
    manager._leading_since_us = manager._answering_since_us = clock.us - 60 * S
    led.leadership.present = set()
    silent_us = (
        manager._overdue_machines.silence_limits.lease_us
        + manager._overdue_machines.silence_limits.silent_after_us
        + 2 * S
    )
    for _ in range(silent_us // S):
        clock.us += S
        manager._release_overdue()
    led.leadership.present = {zone}
    machines = list(manager.inventory.machines.values())
    for second in range(6):
        clock.us += S
        # Most are heard again before the last one.
        for machine in machines[: MACHINES * (second + 1) // 7]:
            machine.last_seen_at_us = clock.us
        manager._release_overdue()
    assert released == []
    for _ in range(4):
        clock.us += S
        manager._release_overdue()
    assert len(released) == MACHINES - MACHINES * 6 // 7


def test_a_leader_that_turned_reports_away_hears_the_machines_before_it_releases_any(led):
    """Seen on a recorded day: an outage of 52 s ended, and in that second all were released."""
    manager, clock, released = led.manager, led.clock, []
    manager.cloud = SimpleNamespace(
        release=lambda names, requires_state_service: released.extend(names)
    )
    led.leadership.may_renew_worker_leases = lambda: False
    for _ in range(104):
        clock.us += S // 2
        manager._tick()
    led.leadership.may_renew_worker_leases = lambda: True
    clock.us += S // 2
    manager._release_overdue()
    assert released == []
    clock.us += 8 * S
    machines = list(manager.inventory.machines.values())
    for machine in machines[5:]:
        machine.last_seen_at_us = clock.us
    manager._release_overdue()
    assert sorted(released) == [machine.name for machine in machines[:5]]


def test_a_leader_that_begins_while_the_cloud_is_down_uses_the_room_there_is_but_rents_none(led):
    manager = led.manager
    shapes = Raw(records.encode([machine_type(price=0.0, spot_price=0.0)]))
    led.mirror.commit(Change({}, {records.MACHINE_TYPES_KEY: shapes}))
    manager.inventory.types = {}
    manager._list_received = manager._is_first_leader = True
    manager._load_recorded_types()
    manager._offers.mark_periodic_changes()
    assert len(manager._offers.free_capacities()) == MACHINES
    assert not manager._ready_to_rent()
    manager._on_types((machine_type(),))
    assert manager._ready_to_rent()


def test_in_an_outage_a_worker_that_the_leader_did_not_answer_is_kept_when_it_comes_back(led):
    """A leader lost its workers while the state service was down: every lease ran out."""
    manager, leadership = led.manager, led.leadership
    manager._leading = False
    leadership.leads, leadership.leader, leadership.may_renew_worker_leases_as_follower = (
        lambda: False,
        lambda: "b",
        lambda: True,
    )
    outage = True
    manager.follower_reports.no_peer_reaches_state_service = lambda: outage

    async def run():
        async def answer(epoch=3):
            told = Report("vm-000001", "1.2.3.4:5", "small", "a", 1, 9, epoch)
            return manager.answer_report(told)[0]

        nonlocal outage
        assert await answer() == 421
        assert await answer() == 200
        led.clock.us += 4 * S
        assert await answer() == 200
        # It would drop our answer, and stay with us all the same.
        leadership.observe_term = lambda term: None
        assert await answer(epoch=4) == 421
        outage = False
        assert await answer() == 421
        outage = True
        led.clock.us += manager._lease_us + S
        assert await answer() == 421

    asyncio.run(run())


def outcome_sender(led, tasks):
    """A sender, with a job whose tasks are all reported done and none of whose ends is written."""
    led.manager._leading = False
    submit(led.mirror, tasks=tasks)
    place_tasks(led.mirror, led.registry, tasks, "vm-000000")
    told = []
    owner = SimpleNamespace(receive_outcomes=told.append)
    sender = OutcomeSender(led.registry, led.leadership, owner, None, None, led.clock)
    for index in range(tasks):
        sender.add_reported(Outcome(f"j-000001/{index}", index + 1, "vm-000000", "done"))
    sender.send_due()
    return sender, told


def test_an_outcome_costs_by_itself_however_many_wait_to_be_written(led):
    sender, told = outcome_sender(led, tasks=200)
    assert [len(message.outcomes) for message in told] == [200]
    submit(led.mirror, id="j-000002", tasks=1)
    job = led.registry.jobs["j-000002"]
    draft = Draft(job, RECORD_LIMITS)
    draft.place(Assignment(0, "vm-000001", 1), 1)
    led.mirror.commit(draft.to_change({}))
    looks = []
    attempts_on = led.registry.attempts_on
    led.registry.attempts_on = lambda name: looks.append(name) or attempts_on(name)
    sender.add_reported(Outcome("j-000002/0", 1, "vm-000001", "done"))
    sender.send_new()
    assert [len(message.outcomes) for message in told] == [200, 1]
    assert looks == ["vm-000001"]
    # What has been told is not told anew by another report, but is in its time.
    sender.send_new()
    assert len(told) == 2
    led.clock.us += S
    sender.send_due()
    assert [len(message.outcomes) for message in told] == [200, 1, 201]


def test_what_the_records_show_is_told_no_more(led):
    sender, told = outcome_sender(led, tasks=3)
    draft = Draft(led.registry.jobs["j-000001"], RECORD_LIMITS)
    draft.record_outcome(0, 1, "done")
    led.mirror.commit(draft.to_change({}))
    led.clock.us += S
    sender.send_due()
    assert [o.task for o in told[1].outcomes] == ["j-000001/1", "j-000001/2"]


def test_machines_that_are_gone_stay_known_while_the_list_or_a_late_copy_may_name_them():
    inventory = Inventory()
    for index in range(2 * LARGE_FLEET):
        inventory.remove(f"vm-{index:06d}", index)
    assert all(inventory.is_gone(f"vm-{index:06d}") for index in range(2 * LARGE_FLEET))
    # Later only some of them are kept.
    inventory.remove("vm-900000", 3600 * S)
    assert inventory.is_gone("vm-900000") and not inventory.is_gone("vm-000000")


def test_reading_the_list_of_a_large_fleet_leaves_most_cloud_calls_for_rents(led):
    manager = led.manager
    rps = manager._settings.params.cloud.rps
    for count in (MACHINES, LARGE_FLEET):
        for index in range(count):
            manager.inventory.adopt(f"vm-{index:06d}", "small", "a", False, "up", 0)
        pages = -(-count // 500)
        assert pages / (manager._list_period_us() / S) <= rps / 4


def test_a_large_fleet_is_called_over_within_a_lease(led):
    manager, probed = led.manager, []
    manager._command_sender.probe = lambda machine: probed.append(machine.name)
    for index in range(LARGE_FLEET):
        manager.inventory.adopt(f"vm-{index:06d}", "small", "a", False, "up", 0).address = "x"
    for machine in manager.inventory.machines.values():
        machine.has_acknowledged_leader = False
    manager._leading_since_us = led.clock.us
    led.clock.us += 10 * S
    turns = manager._lease_us // (S // 2)
    for _ in range(turns):
        manager._stray_machines.probe(manager._leading_since_us)
        for name in probed:
            manager.inventory.machines[name].has_acknowledged_leader = True
    assert len(set(probed)) == LARGE_FLEET


def test_one_pool_and_one_job_may_fill_a_large_fleet(led):
    scaler = led.manager._scaler
    submit(led.mirror, tasks=LARGE_FLEET, cpus=4.0, spot=False)
    job = led.registry.jobs["j-000001"]
    scaler._blocked_jobs = {"red": [job]}
    (waiting,) = scaler.waiting_tasks()
    assert waiting.count == LARGE_FLEET
    pool = ("small", "a", False)
    machines = [
        MachineView(f"vm-{i}", pool, "up", 0, 0, True, None, 1.0) for i in range(LARGE_FLEET - 1)
    ]
    factory = Factory(FactoryTuning(high_dwell_s=0.0))
    types = {"small": machine_type(zones=("a",))}
    decided = factory.decide(FleetView(0, types, machines, [waiting], 9))
    assert any(isinstance(d, Rent) and pool in d.pools for d in decided)


def test_room_on_a_large_fleet_fits_a_message_to_its_owner():
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
        for i in range(LARGE_FLEET)
    )
    offer = Offer(7, tuple(TeamOffer(f"team-{i}", slots) for i in range(10)))
    assert len(msgspec.msgpack.encode(offer)) < MAX_MESSAGE_BYTES


def test_only_machines_that_are_looked_at_have_their_tasks_put_in_order(monkeypatch):
    """Sorting all that runs on 4,000 machines took a quarter of the leader's time."""
    ordered = []
    order = preemption._order
    monkeypatch.setattr(preemption, "_order", lambda v: ordered.append(v) or order(v))
    small = make_job("j-000002", tasks=LARGE_FLEET, cpus=1.0, priority="idle")
    rooms, running = [], {}
    for index in range(LARGE_FLEET):
        name = f"vm-{index:06d}"
        rooms.append(FreeCapacity(name, "small", "a", False, 1, 0, 0, 16_000))
        there = 4 if index % 1000 == 0 else 1
        running[name] = [
            preemption.Victim(small, Attempt(4 * index + i, 4 * index + i + 1, name, 1, 1))
            for i in range(there)
        ]
    large = make_job("j-000003", tasks=4, cpus=4.0, priority="prod")
    victims = preemption.choose_victims(
        [(large, 4)], rooms, running, {"red": Team("red")}, {}, {}, 16
    )
    assert len(victims) == 16 and len({v.attempt.machine for v in victims}) == 4
    assert len(ordered) == 16


def test_machines_to_empty_are_looked_for_in_a_bounded_part_of_a_large_fleet(monkeypatch):
    """On a calm day each turn would copy all rooms for every machine with a few replicas."""
    job = make_job("j-000001", tasks=LARGE_FLEET, cpus=1.0, kind="daemon")
    hosts = [
        consolidate.ReplicaHost(
            FreeCapacity(f"vm-{i:06d}", "small", "a", False, 1, 0, 0, 0),
            0.25,
            1.0,
            [(job, Attempt(i, i + 1, f"vm-{i:06d}", 1, 1))],
            True,
        )
        for i in range(LARGE_FLEET)
    ]
    looks = []
    monkeypatch.setattr(
        consolidate, "_can_be_drained", lambda host, *_: looks.append(host) or False
    )
    assert consolidate.choose_machine_to_drain(hosts, {}) is None
    assert 0 < len(looks) <= 64


def test_all_workers_of_a_large_fleet_may_connect_at_once(led, monkeypatch):
    """After a takeover each of them turns to the new leader within a second."""
    started, all_started = [], asyncio.Event()

    class Site:
        def __init__(self, runner, host, port, *, backlog, reuse_address):
            started.append(backlog)

        async def start(self):
            if len(started) == 2:
                all_started.set()

    monkeypatch.setattr(service.web, "TCPSite", Site)
    limits = structs.replace(
        led.manager._settings.params.machine_limits, max_connections=LARGE_FLEET * 2
    )
    params = structs.replace(led.manager._settings.params, machine_limits=limits)
    settings = structs.replace(led.manager._settings, params=params)

    async def run():
        work = asyncio.create_task(service.serve(settings))
        await asyncio.wait_for(all_started.wait(), 10)
        work.cancel()
        await asyncio.gather(work, return_exceptions=True)

    asyncio.run(run())
    assert started == [LARGE_FLEET * 2] * 2


def test_what_is_due_again_is_told_with_the_next_report_and_not_only_on_the_tick(led):
    """Owners gather outcomes until they are told the next: gangs began half a second late."""
    sender, told = outcome_sender(led, tasks=3)
    led.clock.us += 750_000
    sender.add_reported(Outcome("j-000001/0", 1, "vm-000000", "done"))
    sender.send_new()
    assert [len(message.outcomes) for message in told] == [3, 3]
