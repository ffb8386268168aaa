"""A leader of 900 machines: what reports cost it, counted so that the verdict never varies."""

import asyncio
from types import SimpleNamespace

import pytest
from msgspec import Raw, structs

from mosswalk.config import Team, load
from mosswalk.fleet.inventory import Machine
from mosswalk.fleet.manager import FleetManager
from mosswalk.jobs.registry import JobRegistry
from mosswalk.store import records
from mosswalk.store.records import TermRecord
from mosswalk.store.writer import Change
from mosswalk.wire.workers import Report, TaskReport
from tests.standins import FakeClock, shape
from tests.test_config import write
from tests.test_jobs import MirrorOf
from tests.test_offers import place, submit

S = 1_000_000
MACHINES = 900


class Led:
    """Leadership that never ends."""

    node, bound_us, on_term = "a", 20 * S, []
    term = TermRecord(3, "a", {"red": "a"})

    def leads(self):
        return True

    may_answer = may_start = leads

    def epoch(self):
        return 3

    def outbid(self, epoch):
        assert epoch <= 3

    def __init__(self):
        self.present = {"a", "b"}

    def present_in(self, zones):
        return self.present & set(zones.values())


@pytest.fixture
def led(tmp_path):
    settings = load(write(tmp_path))
    settings = structs.replace(
        settings, params=structs.replace(settings.params, teams=(Team("red"),))
    )
    mirror, clock = MirrorOf(), FakeClock()
    mirror.after_batch = lambda action: None
    mirror.value = lambda key: mirror.rows[key][0] if key in mirror.rows else None
    registry, owner = JobRegistry(mirror), SimpleNamespace(outcomes=lambda message: None)
    leadership = Led()
    manager = FleetManager(settings, mirror, registry, None, leadership, owner, None, None, clock)
    manager._leading, manager._first_epoch = True, 3
    manager._plan_scheduled = False
    manager.inventory.types = {"small": shape()}
    for i in range(MACHINES):
        name = f"vm-{i:06d}"
        manager.inventory.machines[name] = Machine(
            name, "small", "a", False, "up", 0, 0, "x", hears=True, seen_us=clock.us, tenure=1
        )
    offers, counts = manager._offers, SimpleNamespace(built=0, plans=0)

    def build(machine, inner=offers._build):
        counts.built += 1
        return inner(machine)

    offers._build = build
    manager._poke = lambda: setattr(counts, "plans", counts.plans + 1)
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
    assert led.manager.report(told)[0] == 200


def test_reports_that_tell_nothing_new_build_no_room_and_ask_for_no_plan(led):
    async def run():
        led.offers.refresh()
        assert len(led.offers.rooms()) == MACHINES
        led.counts.built = led.counts.plans = 0
        for tick in range(1, 4):
            led.clock.us += S
            for i in range(MACHINES):
                report(led, i, tick)
        assert led.offers.rooms() and led.counts.built == led.counts.plans == 0
        # One that has changed costs one.
        submit(led.mirror, tasks=1)
        place(led.mirror, led.registry, 1, "vm-000007")
        led.offers.rooms()
        led.counts.built = 0
        report(led, 7, 4, TaskReport("j-000001/0", 1, "running"))
        report(led, 7, 5, TaskReport("j-000001/0", 1, "running"))
        led.offers.rooms()
        assert led.counts.built == led.counts.plans == 1
        report(led, 7, 6, TaskReport("j-000001/0", 1, "exited", "done"))
        led.offers.rooms()
        assert led.counts.built == led.counts.plans == 2

    asyncio.run(run())


def test_a_machine_heard_of_again_after_a_silence_gives_room_again(led):
    async def run():
        led.offers.refresh()
        led.clock.us += 60 * S
        led.offers.refresh()
        assert led.offers.rooms() == []
        report(led, 5, 1)
        assert [room.machine for room in led.offers.rooms()] == ["vm-000005"]
        assert led.counts.plans == 1

    asyncio.run(run())


def test_a_zone_that_was_cut_off_is_given_time_to_come_back(led):
    """Released in the second in which their cut healed: 250 machines, tasks and all."""
    manager, clock = led.manager, led.clock
    zone = manager._settings.zone
    released = []
    manager.cloud = SimpleNamespace(release=lambda names, served: released.extend(names))
    for machine in manager.inventory.machines.values():
        machine.zone = zone
    manager._since_us = manager._listening_us = clock.us - 60 * S
    led.leadership.present = set()
    silent_us = (
        manager._failure_detector.silence_limits.lease_us
        + manager._failure_detector.silence_limits.silent_us
        + 2 * S
    )
    for _ in range(silent_us // S):
        clock.us += S
        manager._suspect()
    led.leadership.present = {zone}
    machines = list(manager.inventory.machines.values())
    for second in range(6):
        clock.us += S
        # Most are heard again before the last one.
        for machine in machines[: MACHINES * (second + 1) // 7]:
            machine.seen_us = clock.us
        manager._suspect()
    assert released == []
    for _ in range(4):
        clock.us += S
        manager._suspect()
    assert len(released) == MACHINES - MACHINES * 6 // 7


def test_a_leader_that_turned_reports_away_hears_the_machines_before_it_releases_any(led):
    """Seen on a recorded day: an outage of 52 s ended, and in that second all were released."""
    manager, clock, released = led.manager, led.clock, []
    manager.cloud = SimpleNamespace(release=lambda names, served: released.extend(names))
    led.leadership.may_answer = lambda: False
    for _ in range(104):
        clock.us += S // 2
        manager._tick()
    led.leadership.may_answer = lambda: True
    clock.us += S // 2
    manager._suspect()
    assert released == []
    clock.us += 8 * S
    machines = list(manager.inventory.machines.values())
    for machine in machines[5:]:
        machine.seen_us = clock.us
    manager._suspect()
    assert sorted(released) == [machine.name for machine in machines[:5]]


def test_a_leader_that_begins_while_the_cloud_is_down_uses_the_room_there_is_but_rents_none(led):
    manager = led.manager
    shapes = Raw(records.encode([shape(price=0.0, spot_price=0.0)]))
    led.mirror.commit(Change({}, {records.TYPES_KEY: shapes}))
    manager.inventory.types = {}
    manager._listed = manager._first = True
    manager._know_types()
    manager._offers.refresh()
    assert len(manager._offers.rooms()) == MACHINES
    assert not manager._ready_to_rent()
    manager._typed((shape(),))
    assert manager._ready_to_rent()


def test_in_an_outage_a_worker_that_the_leader_did_not_answer_is_kept_when_it_comes_back(led):
    """A leader lost its workers while the state service was down: every lease ran out."""
    manager, leadership = led.manager, led.leadership
    manager._leading = False
    leadership.leads, leadership.leader, leadership.may_keep = (
        lambda: False,
        lambda: "b",
        lambda: True,
    )
    outage = True
    manager.follower_reports.nobody_served = lambda: outage

    async def run():
        async def answer(epoch=3):
            told = Report("vm-000001", "1.2.3.4:5", "small", "a", 1, 9, epoch)
            return manager.report(told)[0]

        nonlocal outage
        assert await answer() == 421
        assert await answer() == 200
        led.clock.us += 4 * S
        assert await answer() == 200
        # It would drop our answer, and stay with us all the same.
        leadership.outbid = lambda epoch: None
        assert await answer(epoch=4) == 421
        outage = False
        assert await answer() == 421
        outage = True
        led.clock.us += manager._lease_us + S
        assert await answer() == 421

    asyncio.run(run())
