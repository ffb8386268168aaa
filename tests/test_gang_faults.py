"""Faults while gangs run: single kinds, and the combinations of test_combined_faults.py."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.fault_injection import JOB_KINDS_WITH_GANGS, Fault, run_scenario
from tests.test_combined_faults import FAULT_COMBINATIONS, fault_combinations

# Each has its faults and its seed.
GANG_FAULTS = {
    "no_fault": ([], 55),
    "machines_destroyed": (
        [Fault(t, "destroy_machines", selector=t % 2) for t in (12, 20, 28, 36, 50)],
        52,
    ),
    "short_hangs": ([Fault(t, "hang", 6, t % 2) for t in (10, 18, 26, 40)], 53),
    "hangs_past_lease": ([Fault(15, "hang", 25), Fault(45, "hang", 25, 1)], 54),
    "spot_machines_reclaimed": (
        [Fault(t, "machines_reclaimed", 10, t % 2) for t in range(10, 70, 6)],
        51,
    ),
    "gangs_withdrawn_in_every_phase": ([Fault(t, "cancel") for t in range(8, 60, 6)], 50),
}


@pytest.mark.parametrize("fault_case", GANG_FAULTS)
def test_gangs_start_and_no_rule_is_violated_under_single_faults(fault_case):
    faults, seed = GANG_FAULTS[fault_case]
    region = run_scenario(seed, faults, 20, JOB_KINDS_WITH_GANGS)
    assert region.violations == []
    assert region.counts["gangs_started"] >= 3


@pytest.mark.parametrize("combination", FAULT_COMBINATIONS)
def test_no_rule_is_violated_with_gangs_under_combined_faults(combination):
    faults, job_count, seed = FAULT_COMBINATIONS[combination]
    region = run_scenario(seed + 100, faults, job_count, JOB_KINDS_WITH_GANGS)
    assert region.violations == []
    assert region.counts["gangs_started"] >= 1


@settings(max_examples=25)
@given(st.integers(0, 10**6), fault_combinations())
def test_no_rule_is_violated_with_gangs_under_random_faults(seed, faults):
    assert run_scenario(seed, faults, 10, JOB_KINDS_WITH_GANGS).violations == []
