"""Renting: how long tasks wait for spot machines, and the zone in which a gang's are rented."""

from types import SimpleNamespace

from mosswalk.config import Team, load
from mosswalk.fleet.inventory import Inventory
from mosswalk.fleet.renting import FleetScaler
from tests.fakes import FakeClock, machine_type
from tests.test_config import write_settings
from tests.test_offers import make_fleet, submit
from tests.test_placement import make_job

S = 1_000_000


def test_wait_for_spot_machines_ends_in_time_to_boot_on_demand_ones(tmp_path):
    clock, inventory = FakeClock(), Inventory()
    inventory.types = {"small": machine_type(boot_s=15.0)}
    renting = FleetScaler(load(write_settings(tmp_path)), inventory, None, clock)
    begun_us = clock.us

    def waits_for_spot(after_s, guaranteed=False, **changes):
        waiting = make_job(tasks=4, **changes)
        renting._blocked_since_us = {waiting.id: begun_us}
        clock.us = begun_us + after_s * S
        return renting._should_wait_for_spot(waiting, guaranteed)

    assert waits_for_spot(29) and not waits_for_spot(31)
    assert waits_for_spot(74, priority="idle") and not waits_for_spot(76, priority="idle")
    assert not waits_for_spot(0, guaranteed=True) and not waits_for_spot(0, spot=False)
    assert not waits_for_spot(0, priority="high")
    # Too close to its deadline for its estimate of 30 s and the boot.
    assert not waits_for_spot(0, deadline_s=55.0) and waits_for_spot(0, deadline_s=90.0)


def test_machines_for_a_one_zone_gang_are_rented_in_one_zone_and_then_in_the_next(tmp_path):
    _, mirror, registry, inventory, clock, settings = make_fleet(tmp_path, 3)
    inventory.machines["vm-0002"].zone = "b"
    submit(mirror, kind="group", tasks=6, one_zone=True, spot=False)
    scaler = FleetScaler(settings, inventory, registry, clock)
    queue = SimpleNamespace(team=Team("red"), unschedulable=[registry.jobs["j-000001"]])
    scaler.record_blocked_jobs([queue])

    def allowed_zones():
        (tasks,) = scaler.waiting_tasks()
        assert tasks.count == 6 and tasks.urgent
        return [zone for zone in "ab" if tasks.rule.allows(zone)]

    assert allowed_zones() == ["a"]
    # The zone stays the same, though more machines come up in the other, until that one's turn.
    inventory.machines["vm-0001"].zone = "b"
    assert allowed_zones() == ["a"]
    clock.us += 31 * S
    assert allowed_zones() == ["b"]


def test_small_task_is_not_left_waiting_for_machines_full_of_replicas(tmp_path):
    """They never become free, and no machine used to be rented for less than half of one."""
    _, mirror, registry, inventory, clock, settings = make_fleet(tmp_path, 1)
    clock.us += 100 * S
    submit(mirror, tasks=1, cpus=1.0, priority="idle", spot=False)
    scaler = FleetScaler(settings, inventory, registry, clock)
    blocked = [SimpleNamespace(team=Team("red"), unschedulable=[registry.jobs["j-000001"]])]

    def rented_after(seconds):
        clock.us += seconds * S
        scaler.record_blocked_jobs(blocked)
        groups_by_pool, _ = scaler.decide(scaler.waiting_tasks(), lambda _: None, 4, set())
        return sum(len(groups) for groups in groups_by_pool.values())

    assert [rented_after(seconds) for seconds in (0, 1, 30, 13)] == [0, 0, 0, 0]
    assert rented_after(2) == 1
