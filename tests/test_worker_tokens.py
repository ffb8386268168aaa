"""Tokens of single machines: which messages a worker refuses once an attempt has been reaped."""

from types import SimpleNamespace

import msgspec
from hypothesis import given
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from mosswalk.config import WorkerLimits
from mosswalk.fleet.command_log import CommandLog
from mosswalk.fleet.command_sender import CommandSender
from mosswalk.fleet.follower_reports import FollowerReports
from mosswalk.fleet.inventory import Inventory, Machine
from mosswalk.fleet.messages import DirectCommandsDone
from mosswalk.fleet.report_intake import ReportIntake
from mosswalk.fleet.worker_tokens import WorkerTokens
from mosswalk.wire.tokens import first_token_of_range, is_last_of_range, term_of_token
from mosswalk.wire.workers import Command, Report, ReportAnswer, TaskReport
from tests.fakes import FakeClock

LIMITS = WorkerLimits(1.5, 12.0, 42.0, 20.0, 5.0)
TASKS = tuple(TaskReport(f"j-000001/{i}", 1, "exited", "done") for i in range(3))


class Term:
    """The leader's term, as ``WorkerTokens`` and the intake of reports see it."""

    def __init__(self, number=5, ranged=True):
        self.number, self.ranged, self.new_terms_requested = number, ranged, 0

    def term_number(self):
        return self.number

    def first_token(self):
        return first_token_of_range(self.number) if self.ranged else self.number

    def has_token_range(self):
        return self.ranged

    def request_new_term(self):
        self.new_terms_requested += 1

    def may_start_tasks(self):
        return True


def make_machine():
    machine = Machine("vm-1", "small", "a", False, "up", 0, 0, "vm-1:9000", session=1)
    machine.has_acknowledged_leader = True
    return machine


@given(st.integers(1, 1 << 23), st.integers(1, 1 << 23))
def test_tokens_are_ordered_by_term_and_tell_their_term(one, other):
    assert term_of_token(one) == term_of_token(first_token_of_range(one)) == one
    last = first_token_of_range(one + 1) - 1
    assert term_of_token(last) == one and is_last_of_range(last)
    assert (first_token_of_range(one) < first_token_of_range(other)) == (one < other)
    # Every range is above all tokens of terms without one.
    assert one < first_token_of_range(other)


class CopiesOfStarts(RuleBasedStateMachine):
    """One worker, its leader's tokens, and all starts ever sent, of which copies may arrive."""

    def __init__(self):
        super().__init__()
        self.term = Term(1, ranged=False)
        self.tokens = WorkerTokens(self.term)
        self.machine = make_machine()
        self.worker_token = 0
        self.sent: list[tuple[int, int]] = []
        self.known: set[int] = set()
        self.reaped: set[int] = set()
        self.next_attempt = 1

    def receive(self, token):
        if token < self.worker_token:
            return False
        self.worker_token = token
        return True

    @rule(arrives=st.booleans())
    def start(self, arrives):
        token = self.tokens.current(self.machine)
        self.machine.record_starts(token, [("j-000001/0", self.next_attempt)])
        self.sent.append((token, self.next_attempt))
        if arrives and self.receive(token):
            self.known.add(self.next_attempt)
        self.next_attempt += 1

    @precondition(lambda self: self.known)
    @rule(data=st.data(), arrives=st.booleans())
    def reap(self, data, arrives):
        attempt = data.draw(st.sampled_from(sorted(self.known)))
        if not self.tokens.outdate_starts(self.machine) and self.tokens.may_start_again(
            self.machine, ("j-000001/0", attempt)
        ):
            return
        if arrives and self.receive(self.tokens.current(self.machine)):
            self.known.discard(attempt)
            self.reaped.add(attempt)

    @precondition(lambda self: self.sent)
    @rule(data=st.data())
    def copy_arrives(self, data):
        token, attempt = data.draw(st.sampled_from(self.sent))
        if self.receive(token):
            self.known.add(attempt)

    @rule(upgraded=st.booleans())
    def new_term(self, upgraded):
        self.term.number += 1
        self.term.ranged = self.term.ranged or upgraded

    @rule()
    def lose_and_regain_leadership(self):
        """In the same term; what was known of the machine is lost with the inventory."""
        self.tokens.reset()
        self.machine = make_machine()

    @invariant()
    def no_copy_would_start_a_reaped_attempt(self):
        assert not [a for t, a in self.sent if a in self.reaped and t >= self.worker_token]

    @invariant()
    def tokens_stay_within_the_term(self):
        token = self.tokens.current(self.machine)
        assert token >= self.tokens.lowest() >= self.term.first_token()
        assert term_of_token(token) == self.term.number
        assert self.machine.raised_token or token >= self.worker_token


test_no_copy_outlives_the_reap_of_its_attempt = CopiesOfStarts.TestCase


def test_token_is_raised_once_for_all_starts_before_a_reap():
    tokens, machine = WorkerTokens(Term()), make_machine()
    first = tokens.current(machine)
    assert tokens.outdate_starts(machine) and tokens.current(machine) == first
    machine.started_with_token = first
    for _ in range(3):
        assert tokens.outdate_starts(machine) and tokens.current(machine) == first + 1
    assert tokens.raised == 1
    # Other machines keep theirs.
    assert tokens.current(make_machine()) == tokens.current(None) == first


def test_exhausted_range_requests_a_new_term_and_nothing_is_reaped_before_it():
    term, machine = Term(), make_machine()
    tokens = WorkerTokens(term)
    machine.raised_token = machine.started_with_token = first_token_of_range(6) - 1
    assert not tokens.outdate_starts(machine) and term.new_terms_requested == 1
    term.number = 6
    assert tokens.outdate_starts(machine)
    assert tokens.current(machine) == first_token_of_range(6)


def test_without_ranges_tokens_are_the_numbers_of_terms():
    term, machine = Term(5, ranged=False), make_machine()
    tokens = WorkerTokens(term)
    assert tokens.outdate_starts(machine) and tokens.current(machine) == 5
    # Only a later term outdates a start, whatever is forgotten of it.
    machine.started_with_token = 5
    assert not tokens.outdate_starts(machine) and tokens.current(machine) == 5
    tokens.reset()
    machine = make_machine()
    assert not tokens.outdate_starts(machine) and tokens.current(machine) == 5
    assert tokens.raised == term.new_terms_requested == 0
    term.number = 6
    assert tokens.outdate_starts(machine) and tokens.current(machine) == 6


def make_intake(ranged=True):
    term = Term(ranged=ranged)
    tokens, inventory, machine = WorkerTokens(term), Inventory(), make_machine()
    inventory.machines["vm-1"] = machine
    machine.started_with_token = tokens.current(machine)
    intake = ReportIntake(
        LIMITS,
        inventory,
        SimpleNamespace(attempts_on=lambda _: {}, jobs={}),
        term,
        tokens,
        SimpleNamespace(is_silent=lambda _: False, mark_changed=lambda _: None),
        None,
        None,
        CommandLog(),
        SimpleNamespace(grace_s=lambda *_: None),
        SimpleNamespace(is_unhealthy=lambda _: False, record_exit=lambda *_: None),
        SimpleNamespace(fleet_changed=lambda: None),
        FakeClock(),
    )
    return intake, tokens


def test_ended_attempts_wait_for_the_next_term_where_a_term_has_one_token():
    """Guards against review/5: ran_twice by a copy of a start whose attempt had been reaped."""
    intake, tokens = make_intake(ranged=False)
    term, machine, bound = intake._leadership, intake._inventory.machines["vm-1"], 256
    machine.record_starts(term.number, [(f"j-000001/{i}", 1) for i in range(bound + 1)])
    for sequence, count in ((1, 1), (2, bound), (3, bound + 1), (4, bound + 1)):
        exits = tuple(TaskReport(f"j-000001/{i}", 1, "exited", "done") for i in range(count))
        report = make_report(sequence, term.number, exits)
        assert intake.process(report, is_periodic=True) == []
        assert bool(term.new_terms_requested) == (count > bound)
    # In the next term they are reaped, whatever has been started with its token.
    term.number += 1
    machine.record_starts(term.number, [("j-000001/0", 2)])
    exits += (TaskReport("j-000001/0", 2, "exited", "done"),)
    reaps = intake.process(make_report(5, term.number - 1, exits), is_periodic=True)
    assert [(c.op, c.task, c.attempt) for c in reaps] == [
        ("reap", task.task, task.attempt) for task in exits[:-1]
    ]
    assert intake.answer_token(report) == tokens.lowest() == term.number


def make_report(sequence, token, tasks):
    return Report("vm-1", "vm-1:9000", "small", "a", 1, sequence, token, tasks=tasks)


def test_answer_that_reaps_carries_a_token_above_that_of_the_start():
    intake, tokens = make_intake()
    report = make_report(1, tokens.lowest(), TASKS)
    assert [command.op for command in intake.process(report, is_periodic=True)] == ["reap"] * 3
    assert intake.answer_token(report) == tokens.lowest() + 1
    # The answer to /orders reaps nothing, so it raises nothing.
    assert intake.process(make_report(2, tokens.lowest(), TASKS), is_periodic=False) == []
    assert tokens.raised == 1


def test_start_refused_for_a_raised_token_is_sent_again_at_once():
    tokens, machine, sent = WorkerTokens(Term()), make_machine(), []
    sender = CommandSender(
        Inventory(), None, None, tokens, None, None, None, None, FakeClock(), 9, CommandLog()
    )
    sender.send = lambda _, command: sent.append(command)
    token, start = tokens.current(machine), (TASKS[0].task, 1)

    def answered(report):
        return DirectCommandsDone("vm-1", token, 1, (start, (TASKS[1].task, 1)), True, report)

    refused = make_report(1, token + 1, TASKS[1:])
    sender.resend_refused_starts(machine, answered(refused))
    # The leader knows of no higher token, so this was not the reason.
    assert sent == []
    machine.started_with_token = token
    assert tokens.outdate_starts(machine)
    sender.resend_refused_starts(machine, answered(None))
    sender.resend_refused_starts(machine, answered(make_report(1, token + 1, TASKS)))
    assert sent == []
    sender.resend_refused_starts(machine, answered(refused))
    assert sent == [Command("run", *start)]


def test_follower_renews_a_lease_with_the_token_that_the_worker_has_seen():
    term = Term()
    leadership = SimpleNamespace(
        node="b",
        leader=lambda: "a",
        term_number=term.term_number,
        first_token=term.first_token,
        may_renew_worker_leases_as_follower=lambda: True,
    )
    reports = FollowerReports(
        LIMITS, SimpleNamespace(jobs={}), leadership, CommandLog(), FakeClock()
    )
    reports.no_peer_reaches_state_service = reports.no_leader_reachable = lambda: True
    first = term.first_token()
    for token, answered_with in ((0, first), (first - 9, first), (first + 7, first + 7)):
        status, body = reports.answer(make_report(1, token, ()))
        assert status == 200
        assert msgspec.json.decode(body, type=ReportAnswer).token == answered_with
    assert reports.answer(make_report(1, first_token_of_range(6), ()))[0] == 421
