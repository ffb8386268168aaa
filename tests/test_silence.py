from hypothesis import given
from hypothesis import strategies as st

from mosswalk.fleet.silence import (
    SilenceLimits,
    is_reclaimed,
    machines_to_release,
    zones_with_many_late,
)

S = 1_000_000
PATIENCE = SilenceLimits(
    late_after_us=4 * S, silent_after_us=7 * S, lease_us=16 * S, kept_alive_lease_us=38 * S
)


def release(silences, cut_off=(), zone=lambda name: "z"):
    zone_of = {name: zone(name) for name in silences}
    return machines_to_release(
        silences, PATIENCE, zone_of, zones_with_many_late(silences, PATIENCE, zone_of), cut_off
    )


def seconds(**silences):
    return {name: s * S for name, s in silences.items()}


def test_a_lone_silent_machine_is_released_and_a_late_report_is_forgiven():
    assert release(seconds(a=8, b=1, c=2, d=0)) == ["a"]
    assert release(seconds(a=6, b=1)) == []


def test_a_cut_that_shows_in_one_machine_first_releases_none():
    """A recorded day: eleven machines fell silent within two seconds and all were released."""
    assert release(seconds(a=8, b=6, c=5, d=1, e=0)) == []


def test_many_silent_machines_go_once_their_leases_have_ended():
    assert release(seconds(a=24, b=24, c=22, d=22)) == ["a", "b"]


@given(st.dictionaries(st.text("abcdefgh", min_size=1, max_size=2), st.integers(0, 40 * S)))
def test_none_goes_before_its_time_and_the_dead_go_in_the_end(silences):
    gone = release(silences)
    assert all(silences[name] > 7 * S for name in gone)
    assert all(name in gone for name, s in silences.items() if s > 23 * S)


def test_a_machine_whose_notice_is_over_need_miss_one_report_only():
    assert is_reclaimed(3 * S, 10 * S, 11 * S, PATIENCE)
    assert not is_reclaimed(3 * S, 12 * S, 11 * S, PATIENCE) and not is_reclaimed(
        1 * S, 10 * S, 11 * S, PATIENCE
    )
    assert not is_reclaimed(6 * S, None, 11 * S, PATIENCE)


def test_a_cut_is_seen_by_zone_and_outlasts_those_who_may_keep_it_alive():
    """A third of the fleet was not quiet when the smaller of two zones was cut off."""
    silences = seconds(a1=8, a2=8, a3=5, b1=1, b2=0, b3=1, b4=0, b5=1, b6=0, b7=8)
    assert release(silences, zone=lambda name: name[0]) == ["b7"]
    late = seconds(a1=24, a2=24, a3=24)
    assert release(late, cut_off={"z"}) == [] and release(late) == ["a1", "a2", "a3"]
    assert release(seconds(a1=46, a2=46, a3=44), cut_off={"z"}) == ["a1", "a2"]
