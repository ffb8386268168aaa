from types import SimpleNamespace

from mosswalk.config import Team, load
from mosswalk.fleet.inventory import Inventory
from mosswalk.fleet.renting import FleetScaler
from tests.fakes import FakeClock, machine_type
from tests.test_config import write_settings
from tests.test_offers import make_fleet, submit
from tests.test_placement import make_job

S = 1_000_000


def test_patience_for_steady_machines_ends_in_time_for_their_boot(tmp_path):
    clock, inventory = FakeClock(), Inventory()
    inventory.types = {"small": machine_type(boot_s=15.0)}
    renting = FleetScaler(load(write_settings(tmp_path)), inventory, None, clock)
    begun_us = clock.us

    def patient(after_s, guaranteed=False, **changes):
        waiting = make_job(tasks=4, **changes)
        renting._stuck_since = {waiting.id: begun_us}
        clock.us = begun_us + after_s * S
        return renting._should_wait_for_spot(waiting, guaranteed)

    assert patient(29) and not patient(31)
    assert patient(74, priority="idle") and not patient(76, priority="idle")
    assert not patient(0, guaranteed=True) and not patient(0, spot=False)
    assert not patient(0, priority="high")
    # Too close to its deadline for its estimate of 30 s and the boot.
    assert not patient(0, deadline_s=55.0) and patient(0, deadline_s=90.0)


def test_machines_for_a_gang_in_one_zone_are_rented_in_one_zone_and_then_in_the_next(tmp_path):
    _, mirror, registry, inventory, clock, settings = make_fleet(tmp_path, 3)
    inventory.machines["vm-0002"].zone = "b"
    submit(mirror, kind="group", tasks=6, one_zone=True, spot=False)
    scaler = FleetScaler(settings, inventory, registry, clock)
    queue = SimpleNamespace(team=Team("red"), unschedulable=[registry.jobs["j-000001"]])
    scaler.record_blocked_jobs([queue])

    def zones():
        (tasks,) = scaler.waiting_tasks()
        assert tasks.count == 6 and tasks.urgent
        return [zone for zone in "ab" if tasks.rule.allows(zone)]

    assert zones() == ["a"]
    # It stays where it was, though more machines come up elsewhere, until it is the other's turn.
    inventory.machines["vm-0001"].zone = "b"
    assert zones() == ["a"]
    clock.us += 31 * S
    assert zones() == ["b"]
