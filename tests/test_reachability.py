"""Which reports tell something, and whether a machine hears: deaf machines and late copies."""

from hypothesis import given
from hypothesis import strategies as st

from mosswalk.fleet.inventory import Machine, report_shows_execution
from mosswalk.wire.workers import Command, Report, TaskReport

S = 1_000_000
LEASE_US = 12 * S
RUN = Command("run", "j-000001/0", 1)


def machine(**changes):
    made = Machine(
        "vm-1", "small", "a", False, "up", 0, 0, session=1, sequence=1, has_acknowledged_leader=True
    )
    for name, value in changes.items():
        setattr(made, name, value)
    return made


def report(tick, epoch=5, tenure=1, tasks=()):
    return Report("vm-1", "1.2.3.4:5", "small", "a", tenure, tick, epoch, tasks=tasks)


def test_an_order_left_undone_or_an_epoch_not_taken_up_is_a_sign_of_deafness():
    deaf = machine()
    deaf.record_answer(5, (RUN,), 10 * S)
    deaf.check_answer_received(report(2), 12 * S, LEASE_US)
    assert deaf.not_receiving_since_us == 12 * S
    deaf.check_answer_received(report(3), 14 * S, LEASE_US)
    assert deaf.not_receiving_since_us == 12 * S
    deaf.check_answer_received(
        report(4, tasks=(TaskReport(RUN.task, 1, "pulling"),)), 16 * S, LEASE_US
    )
    assert deaf.not_receiving_since_us is None
    # A new leader's first answer has not been heard yet when the report before it was made.
    fresh = machine(has_acknowledged_leader=False)
    fresh.check_answer_received(report(2, epoch=4), 12 * S, LEASE_US)
    assert fresh.not_receiving_since_us is None
    fresh.record_answer(5, (), 12 * S)
    fresh.check_answer_received(report(3, epoch=4), 14 * S, LEASE_US)
    assert fresh.not_receiving_since_us == 14 * S


@given(st.integers(0, 30), st.booleans())
def test_a_lease_that_runs_out_while_answered_must_be_explained_by_an_answer_to_orders(
    silence_s, answers
):
    one = machine(last_answer_at_us=10 * S, last_answer_term=5)
    now_us = (10 + silence_s) * S
    one.check_answer_received(report(1, tenure=2), now_us, LEASE_US)
    one.session = 2
    assert one.needs_direct_answer == (silence_s < 7.2)
    # Its reports alone do not clear it, however many.
    one.record_answer(5, (), now_us)
    one.check_answer_received(report(2, tenure=2), now_us + S, LEASE_US)
    assert (one.not_receiving_since_us is not None) == one.needs_direct_answer
    if answers:
        one.record_direct_answer()
        one.check_answer_received(report(3, tenure=2), now_us + 2 * S, LEASE_US)
        assert one.not_receiving_since_us is None


@given(
    st.sampled_from(["run", "kill", "reap"]),
    st.sampled_from([None, "pulling", "running", "saving", "exited"]),
)
def test_what_a_report_must_show_of_an_order(op, phase):
    tasks = () if phase is None else (TaskReport("j-000001/0", 1, phase),)
    shown = report_shows_execution(Command(op, "j-000001/0", 1), report(2, tasks=tasks))
    want = {
        "run": phase is not None,
        "kill": phase in (None, "saving", "exited"),
        "reap": phase is None,
    }
    assert shown == want[op]
