"""Whether a machine receives answers and commands, as far as its reports show."""

from hypothesis import given
from hypothesis import strategies as st

from mosswalk.fleet.inventory import Machine, report_shows_execution
from mosswalk.wire.workers import Command, Report, TaskReport

SECOND_US = 1_000_000
LEASE_US = 12 * SECOND_US
RUN_COMMAND = Command("run", "j-000001/0", 1)


def make_machine(**attributes):
    machine = Machine(
        "vm-1", "small", "a", False, "up", 0, 0, session=1, sequence=1, has_acknowledged_leader=True
    )
    for name, value in attributes.items():
        setattr(machine, name, value)
    return machine


def make_report(sequence, term=5, session=1, tasks=()):
    return Report("vm-1", "1.2.3.4:5", "small", "a", session, sequence, term, tasks=tasks)


def test_unexecuted_command_or_unacknowledged_term_marks_machine_as_not_receiving():
    machine = make_machine()
    machine.record_answer(5, (RUN_COMMAND,), 10 * SECOND_US)
    machine.check_answer_received(make_report(2), 12 * SECOND_US, LEASE_US)
    assert machine.not_receiving_since_us == 12 * SECOND_US
    machine.check_answer_received(make_report(3), 14 * SECOND_US, LEASE_US)
    assert machine.not_receiving_since_us == 12 * SECOND_US
    machine.check_answer_received(
        make_report(4, tasks=(TaskReport(RUN_COMMAND.task, 1, "pulling"),)),
        16 * SECOND_US,
        LEASE_US,
    )
    assert machine.not_receiving_since_us is None
    # A report made before the new leader's first answer can't acknowledge the new term yet.
    unanswered = make_machine(has_acknowledged_leader=False)
    unanswered.check_answer_received(make_report(2, term=4), 12 * SECOND_US, LEASE_US)
    assert unanswered.not_receiving_since_us is None
    unanswered.record_answer(5, (), 12 * SECOND_US)
    unanswered.check_answer_received(make_report(3, term=4), 14 * SECOND_US, LEASE_US)
    assert unanswered.not_receiving_since_us == 14 * SECOND_US


@given(st.integers(0, 30), st.booleans())
def test_lease_expiry_soon_after_answer_is_cleared_only_by_direct_answer(
    silence_s, answers_directly
):
    machine = make_machine(last_answer_at_us=10 * SECOND_US, last_answer_token=5)
    now_us = (10 + silence_s) * SECOND_US
    machine.check_answer_received(make_report(1, session=2), now_us, LEASE_US)
    machine.session = 2
    assert machine.needs_direct_answer == (silence_s < 7.2)
    # Reports alone, however many, do not show that answers arrive.
    machine.record_answer(5, (), now_us)
    machine.check_answer_received(make_report(2, session=2), now_us + SECOND_US, LEASE_US)
    assert (machine.not_receiving_since_us is not None) == machine.needs_direct_answer
    if answers_directly:
        machine.record_direct_answer()
        machine.check_answer_received(make_report(3, session=2), now_us + 2 * SECOND_US, LEASE_US)
        assert machine.not_receiving_since_us is None


@given(
    st.sampled_from(["run", "kill", "reap"]),
    st.sampled_from([None, "pulling", "running", "saving", "exited"]),
)
def test_report_shows_execution_of_each_command(op, phase):
    tasks = () if phase is None else (TaskReport("j-000001/0", 1, phase),)
    shown = report_shows_execution(Command(op, "j-000001/0", 1), make_report(2, tasks=tasks))
    expected = {
        "run": phase is not None,
        "kill": phase in (None, "saving", "exited"),
        "reap": phase is None,
    }
    assert shown == expected[op]
