"""Failure detection's decisions: patience, suspicion, quorum, own stalls, settings."""

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

S = 1_000_000
TUNING = DetectionTuning()
ON = "leadership {\n ttl_s = 6.0\n}\ndetection {\n %s\n}\n"


def test_the_block_turns_it_on_and_is_checked():
    assert load_tuning("factory {\n}\n").detection is None
    assert load_tuning(ON % "").detection == TUNING
    assert load_tuning(ON % "probes = 0").detection.probes == 0


@pytest.mark.parametrize(
    ("line", "named", "allowed"),
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
def test_a_bad_block_is_told_by_setting_and_what_is_allowed(line, named, allowed):
    with pytest.raises(ValueError) as error:
        load_tuning(ON % line)
    assert named in str(error.value) and allowed in str(error.value)


def test_what_deploy_offers_can_be_used():
    with open("deploy/detection.hcl") as file:
        assert load_tuning(file.read()).detection == TUNING


@given(st.lists(st.integers(1, 60 * S), max_size=80))
def test_patience_stays_between_floor_and_ceiling(gaps):
    patience = AdaptiveTimeout(TUNING)
    for gap_us in gaps:
        patience.add_gap(gap_us)
    assert TUNING.floor_s * S <= patience.timeout_us() <= TUNING.ceiling_s * S


def test_patience_is_learnt_for_each_link_and_old_habits_are_forgotten():
    tuning = DetectionTuning(floor_s=1.0, ceiling_s=10.0)
    slow, quick = AdaptiveTimeout(tuning), AdaptiveTimeout(tuning)
    assert slow.timeout_us() == 10 * S
    for _ in range(600):
        slow.add_gap(1_600_000)
        quick.add_gap(100_000)
    assert slow.timeout_us() == pytest.approx(4 * S, rel=0.05)
    assert quick.timeout_us() == 1 * S
    for _ in range(1100):
        slow.add_gap(100_000)
    assert slow.timeout_us() == 1 * S


def test_own_stalls_and_jumps_of_the_clock_are_noticed():
    stall = StallMonitor(0, 5 * S, 600_000)
    assert stall.check(900_000, 5_900_000, 500_000) == 0
    stall.record_tick(900_000, 5_900_000)
    # Late by more than the limit.
    assert stall.check(3 * S, 8 * S, 500_000) == 1_600_000
    assert stall.listening_since_us == 3 * S and stall.stalls == 1
    # The steady clock stood while the machine was suspended.
    assert stall.check(3_100_000, 18 * S, 500_000) > 9 * S
    assert stall.listening_since_us == 3_100_000 and stall.stalls == 2
    # Drift is no jump.
    stall.record_tick(3_600_000, 18_500_250)
    assert stall.check(4_100_000, 19_000_500, 500_000) == 0


def heard_for(peer, from_us, until_us, step_us=S // 2, listening_us=0):
    now_us = from_us
    while now_us <= until_us:
        peer.record_contact("run", now_us, listening_us)
        peer.update_state(now_us, listening_us)
        now_us += step_us
    return now_us - step_us


def test_a_silence_is_suspected_after_others_were_asked():
    peer = PeerMonitor("b", TUNING, 0)
    last_us = heard_for(peer, 0, 20 * S)
    patience_us = peer.timeout.timeout_us()
    assert peer.update_state(last_us + patience_us, 0) is None
    late_us = last_us + patience_us + 1
    assert peer.needs_probe(late_us, 0)
    assert peer.update_state(late_us, 0) is None and not peer.suspected
    peer.probed = True
    change = peer.update_state(late_us, 0)
    assert (change.before, change.after) == ("alive", "silent")
    assert peer.suspected and not peer.needs_probe(late_us, 0)


def test_one_way_loss_is_told_apart():
    peer = PeerMonitor("b", TUNING, 0)
    last_us = heard_for(peer, 0, 20 * S)
    peer.probed = True
    peer.heard_by_others_at_us = last_us + 2 * S
    peer.update_state(last_us + 3 * S, 0)
    assert peer.state == "unheard"
    peer.record_contact("run", last_us + 4 * S, 0)
    peer.record_not_receiving(True, last_us + 4 * S)
    peer.update_state(last_us + 4 * S, 0)
    assert peer.state == "alive"
    heard_for(peer, last_us + 4 * S, last_us + 7 * S)
    assert peer.state == "unhearing" and peer.suspected
    peer.record_not_receiving(False, last_us + 7 * S)
    peer.update_state(last_us + 7 * S, 0)
    assert peer.state == "alive" and peer.suspected


def test_who_stood_still_suspects_nobody_until_it_has_listened_again():
    peer = PeerMonitor("b", TUNING, 0)
    last_us = heard_for(peer, 0, 20 * S)
    peer.probed = True
    woke_us = last_us + 60 * S
    assert peer.update_state(woke_us, woke_us) is None
    assert not peer.needs_probe(woke_us + S, woke_us)
    peer.update_state(woke_us + S, woke_us)
    assert peer.state == "alive"
    peer.update_state(woke_us + 3 * S, woke_us)
    assert peer.state == "silent"
    # Its own gap taught it nothing of the link.
    peer.record_contact("run", woke_us + 3 * S, woke_us)
    assert peer.timeout.timeout_us() < 2 * S


def flap(peer, now_us):
    peer.probed = True
    peer.update_state(now_us, 0)
    assert peer.suspected
    begun_us = now_us
    while peer.suspected:
        peer.record_contact("run", now_us, 0)
        peer.update_state(now_us, 0)
        now_us += S // 2
    return now_us, now_us - begun_us


def test_a_link_that_flaps_stays_suspected_longer_each_time_up_to_a_bound():
    peer = PeerMonitor("b", TUNING, 0)
    now_us, kept = heard_for(peer, 0, 20 * S), []
    for _ in range(8):
        now_us, kept_us = flap(peer, now_us + 3 * S)
        kept.append(kept_us)
    assert kept == sorted(kept) and kept[1] > 1.5 * kept[0]
    assert kept[-1] <= TUNING.settle_most_s * S + S
    # After a long calm it begins anew.
    now_us = heard_for(peer, now_us, now_us + 200 * S)
    assert flap(peer, now_us + 3 * S)[1] == kept[0]
    assert peer.false_suspicions == 9


def test_a_new_run_is_held_to_nothing_of_the_one_before():
    peer = PeerMonitor("b", TUNING, 0)
    last_us = heard_for(peer, 0, 20 * S)
    peer.probed = peer.verdict_given = True
    peer.update_state(last_us + 3 * S, 0)
    assert peer.suspected
    peer.record_contact("next", last_us + 3 * S + 300_000, 0)
    assert not peer.suspected and peer.state == "alive" and not peer.verdict_given


def silent(run="run", refused=False):
    peer = PeerMonitor("x", TUNING, 0)
    peer.record_contact(run, S, 0)
    peer.probed, peer.refused = True, refused
    peer.update_state(5 * S, 0)
    assert peer.state == "silent"
    return peer


def word(observer, state="silent", at_us=5 * S, run="run", refused=False, stalled=False):
    row = LinkRow("x", run, state, 4000, refused)
    return observer, ReceivedHeartbeat(Heartbeat(observer, "r", stalled, (row,)), at_us)


@pytest.mark.parametrize(
    ("words", "agreed"),
    [
        ([], ["a"]),
        ([word("b")], ["a", "b"]),
        ([word("b"), word("c")], ["a", "b", "c"]),
        ([word("b", "unheard"), word("c", "alive")], ["a"]),
        ([word("b", run="another")], ["a"]),
        ([word("b", at_us=S)], ["a"]),
        ([word("b", stalled=True)], ["a"]),
        ([word("x")], ["a"]),
    ],
)
def test_votes_are_fresh_words_of_other_observers_about_the_same_run(words, agreed):
    found = collect_votes(silent(), "a", dict(words), 5 * S + 1, 2 * S)
    assert [vote.observer for vote in found] == agreed


@pytest.mark.parametrize(
    ("controllers", "needed"), [(1, 1), (2, 2), (3, 2), (4, 3), (5, 3), (7, 4)]
)
def test_a_quorum_is_more_than_half_of_all(controllers, needed):
    assert quorum_size(controllers) == needed
    peer = silent()
    names = "bcdefgh"
    for count in range(1, needed):
        agreed = collect_votes(peer, "a", dict(word(n) for n in names[: count - 1]), 5 * S, 2 * S)
        assert not is_dead(peer, agreed, controllers, 60 * S, 0, TUNING)
    agreed = collect_votes(peer, "a", dict(word(n) for n in names[: needed - 1]), 5 * S, 2 * S)
    assert is_dead(peer, agreed, controllers, 60 * S, 0, TUNING)


@pytest.mark.parametrize(
    ("mine", "others", "window_s"),
    [
        (True, True, TUNING.refused_s),
        (True, False, TUNING.silent_s),
        (False, True, TUNING.silent_s),
    ],
)
def test_refusal_shortens_the_window_only_if_all_are_refused(mine, others, window_s):
    peer = silent(refused=mine)
    agreed = collect_votes(peer, "a", dict([word("b", refused=others)]), 5 * S, 2 * S)
    due_us = 5 * S + round(window_s * S)
    assert not is_dead(peer, agreed, 3, due_us - 1, 0, TUNING)
    assert is_dead(peer, agreed, 3, due_us, 0, TUNING)
    # Who stood still counts from when it listens again; and a silence is judged once.
    assert not is_dead(peer, agreed, 3, due_us, 5 * S + 1, TUNING)
    peer.verdict_given = True
    assert not is_dead(peer, agreed, 3, 60 * S, 0, TUNING)


def test_the_leader_leaves_one_that_it_cant_use_until_the_suspicion_is_over():
    peer = silent()
    # The quorum and the lease come first.
    due_us = 5 * S + round((TUNING.silent_s + TUNING.ceiling_s) * S)
    assert not is_cut_off(peer, False, due_us - 1, 0, TUNING)
    assert is_cut_off(peer, False, due_us, 0, TUNING)
    peer.record_contact("run", due_us, 0)
    peer.update_state(due_us, 0)
    # Heard again: not newly cut off, but given back only once the damping is over.
    assert not is_cut_off(peer, False, due_us, 0, TUNING)
    assert is_cut_off(peer, True, due_us, 0, TUNING)
    heard_for(peer, due_us, due_us + 3 * S)
    assert not is_cut_off(peer, True, due_us + 3 * S, 0, TUNING)


@given(
    st.lists(st.sampled_from("abcdefg"), unique=True, max_size=7),
    st.dictionaries(st.sampled_from("abcdefg"), st.sampled_from(["m0", "m1", "m2", "m3"])),
    st.sets(st.sampled_from(["m0", "m1", "m2", "m3"])),
    st.sets(st.sampled_from(["m0", "m1", "m2", "m3"])),
)
def test_a_suspected_controller_keeps_its_teams_and_gets_no_more(teams, before, up, suspected):
    owners = assign_teams(teams, "m0", up, before, suspected)
    assert set(owners) == set(teams) and set(owners.values()) <= up | {"m0"}
    if len(teams) < 2:
        return
    for node in (up & suspected) - {"m0"}:
        had = {team for team in teams if before.get(team) == node}
        assert {team for team, owner in owners.items() if owner == node} == had
    term = next_term(None, "m0", dict.fromkeys(up, "r"), teams)
    again = next_term(term, "m0", dict.fromkeys(up, "r"), teams, suspected=())
    assert again.owners == term.owners


@given(
    st.integers(0, 20 * S), st.integers(0, 20 * S), st.integers(0, 20 * S), st.integers(0, 20 * S)
)
def test_a_lease_is_never_renewed_for_a_loop_without_progress(now, renewed, progress, limit):
    due = renewal_due(now, renewed, progress, S, limit)
    assert not due or (now - progress <= limit and now - renewed > S)


class Watching(RuleBasedStateMachine):
    """One controller's view of another, through any gaps, stalls, restarts and words of others."""

    @initialize()
    def begin(self):
        self.now_us = self.listening_us = 100 * S
        self.peer = PeerMonitor("x", TUNING, self.now_us)
        self.peer.record_contact("0", self.now_us, self.listening_us)
        self.runs = 0
        self.well_us = None
        self.last_us = self.now_us

    def observe(self):
        was = self.peer.suspected
        self.peer.update_state(self.now_us, self.listening_us)
        if was and not self.peer.suspected:
            # Given back only after unbroken hearing for at least the shortest damping.
            assert self.well_us is not None
            assert self.now_us - self.well_us >= TUNING.settle_s * S
        if self.peer.state != "alive":
            self.well_us = None
        elif self.well_us is None:
            self.well_us = self.now_us

    @rule(gap_us=st.integers(1, 900_000), misses_us=st.booleans())
    def hear(self, gap_us, misses_us):
        self.now_us += gap_us
        self.peer.record_contact(str(self.runs), self.now_us, self.listening_us)
        self.peer.record_not_receiving(misses_us, self.now_us)
        self.last_us = self.now_us
        self.observe()

    @rule(gap_us=st.integers(1, 4 * S))
    def wait(self, gap_us):
        self.now_us += gap_us
        if self.peer.needs_probe(self.now_us, self.listening_us):
            self.peer.probed = True
        self.observe()

    @rule(stall_us=st.integers(S, 60 * S))
    def stand_still(self, stall_us):
        before = self.peer.state
        self.now_us += stall_us
        self.listening_us = self.now_us
        self.observe()
        # Nobody is newly suspected for a silence that was ours.
        assert self.peer.state == before or self.peer.state in ("alive", "unhearing")

    @rule(age_us=st.integers(0, 5 * S))
    def heard_by_another(self, age_us):
        self.peer.heard_by_others_at_us = self.now_us - age_us
        self.observe()

    @rule()
    def restart(self):
        self.runs += 1
        self.now_us += 300_000
        self.peer.record_contact(str(self.runs), self.now_us, self.listening_us)
        self.last_us, self.well_us = self.now_us, None
        assert not self.peer.suspected
        self.observe()

    @invariant()
    def silence_is_suspected_only_beyond_the_floor_of_listening(self):
        if self.peer.state in ("silent", "unheard") and self.last_us >= self.listening_us:
            assert self.now_us - self.last_us > TUNING.floor_s * S

    @invariant()
    def no_verdict_without_a_quorum_nor_within_the_window(self):
        own = collect_votes(self.peer, "a", {}, self.now_us, 2 * S)
        assert not is_dead(self.peer, own, 3, self.now_us + 60 * S, 0, TUNING)
        words = dict([word("b", at_us=self.now_us, run=self.peer.run)])
        agreed = collect_votes(self.peer, "a", words, self.now_us, 2 * S)
        if is_dead(self.peer, agreed, 3, self.now_us, self.listening_us, TUNING):
            assert self.peer.state == "silent" and self.peer.suspected
            assert self.now_us - self.listening_us >= TUNING.refused_s * S


TestWatching = Watching.TestCase


def test_windows_fit_the_lease_of_the_settings():
    with pytest.raises(ValueError, match="ceiling_s"):
        load_detection({}, 1.5)
