"""Gangs where troubles meet: the meetings of test_meetings.py, with gangs among the jobs."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.fault_injection import WITH_GANGS, Fault, play_day
from tests.test_meetings import MEETINGS, meetings

LOSSES = {
    "nothing": [],
    "machines die": [Fault(t, "die", pick=t % 2) for t in (12, 20, 28, 36, 50)],
    "machines hang and go on": [Fault(t, "hang", 6, t % 2) for t in (10, 18, 26, 40)],
    "machines hang for longer than a lease": [Fault(15, "hang", 25), Fault(45, "hang", 25, 1)],
    "machines are taken back with notice": [
        Fault(t, "notices", 10, t % 2) for t in range(10, 70, 6)
    ],
    "gangs are cancelled in every phase": [Fault(t, "cancel") for t in range(8, 60, 6)],
}


@pytest.mark.parametrize("loss", LOSSES)
def test_gangs_are_served_and_no_rule_breaks_where(loss):
    region = play_day(sorted(LOSSES).index(loss) + 50, LOSSES[loss], 20, WITH_GANGS)
    assert region.broken == []
    assert region.counts["gangs_started"] >= 3


@pytest.mark.parametrize("meeting", MEETINGS)
def test_no_rule_breaks_with_gangs_where(meeting):
    troubles, jobs, seed = MEETINGS[meeting]
    region = play_day(seed + 100, troubles, jobs, WITH_GANGS)
    assert region.broken == []
    assert region.counts["gangs_started"] >= 1


@settings(max_examples=25)
@given(st.integers(0, 10**6), meetings())
def test_no_rule_breaks_with_gangs_whatever_troubles_meet(seed, troubles):
    assert play_day(seed, troubles, 10, WITH_GANGS).broken == []
