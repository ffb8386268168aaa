from mosswalk.config import load
from mosswalk.fleet.inventory import Inventory
from mosswalk.fleet.renting import FleetScaler
from tests.standins import FakeClock, shape
from tests.test_config import write
from tests.test_placement import job

S = 1_000_000


def test_patience_for_steady_machines_ends_in_time_for_their_boot(tmp_path):
    clock, inventory = FakeClock(), Inventory()
    inventory.types = {"small": shape(boot_s=15.0)}
    renting = FleetScaler(load(write(tmp_path)), inventory, None, clock)
    begun_us = clock.us

    def patient(after_s, guaranteed=False, **changes):
        waiting = job(tasks=4, **changes)
        renting._stuck_since = {waiting.id: begun_us}
        clock.us = begun_us + after_s * S
        return renting._patient(waiting, guaranteed)

    assert patient(29) and not patient(31)
    assert patient(74, priority="idle") and not patient(76, priority="idle")
    assert not patient(0, guaranteed=True) and not patient(0, spot=False)
    assert not patient(0, priority="high")
    # Too close to its deadline for its estimate of 30 s and the boot.
    assert not patient(0, deadline_s=55.0) and patient(0, deadline_s=90.0)
