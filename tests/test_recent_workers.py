"""Detecting a leader that workers cannot reach, by the workers that turn to other controllers."""

from hypothesis import given
from hypothesis import strategies as st

from mosswalk.fleet.recent_workers import RecentWorkers, leader_unreachable_for_workers
from tests.fakes import FakeClock

SECOND_US = 1_000_000


def test_leader_is_unreachable_if_workers_reach_only_other_controllers():
    assert leader_unreachable_for_workers(up=600, heard=0, elsewhere=60)
    assert not leader_unreachable_for_workers(up=600, heard=0, elsewhere=59)
    # The workers are dead or cut off from all controllers.
    assert not leader_unreachable_for_workers(up=600, heard=0, elsewhere=0)
    # The leader hears a tenth of the workers: another fault affects the rest.
    assert not leader_unreachable_for_workers(up=600, heard=60, elsewhere=540)
    assert not leader_unreachable_for_workers(up=2, heard=0, elsewhere=2)


@given(st.integers(0, 900), st.integers(0, 900), st.integers(0, 900))
def test_leader_that_hears_at_least_as_many_workers_as_the_others_keeps_leading(
    up, heard, elsewhere
):
    if heard >= elsewhere:
        assert not leader_unreachable_for_workers(up, heard, elsewhere)


def test_machine_counts_once_and_only_within_the_window():
    clock = FakeClock()
    recent_workers = RecentWorkers(4 * SECOND_US, clock)
    recent_workers.record("a")
    clock.us += 3 * SECOND_US
    recent_workers.record("a")
    recent_workers.record("b")
    assert recent_workers.count() == 2
    clock.us += 3 * SECOND_US
    assert recent_workers.count() == 2
    clock.us += 2 * SECOND_US
    assert recent_workers.count() == 0
