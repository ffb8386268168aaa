from hypothesis import given
from hypothesis import strategies as st

from mosswalk.fleet.recent_workers import RecentWorkers, leader_unreachable_for_workers
from tests.fakes import FakeClock

S = 1_000_000


def test_a_leader_that_only_it_can_not_be_reached_by_the_workers_is_found_out():
    assert leader_unreachable_for_workers(up=600, heard=0, elsewhere=60)
    assert not leader_unreachable_for_workers(up=600, heard=0, elsewhere=59)
    # They are dead or cut off themselves.
    assert not leader_unreachable_for_workers(up=600, heard=0, elsewhere=0)
    # Part of them has another trouble.
    assert not leader_unreachable_for_workers(up=600, heard=60, elsewhere=540)
    assert not leader_unreachable_for_workers(up=2, heard=0, elsewhere=2)


@given(st.integers(0, 900), st.integers(0, 900), st.integers(0, 900))
def test_whoever_is_heard_better_than_the_others_goes_on(up, heard, elsewhere):
    if heard >= elsewhere:
        assert not leader_unreachable_for_workers(up, heard, elsewhere)


def test_a_machine_counts_once_and_for_a_while():
    clock = FakeClock()
    recent_workers = RecentWorkers(4 * S, clock)
    recent_workers.record("a")
    clock.us += 3 * S
    recent_workers.record("a")
    recent_workers.record("b")
    assert recent_workers.count() == 2
    clock.us += 3 * S
    assert recent_workers.count() == 2
    clock.us += 2 * S
    assert recent_workers.count() == 0
