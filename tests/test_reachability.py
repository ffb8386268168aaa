"""Which reports tell something, and whether a machine hears: deaf machines and late copies."""

from hypothesis import given
from hypothesis import strategies as st

from mosswalk.fleet.inventory import Machine, carried_out
from mosswalk.wire.workers import Order, Report, TaskReport

S = 1_000_000
LEASE_US = 12 * S
RUN = Order("run", "j-000001/0", 1)


def machine(**changes):
    made = Machine("vm-1", "small", "a", False, "up", 0, 0, tenure=1, tick=1, hears=True)
    for name, value in changes.items():
        setattr(made, name, value)
    return made


def report(tick, epoch=5, tenure=1, tasks=()):
    return Report("vm-1", "1.2.3.4:5", "small", "a", tenure, tick, epoch, tasks=tasks)


def test_an_order_left_undone_or_an_epoch_not_taken_up_is_a_sign_of_deafness():
    deaf = machine()
    deaf.told(5, (RUN,), 10 * S)
    deaf.note_hearing(report(2), 12 * S, LEASE_US)
    assert deaf.deaf_since_us == 12 * S
    deaf.note_hearing(report(3), 14 * S, LEASE_US)
    assert deaf.deaf_since_us == 12 * S
    deaf.note_hearing(report(4, tasks=(TaskReport(RUN.task, 1, "pulling"),)), 16 * S, LEASE_US)
    assert deaf.deaf_since_us is None
    # A new leader's first answer has not been heard yet when the report before it was made.
    fresh = machine(hears=False)
    fresh.note_hearing(report(2, epoch=4), 12 * S, LEASE_US)
    assert fresh.deaf_since_us is None
    fresh.told(5, (), 12 * S)
    fresh.note_hearing(report(3, epoch=4), 14 * S, LEASE_US)
    assert fresh.deaf_since_us == 14 * S


@given(st.integers(0, 30), st.booleans())
def test_a_lease_that_runs_out_while_answered_must_be_explained_by_an_answer_to_orders(
    silence_s, answers
):
    one = machine(told_us=10 * S, told_epoch=5)
    now_us = (10 + silence_s) * S
    one.note_hearing(report(1, tenure=2), now_us, LEASE_US)
    one.tenure = 2
    assert one.must_prove == (silence_s < 7.2)
    # Its reports alone do not clear it, however many.
    one.told(5, (), now_us)
    one.note_hearing(report(2, tenure=2), now_us + S, LEASE_US)
    assert (one.deaf_since_us is not None) == one.must_prove
    if answers:
        one.answered_orders()
        one.note_hearing(report(3, tenure=2), now_us + 2 * S, LEASE_US)
        assert one.deaf_since_us is None


@given(
    st.sampled_from(["run", "kill", "reap"]),
    st.sampled_from([None, "pulling", "running", "saving", "exited"]),
)
def test_what_a_report_must_show_of_an_order(op, phase):
    tasks = () if phase is None else (TaskReport("j-000001/0", 1, phase),)
    shown = carried_out(Order(op, "j-000001/0", 1), report(2, tasks=tasks))
    want = {
        "run": phase is not None,
        "kill": phase in (None, "saving", "exited"),
        "reap": phase is None,
    }
    assert shown == want[op]
