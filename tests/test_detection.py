"""Decisions of the failure detection: timeouts, suspicion, quorum, own stalls and settings."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from mosswalk.config.detection import DetectionTuning, load_detection
from mosswalk.config.operator import load_tuning
from mosswalk.detection.adaptive_timeout import AdaptiveTimeout
from mosswalk.detection.quorum import (
    ReceivedHeartbeat,
    collect_votes,
    is_cut_off,
    is_dead,
    quorum_size,
)
from mosswalk.detection.renewer import renewal_due
from mosswalk.detection.stall import StallMonitor
from mosswalk.detection.suspicion import PeerMonitor
from mosswalk.leadership.terms import assign_teams, next_term
from mosswalk.wire.peers import Heartbeat, LinkRow

SECOND_US = 1_000_000
TUNING = DetectionTuning()
CONFIG_TEMPLATE = "leadership {\n ttl_s = 6.0\n}\ndetection {\n %s\n}\n"


def test_detection_block_enables_detection():
    assert load_tuning("factory {\n}\n").detection is None
    assert load_tuning(CONFIG_TEMPLATE % "").detection == TUNING
    assert load_tuning(CONFIG_TEMPLATE % "probes = 0").detection.probes == 0


@pytest.mark.parametrize(
    ("line", "setting", "allowed"),
    [
        ("flor_s = 1.0", "detection.flor_s", "floor_s"),
        ("floor_s = 0.7", "detection.floor_s", "twice heartbeat_s (1)"),
        ("floor_s = 2.5", "detection.ceiling_s", "at least floor_s (2.5)"),
        ("ceiling_s = 6.0", "detection.ceiling_s", "below leadership.ttl_s (6)"),
        ("silent_s = 4.5", "detection.silent_s", "less ceiling_s (4)"),
        ("refused_s = 3.5", "detection.silent_s", "at least refused_s (3.5)"),
        ("refused_s = 0", "detection.refused_s", "above 0"),
        ("progress_s = 6.0", "detection.progress_s", "below leadership.ttl_s (6)"),
        ("settle_most_s = 1.0", "detection.settle_most_s", "at least settle_s (2)"),
        ("quantile = 1.0", "detection.quantile", "below 1"),
        ("margin = 0.5", "detection.margin", "at least 1"),
        ("probes = -1", "detection.probes", "at least 0"),
        ("heartbeat_s = 0.0", "detection.heartbeat_s", "at least 0.05"),
        ('floor_s = "long"', "detection", "floor_s"),
    ],
)
def test_invalid_setting_is_reported_with_its_name_and_allowed_values(line, setting, allowed):
    with pytest.raises(ValueError) as error:
        load_tuning(CONFIG_TEMPLATE % line)
    assert setting in str(error.value) and allowed in str(error.value)


def test_deployed_settings_are_the_defaults():
    with open("deploy/detection.hcl") as file:
        assert load_tuning(file.read()).detection == TUNING


@given(st.lists(st.integers(1, 60 * SECOND_US), max_size=80))
def test_timeout_stays_between_floor_and_ceiling(gaps):
    timeout = AdaptiveTimeout(TUNING)
    for gap_us in gaps:
        timeout.add_gap(gap_us)
    assert TUNING.floor_s * SECOND_US <= timeout.timeout_us() <= TUNING.ceiling_s * SECOND_US


def test_timeout_adapts_to_each_link_and_forgets_old_gaps():
    tuning = DetectionTuning(floor_s=1.0, ceiling_s=10.0)
    slow_link, fast_link = AdaptiveTimeout(tuning), AdaptiveTimeout(tuning)
    assert slow_link.timeout_us() == 10 * SECOND_US
    for _ in range(600):
        slow_link.add_gap(1_600_000)
        fast_link.add_gap(100_000)
    assert slow_link.timeout_us() == pytest.approx(4 * SECOND_US, rel=0.05)
    assert fast_link.timeout_us() == 1 * SECOND_US
    for _ in range(1100):
        slow_link.add_gap(100_000)
    assert slow_link.timeout_us() == 1 * SECOND_US


def test_own_stalls_and_clock_jumps_are_detected():
    monitor = StallMonitor(0, 5 * SECOND_US, 600_000)
    assert monitor.check(900_000, 5_900_000, 500_000) == 0
    monitor.record_tick(900_000, 5_900_000)
    # Late by more than the limit.
    assert monitor.check(3 * SECOND_US, 8 * SECOND_US, 500_000) == 1_600_000
    assert monitor.listening_since_us == 3 * SECOND_US and monitor.stalls == 1
    # The monotonic clock stopped while the machine was suspended.
    assert monitor.check(3_100_000, 18 * SECOND_US, 500_000) > 9 * SECOND_US
    assert monitor.listening_since_us == 3_100_000 and monitor.stalls == 2
    # Clock drift is not a jump.
    monitor.record_tick(3_600_000, 18_500_250)
    assert monitor.check(4_100_000, 19_000_500, 500_000) == 0


def record_contacts(peer, from_us, until_us, step_us=SECOND_US // 2, listening_us=0):
    now_us = from_us
    while now_us <= until_us:
        peer.record_contact("run", now_us, listening_us)
        peer.update_state(now_us, listening_us)
        now_us += step_us
    return now_us - step_us


def test_silent_peer_is_suspected_only_after_probing_others():
    peer = PeerMonitor("b", TUNING, 0)
    last_us = record_contacts(peer, 0, 20 * SECOND_US)
    timeout_us = peer.timeout.timeout_us()
    assert peer.update_state(last_us + timeout_us, 0) is None
    late_us = last_us + timeout_us + 1
    assert peer.needs_probe(late_us, 0)
    assert peer.update_state(late_us, 0) is None and not peer.suspected
    peer.probed = True
    change = peer.update_state(late_us, 0)
    assert (change.before, change.after) == ("alive", "silent")
    assert peer.suspected and not peer.needs_probe(late_us, 0)


def test_one_way_loss_is_distinguished_from_silence():
    peer = PeerMonitor("b", TUNING, 0)
    last_us = record_contacts(peer, 0, 20 * SECOND_US)
    peer.probed = True
    peer.heard_by_others_at_us = last_us + 2 * SECOND_US
    peer.update_state(last_us + 3 * SECOND_US, 0)
    assert peer.state == "unheard"
    peer.record_contact("run", last_us + 4 * SECOND_US, 0)
    peer.record_not_receiving(True, last_us + 4 * SECOND_US)
    peer.update_state(last_us + 4 * SECOND_US, 0)
    assert peer.state == "alive"
    record_contacts(peer, last_us + 4 * SECOND_US, last_us + 7 * SECOND_US)
    assert peer.state == "unhearing" and peer.suspected
    peer.record_not_receiving(False, last_us + 7 * SECOND_US)
    peer.update_state(last_us + 7 * SECOND_US, 0)
    assert peer.state == "alive" and peer.suspected


def test_stalled_observer_suspects_nobody_until_it_has_listened_for_the_timeout():
    peer = PeerMonitor("b", TUNING, 0)
    last_us = record_contacts(peer, 0, 20 * SECOND_US)
    peer.probed = True
    resumed_us = last_us + 60 * SECOND_US
    assert peer.update_state(resumed_us, resumed_us) is None
    assert not peer.needs_probe(resumed_us + SECOND_US, resumed_us)
    peer.update_state(resumed_us + SECOND_US, resumed_us)
    assert peer.state == "alive"
    peer.update_state(resumed_us + 3 * SECOND_US, resumed_us)
    assert peer.state == "silent"
    # The gap caused by the observer's own stall does not count for the link's timeout.
    peer.record_contact("run", resumed_us + 3 * SECOND_US, resumed_us)
    assert peer.timeout.timeout_us() < 2 * SECOND_US


def suspect_and_recover(peer, now_us):
    peer.probed = True
    peer.update_state(now_us, 0)
    assert peer.suspected
    started_us = now_us
    while peer.suspected:
        peer.record_contact("run", now_us, 0)
        peer.update_state(now_us, 0)
        now_us += SECOND_US // 2
    return now_us, now_us - started_us


def test_damping_of_a_flapping_link_grows_up_to_its_bound():
    peer = PeerMonitor("b", TUNING, 0)
    now_us, dampings_us = record_contacts(peer, 0, 20 * SECOND_US), []
    for _ in range(8):
        now_us, damping_us = suspect_and_recover(peer, now_us + 3 * SECOND_US)
        dampings_us.append(damping_us)
    assert dampings_us == sorted(dampings_us) and dampings_us[1] > 1.5 * dampings_us[0]
    assert dampings_us[-1] <= TUNING.settle_most_s * SECOND_US + SECOND_US
    # After a long stable period the damping is back at its minimum.
    now_us = record_contacts(peer, now_us, now_us + 200 * SECOND_US)
    assert suspect_and_recover(peer, now_us + 3 * SECOND_US)[1] == dampings_us[0]
    assert peer.false_suspicions == 9


def test_new_run_inherits_no_suspicion_from_previous_run():
    peer = PeerMonitor("b", TUNING, 0)
    last_us = record_contacts(peer, 0, 20 * SECOND_US)
    peer.probed = peer.verdict_given = True
    peer.update_state(last_us + 3 * SECOND_US, 0)
    assert peer.suspected
    peer.record_contact("next", last_us + 3 * SECOND_US + 300_000, 0)
    assert not peer.suspected and peer.state == "alive" and not peer.verdict_given


def make_silent_peer(run="run", refused=False):
    peer = PeerMonitor("x", TUNING, 0)
    peer.record_contact(run, SECOND_US, 0)
    peer.probed, peer.refused = True, refused
    peer.update_state(5 * SECOND_US, 0)
    assert peer.state == "silent"
    return peer


def make_heartbeat(
    observer, state="silent", at_us=5 * SECOND_US, run="run", refused=False, stalled=False
):
    row = LinkRow("x", run, state, 4000, refused)
    return observer, ReceivedHeartbeat(Heartbeat(observer, "r", stalled, (row,)), at_us)


@pytest.mark.parametrize(
    ("heartbeats", "voters"),
    [
        ([], ["a"]),
        ([make_heartbeat("b")], ["a", "b"]),
        ([make_heartbeat("b"), make_heartbeat("c")], ["a", "b", "c"]),
        ([make_heartbeat("b", "unheard"), make_heartbeat("c", "alive")], ["a"]),
        ([make_heartbeat("b", run="another")], ["a"]),
        ([make_heartbeat("b", at_us=SECOND_US)], ["a"]),
        ([make_heartbeat("b", stalled=True)], ["a"]),
        ([make_heartbeat("x")], ["a"]),
    ],
)
def test_votes_are_fresh_reports_of_other_observers_on_the_same_run(heartbeats, voters):
    votes = collect_votes(
        make_silent_peer(), "a", dict(heartbeats), 5 * SECOND_US + 1, 2 * SECOND_US
    )
    assert [vote.observer for vote in votes] == voters


@pytest.mark.parametrize(
    ("controller_count", "quorum"), [(1, 1), (2, 2), (3, 2), (4, 3), (5, 3), (7, 4)]
)
def test_quorum_is_more_than_half_of_all_controllers(controller_count, quorum):
    assert quorum_size(controller_count) == quorum
    peer = make_silent_peer()
    names = "bcdefgh"
    for count in range(1, quorum):
        votes = collect_votes(
            peer,
            "a",
            dict(make_heartbeat(n) for n in names[: count - 1]),
            5 * SECOND_US,
            2 * SECOND_US,
        )
        assert not is_dead(peer, votes, controller_count, 60 * SECOND_US, 0, TUNING)
    votes = collect_votes(
        peer,
        "a",
        dict(make_heartbeat(n) for n in names[: quorum - 1]),
        5 * SECOND_US,
        2 * SECOND_US,
    )
    assert is_dead(peer, votes, controller_count, 60 * SECOND_US, 0, TUNING)


@pytest.mark.parametrize(
    ("refused_here", "refused_elsewhere", "window_s"),
    [
        (True, True, TUNING.refused_s),
        (True, False, TUNING.silent_s),
        (False, True, TUNING.silent_s),
    ],
)
def test_refusal_shortens_the_window_only_if_all_voters_are_refused(
    refused_here, refused_elsewhere, window_s
):
    peer = make_silent_peer(refused=refused_here)
    votes = collect_votes(
        peer,
        "a",
        dict([make_heartbeat("b", refused=refused_elsewhere)]),
        5 * SECOND_US,
        2 * SECOND_US,
    )
    due_us = 5 * SECOND_US + round(window_s * SECOND_US)
    assert not is_dead(peer, votes, 3, due_us - 1, 0, TUNING)
    assert is_dead(peer, votes, 3, due_us, 0, TUNING)
    # After a stall the window starts when listening resumes. A silence gets one verdict only.
    assert not is_dead(peer, votes, 3, due_us, 5 * SECOND_US + 1, TUNING)
    peer.verdict_given = True
    assert not is_dead(peer, votes, 3, 60 * SECOND_US, 0, TUNING)


def test_cut_off_controller_stays_so_until_its_suspicion_ends():
    peer = make_silent_peer()
    # A silent peer is left to the quorum and the lease first.
    due_us = 5 * SECOND_US + round((TUNING.silent_s + TUNING.ceiling_s) * SECOND_US)
    assert not is_cut_off(peer, False, due_us - 1, 0, TUNING)
    assert is_cut_off(peer, False, due_us, 0, TUNING)
    peer.record_contact("run", due_us, 0)
    peer.update_state(due_us, 0)
    # Heard again, it is not newly cut off, but an existing cut-off lasts until the damping ends.
    assert not is_cut_off(peer, False, due_us, 0, TUNING)
    assert is_cut_off(peer, True, due_us, 0, TUNING)
    record_contacts(peer, due_us, due_us + 3 * SECOND_US)
    assert not is_cut_off(peer, True, due_us + 3 * SECOND_US, 0, TUNING)


@given(
    st.lists(st.sampled_from("abcdefg"), unique=True, max_size=7),
    st.dictionaries(st.sampled_from("abcdefg"), st.sampled_from(["m0", "m1", "m2", "m3"])),
    st.sets(st.sampled_from(["m0", "m1", "m2", "m3"])),
    st.sets(st.sampled_from(["m0", "m1", "m2", "m3"])),
)
def test_suspected_controller_keeps_its_teams_and_gets_no_others(
    teams, previous_owners, up, suspected
):
    owners = assign_teams(teams, "m0", up, previous_owners, suspected)
    assert set(owners) == set(teams) and set(owners.values()) <= up | {"m0"}
    if len(teams) < 2:
        return
    for node in (up & suspected) - {"m0"}:
        owned_before = {team for team in teams if previous_owners.get(team) == node}
        assert {team for team, owner in owners.items() if owner == node} == owned_before
    term = next_term(None, "m0", dict.fromkeys(up, "r"), teams)
    again = next_term(term, "m0", dict.fromkeys(up, "r"), teams, suspected=())
    assert again.owners == term.owners


@given(
    st.integers(0, 20 * SECOND_US),
    st.integers(0, 20 * SECOND_US),
    st.integers(0, 20 * SECOND_US),
    st.integers(0, 20 * SECOND_US),
)
def test_lease_is_never_renewed_for_a_loop_without_progress(
    now_us, renewed_at_us, progress_at_us, limit_us
):
    due = renewal_due(now_us, renewed_at_us, progress_at_us, SECOND_US, limit_us)
    assert not due or (now_us - progress_at_us <= limit_us and now_us - renewed_at_us > SECOND_US)


class PeerMonitorMachine(RuleBasedStateMachine):
    """A controller's monitor of another under any gaps, stalls, restarts and reports of others."""

    @initialize()
    def start(self):
        self.now_us = self.listening_us = 100 * SECOND_US
        self.peer = PeerMonitor("x", TUNING, self.now_us)
        self.peer.record_contact("0", self.now_us, self.listening_us)
        self.run_count = 0
        self.alive_since_us = None
        self.last_heard_us = self.now_us

    def update_and_check(self):
        was_suspected = self.peer.suspected
        self.peer.update_state(self.now_us, self.listening_us)
        if was_suspected and not self.peer.suspected:
            # A suspicion ends only after uninterrupted contact for at least ``settle_s``.
            assert self.alive_since_us is not None
            assert self.now_us - self.alive_since_us >= TUNING.settle_s * SECOND_US
        if self.peer.state != "alive":
            self.alive_since_us = None
        elif self.alive_since_us is None:
            self.alive_since_us = self.now_us

    @rule(gap_us=st.integers(1, 900_000), not_receiving=st.booleans())
    def receive_contact(self, gap_us, not_receiving):
        self.now_us += gap_us
        self.peer.record_contact(str(self.run_count), self.now_us, self.listening_us)
        self.peer.record_not_receiving(not_receiving, self.now_us)
        self.last_heard_us = self.now_us
        self.update_and_check()

    @rule(gap_us=st.integers(1, 4 * SECOND_US))
    def wait(self, gap_us):
        self.now_us += gap_us
        if self.peer.needs_probe(self.now_us, self.listening_us):
            self.peer.probed = True
        self.update_and_check()

    @rule(stall_us=st.integers(SECOND_US, 60 * SECOND_US))
    def stall(self, stall_us):
        state_before = self.peer.state
        self.now_us += stall_us
        self.listening_us = self.now_us
        self.update_and_check()
        # The observer's own stall causes no new suspicion.
        assert self.peer.state == state_before or self.peer.state in ("alive", "unhearing")

    @rule(age_us=st.integers(0, 5 * SECOND_US))
    def receive_contact_report(self, age_us):
        self.peer.heard_by_others_at_us = self.now_us - age_us
        self.update_and_check()

    @rule()
    def restart(self):
        self.run_count += 1
        self.now_us += 300_000
        self.peer.record_contact(str(self.run_count), self.now_us, self.listening_us)
        self.last_heard_us, self.alive_since_us = self.now_us, None
        assert not self.peer.suspected
        self.update_and_check()

    @invariant()
    def silence_is_suspected_only_after_listening_beyond_the_floor(self):
        if self.peer.state in ("silent", "unheard") and self.last_heard_us >= self.listening_us:
            assert self.now_us - self.last_heard_us > TUNING.floor_s * SECOND_US

    # The window is the time that the silence must last before a verdict: ``refused_s`` if all
    # votes say that connections are refused, otherwise ``silent_s``. Checked is the shorter one.
    @invariant()
    def no_verdict_without_quorum_or_within_the_window(self):
        # One vote of three controllers is no quorum, however long the peer has been silent. The
        # votes of others count if they are at most 2 s old.
        own_votes = collect_votes(self.peer, "a", {}, self.now_us, 2 * SECOND_US)
        assert not is_dead(self.peer, own_votes, 3, self.now_us + 60 * SECOND_US, 0, TUNING)
        heartbeats = dict([make_heartbeat("b", at_us=self.now_us, run=self.peer.run)])
        votes = collect_votes(self.peer, "a", heartbeats, self.now_us, 2 * SECOND_US)
        if is_dead(self.peer, votes, 3, self.now_us, self.listening_us, TUNING):
            assert self.peer.state == "silent" and self.peer.suspected
            assert self.now_us - self.listening_us >= TUNING.refused_s * SECOND_US


TestPeerMonitor = PeerMonitorMachine.TestCase


def test_timeout_ceiling_above_the_lease_duration_is_rejected():
    with pytest.raises(ValueError, match="ceiling_s"):
        load_detection({}, 1.5)
