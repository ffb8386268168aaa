"""Gangs where troubles meet: the meetings of test_meetings.py, with gangs among the jobs."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.fault_injection import JOB_KINDS_WITH_GANGS, Fault, run_scenario
from tests.test_meetings import FAULT_COMBINATIONS, fault_combinations

LOSSES = {
    "nothing": [],
    "machines die": [Fault(t, "die", selector=t % 2) for t in (12, 20, 28, 36, 50)],
    "machines hang and go on": [Fault(t, "hang", 6, t % 2) for t in (10, 18, 26, 40)],
    "machines hang for longer than a lease": [Fault(15, "hang", 25), Fault(45, "hang", 25, 1)],
    "machines are taken back with notice": [
        Fault(t, "notices", 10, t % 2) for t in range(10, 70, 6)
    ],
    "gangs are cancelled in every phase": [Fault(t, "cancel") for t in range(8, 60, 6)],
}


@pytest.mark.parametrize("loss", LOSSES)
def test_gangs_are_served_and_no_rule_breaks_where(loss):
    region = run_scenario(sorted(LOSSES).index(loss) + 50, LOSSES[loss], 20, JOB_KINDS_WITH_GANGS)
    assert region.violations == []
    assert region.counts["gangs_started"] >= 3


@pytest.mark.parametrize("meeting", FAULT_COMBINATIONS)
def test_no_rule_breaks_with_gangs_where(meeting):
    troubles, jobs, seed = FAULT_COMBINATIONS[meeting]
    region = run_scenario(seed + 100, troubles, jobs, JOB_KINDS_WITH_GANGS)
    assert region.violations == []
    assert region.counts["gangs_started"] >= 1


@settings(max_examples=25)
@given(st.integers(0, 10**6), fault_combinations())
def test_no_rule_breaks_with_gangs_whatever_troubles_meet(seed, troubles):
    assert run_scenario(seed, troubles, 10, JOB_KINDS_WITH_GANGS).violations == []
