"""Failure detection in a simulated region: freezes, one-way loss, verdicts and terms."""

import asyncio
import re
from types import SimpleNamespace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec import structs

from mosswalk.config.detection import DetectionTuning
from mosswalk.config.operator import LeadershipTuning, Tuning
from mosswalk.detection.quorum import ReceivedHeartbeat
from mosswalk.store.records import Verdict
from mosswalk.wire.peers import Heartbeat, LinkRow
from tests.fakes import job_spec
from tests.fault_injection import Fault, freeze_controller, run_scenario
from tests.simulation import Simulation
from tests.term_history import TermHistory
from tests.test_combined_faults import FAULT_COMBINATIONS
from tests.virtual_time import run_in_virtual_time

TTL_S = 6.0
# Tuning with failure detection enabled.
ON = Tuning(leadership=LeadershipTuning(ttl_s=TTL_S), detection=DetectionTuning())
DETECTION = ON.detection
SETTLE_S = 14.0


def history(region):
    return TermHistory(region.state.store.events)


def run_with_detection(test, controller_count=3, tuning=ON, teams=None):
    """Run a test in a region whose failure detection is active."""

    async def scenario():
        region = Simulation(
            7,
            controller_count=controller_count,
            tuning=tuning,
            **({"teams": teams} if teams else {}),
        )
        region.start()
        await region.wait_until(lambda: detection_is_active(region), 20.0)
        await asyncio.sleep(SETTLE_S)
        assert detection_is_active(region)
        await test(region)
        assert region.violations == []
        history(region).check()

    run_in_virtual_time(scenario())


def detection_is_active(region):
    active = [
        c.detector is not None and c.detector.is_active() for c, _ in region.controllers.values()
    ]
    return bool(active) and all(active)


def term_number(region):
    return max(c.leadership.term_number() for c, _ in region.controllers.values())


def controller(region, name):
    return region.controllers[name][0]


def follower(region, index=0):
    return [name for name in region.controller_names if name != region.leader()][index]


def peer_monitor(region, observer, node):
    return controller(region, observer).detector._monitors[node]


async def hold_pairs(region, pairs, duration_s):
    released = asyncio.Event()
    region.network.held_pairs.update(dict.fromkeys(pairs, released))
    await asyncio.sleep(duration_s)
    for pair in pairs:
        region.network.held_pairs.pop(pair)
    released.set()


def test_dead_leader_is_replaced_by_verdict_before_its_lease_ends():
    async def test(region):
        leader, started_at_s, term_before = region.leader(), region.now(), term_number(region)
        run = controller(region, leader).leadership.run_id
        region.kill_controller(leader)
        await region.wait_until(lambda: region.leader() not in (None, leader), 20.0)
        # The leader renewed its lease about every 0.8 s: over 0.75 of TTL_S was left at its death.
        assert region.now() - started_at_s < 0.75 * TTL_S
        verdict = history(region).verdicts()[-1]
        assert (verdict.node, verdict.run, verdict.reason) == (leader, run, "quorum")
        assert len(verdict.observers) == 2 and term_number(region) == term_before + 1

    run_with_detection(test)


def test_two_dead_controllers_of_five_get_a_verdict_each():
    async def test(region):
        leader = region.leader()
        region.kill_controller(leader)
        region.kill_controller(follower(region))
        await region.wait_until(lambda: len(history(region).verdicts()) == 2, 30.0)
        assert {v.reason for v in history(region).verdicts()} <= {"quorum", "lease"}

    run_with_detection(test, controller_count=5)


def test_restarted_controller_gets_teams_while_another_stays_away():
    async def test(region):
        gone, restarted = follower(region), follower(region, 1)
        region.kill_controller(gone)
        region.kill_controller(restarted)
        await asyncio.sleep(12.0)
        region.start_controller(restarted)
        await region.wait_until(
            lambda: restarted in history(region).terms[-1][1].owners.values(), 20.0
        )
        assert restarted in history(region).terms[-1][1].owners.values()
        assert gone not in history(region).terms[-1][1].runs

    run_with_detection(test)


def test_without_quorum_verdicts_come_from_lease_expiry():
    async def test(region):
        for name in (region.leader(), follower(region)):
            region.kill_controller(name)
        await region.wait_until(lambda: region.leader() is not None, 30.0)
        assert [v.reason for v in history(region).verdicts()] == ["lease", "lease"]

    run_with_detection(test)


@pytest.mark.parametrize("role", ["leader", "owner"])
@pytest.mark.parametrize("stall_s", [0.9, 2.5, 3.5])
def test_repeated_stalls_below_the_windows_change_no_term(role, stall_s):
    async def test(region):
        name = region.leader() if role == "leader" else follower(region)
        term_before = term_number(region)
        for _ in range(5):
            await freeze_controller(region, name, stall_s)
            await asyncio.sleep(8.0)
        assert term_number(region) == term_before and not history(region).verdicts()
        if stall_s > DETECTION.floor_s + 1.0:
            assert any(
                peer_monitor(region, o, name).suspicions
                for o in region.controller_names
                if o != name
            )

    run_with_detection(test)


def test_same_stalls_of_a_leader_change_terms_without_detection():
    async def scenario():
        region = Simulation(7)
        region.start()
        await asyncio.sleep(SETTLE_S)
        term_before = term_number(region)
        for _ in range(5):
            await freeze_controller(region, region.leader(), 3.5)
            await asyncio.sleep(8.0)
        assert term_number(region) > term_before

    run_in_virtual_time(scenario())


@pytest.mark.parametrize("role", ["leader", "owner"])
def test_stall_beyond_the_windows_gets_one_verdict_and_controller_rejoins(role):
    async def test(region):
        name = region.leader() if role == "leader" else follower(region)
        term_before = term_number(region)
        await freeze_controller(region, name, 9.0)
        verdicts = history(region).verdicts()
        assert [v.node for v in verdicts] == [name]
        await asyncio.sleep(20.0)
        assert [v.node for v in history(region).verdicts()] == [name]
        # One term without the controller, and one when it has rejoined.
        assert term_number(region) <= term_before + 2
        assert name in history(region).terms[-1][1].runs

    run_with_detection(test)


def test_simultaneous_stall_of_all_controllers_causes_no_suspicion():
    async def test(region):
        term_before = term_number(region)
        names = list(region.controller_names)
        await asyncio.gather(*(freeze_controller(region, name, 4.0) for name in names))
        await asyncio.sleep(10.0)
        assert term_number(region) == term_before and not history(region).verdicts()
        assert not any(c.detector.metrics().suspicions for c, _ in region.controllers.values())

    run_with_detection(test)


def test_mutual_suspicion_makes_the_leader_cut_off_the_other_without_quorum():
    async def test(region):
        leader, other = region.leader(), follower(region)
        cut = asyncio.create_task(hold_pairs(region, {(leader, other), (other, leader)}, 20.0))
        await region.wait_until(lambda: peer_monitor(region, leader, other).suspected, 10.0)
        await region.wait_until(lambda: peer_monitor(region, other, leader).suspected, 10.0)
        assert peer_monitor(region, leader, other).state == "unheard"
        assert peer_monitor(region, other, leader).state == "unheard"
        await region.wait_until(lambda: history(region).verdicts(), 10.0)
        assert [(v.node, v.reason) for v in history(region).verdicts()] == [(other, "cut_off")]
        assert region.leader() == leader
        await cut
        await region.wait_until(lambda: other in history(region).terms[-1][1].owners.values(), 60.0)
        assert other in history(region).terms[-1][1].owners.values()

    run_with_detection(test)


@pytest.mark.parametrize(
    ("direction", "leader_view", "other_view"),
    [(0, "unhearing", "unheard"), (1, "unheard", "unhearing")],
)
def test_one_way_loss_is_distinguished_from_silence(direction, leader_view, other_view):
    async def test(region):
        leader, other = region.leader(), follower(region)
        pair = (leader, other) if direction == 0 else (other, leader)
        cut = asyncio.create_task(hold_pairs(region, {pair}, 12.0))
        await region.wait_until(lambda: peer_monitor(region, leader, other).suspected, 10.0)
        leader_views, other_views = set(), set()
        while not cut.done():
            leader_views.add(peer_monitor(region, leader, other).state)
            other_views.add(peer_monitor(region, other, leader).state)
            await asyncio.sleep(0.25)
        # Loss in one direction loses answers too, but is never the silence that a quorum needs.
        assert "silent" not in leader_views | other_views
        assert leader_view in leader_views or other_view in other_views
        assert all(v.reason == "cut_off" for v in history(region).verdicts())
        assert region.leader() == leader

    run_with_detection(test)


def test_lost_requests_are_detected_although_answers_arrive():
    """Only connections from the leader are refused; the other one's requests are answered."""

    async def test(region):
        leader, other = region.leader(), follower(region)
        region.network.refused_pairs.add((leader, other))
        await region.wait_until(lambda: peer_monitor(region, leader, other).suspected, 10.0)
        assert peer_monitor(region, leader, other).state == "unhearing"
        await region.wait_until(lambda: history(region).verdicts(), 10.0)
        region.network.refused_pairs.discard((leader, other))
        assert [(v.node, v.reason) for v in history(region).verdicts()] == [(other, "cut_off")]

    run_with_detection(test)


def test_flapping_link_changes_no_term():
    async def test(region):
        leader, other = region.leader(), follower(region)
        term_before = term_number(region)
        for _ in range(10):
            await hold_pairs(region, {(leader, other), (other, leader)}, 3.0)
            await asyncio.sleep(1.0)
        assert peer_monitor(region, leader, other).suspicions
        assert term_number(region) == term_before

    run_with_detection(test)


def test_no_verdict_during_a_state_service_outage():
    async def test(region):
        leader = region.leader()
        region.state.begin_outage()
        terms_before = len(history(region).terms)
        region.kill_controller(leader)
        await asyncio.sleep(12.0)
        others = list(region.controllers)
        assert all(peer_monitor(region, o, leader).state == "silent" for o in others)
        assert len(history(region).terms) == terms_before
        assert not any(controller(region, o).detector.metrics().verdicts for o in others)
        region.state.end_outage()
        await region.wait_until(lambda: region.leader() is not None, 20.0)
        assert history(region).verdicts()[-1].node == leader

    run_with_detection(test)


def test_suspected_controller_that_restarts_at_once_gets_no_verdict():
    async def test(region):
        name = follower(region)
        released = asyncio.Event()
        region.network.hung_hosts[name] = released
        region.loop.frozen_callbacks.setdefault(name, [])
        await region.wait_until(lambda: peer_monitor(region, region.leader(), name).suspected, 10.0)
        region.network.hung_hosts.pop(name)
        released.set()
        region.kill_controller(name)
        region.start_controller(name)
        await asyncio.sleep(6.0)
        assert not peer_monitor(region, region.leader(), name).suspected
        assert not history(region).verdicts()
        assert history(region).terms[-1][1].runs[name] == controller(region, name).leadership.run_id

    run_with_detection(test)


def test_leader_cut_off_from_state_service_and_peers_is_fenced_by_quorum():
    async def test(region):
        leader = region.leader()
        pairs = {(leader, o) for o in region.controller_names if o != leader}
        pairs |= {(o, leader) for _, o in pairs}
        region.network.refused_pairs |= pairs
        region.state.refused_senders.add(leader)
        await region.wait_until(
            lambda: region.leader() not in (None, leader) or history(region).verdicts(), 20.0
        )
        await asyncio.sleep(3.0)
        region.network.refused_pairs -= pairs
        region.state.refused_senders.discard(leader)
        assert [(v.node, v.reason) for v in history(region).verdicts()] == [(leader, "quorum")]
        await asyncio.sleep(8.0)
        assert region.leader() != leader

    run_with_detection(test)


def test_leader_cut_off_from_its_peers_only_is_fenced_once():
    async def test(region):
        leader = region.leader()
        pairs = {(leader, o) for o in region.controller_names if o != leader}
        pairs |= {(o, leader) for _, o in pairs}
        region.network.refused_pairs |= pairs
        await asyncio.sleep(60.0)
        verdicts = [v for v in history(region).verdicts() if v.reason == "quorum"]
        assert [v.node for v in verdicts] == [leader]
        term_before = term_number(region)
        region.network.refused_pairs -= pairs
        await asyncio.sleep(40.0)
        assert term_number(region) <= term_before + 1

    run_with_detection(test)


def test_suspected_controller_keeps_its_teams_and_gets_no_new_offers():
    async def test(region):
        leader, other = region.leader(), follower(region)
        owners = history(region).terms[-1][1].owners
        team = next(team for team, owner in owners.items() if owner == other)
        await region.submit(job_spec("j-000001", team=team, tasks=2), 60.0, leader)
        await region.wait_until(lambda: len(region.running_on) == 2)
        manager, offered_to = controller(region, leader).manager, []
        send_offer = manager._send_offer

        def record_offer(node, offer):
            offered_to.append(node)
            return send_offer(node, offer)

        manager._send_offer = record_offer
        cut = asyncio.create_task(hold_pairs(region, {(leader, other), (other, leader)}, 3.4))
        await region.wait_until(lambda: peer_monitor(region, leader, other).suspected, 10.0)
        await region.submit(job_spec("j-000002", team=team, tasks=1), 20.0, leader)
        await asyncio.sleep(1.0)
        assert peer_monitor(region, leader, other).suspected and other not in offered_to
        assert history(region).terms[-1][1].owners == owners
        await cut
        await region.wait_until(lambda: len(region.running_on) == 3, 60.0)
        assert other in offered_to

    run_with_detection(test)


ACTION_URLS = re.compile(r"/orders$|/machines$|/machines/release$|/commit$")


def record_calls(region, calls):
    """Record each request of a controller as it is sent, in order."""
    original = region.network.call

    async def call(sender, method, url, body, timeout_s):
        await region.network.wait_while_hung(sender)
        calls.append((region.now(), sender, method, url, body))
        return await original(sender, method, url, body, timeout_s)

    region.network.call = call


def is_action(call):
    _, _, method, url, body = call
    if method != "POST" or not ACTION_URLS.search(url):
        return False
    # A presence only announces that a controller is up; it claims no authority.
    return not (url.endswith("/commit") and b'"write":"m/n/' in body)


@settings(max_examples=12)
@given(
    st.floats(20.0, 45.0),
    st.floats(1.5, 30.0),
    st.sampled_from(["leader", "owner"]),
    st.integers(0, 99),
)
def test_frozen_controller_takes_no_action_before_it_has_confirmed_its_authority(
    freeze_at_s, freeze_s, role, seed
):
    async def scenario():
        region = Simulation(seed, tuning=ON)
        calls = []
        region.start()
        record_calls(region, calls)
        await asyncio.sleep(4.0)
        for i in range(16):
            job = job_spec(f"j-{i:06d}", tasks=3, team="red" if i % 2 else "blue")
            region.network.spawn(region.submit(job, 4.0))
            if region.now() < freeze_at_s:
                await asyncio.sleep(min(2.0, freeze_at_s - region.now()))
        await asyncio.sleep(max(0.0, freeze_at_s - region.now()))
        name = region.leader() if role == "leader" else follower(region)
        if name is None:
            return
        await freeze_controller(region, name, freeze_s)
        resumed_at_s = region.now()
        await asyncio.sleep(6.0)
        own_calls = [call for call in calls if call[0] >= resumed_at_s and call[1] == name]
        confirmed_index = next(
            (i for i, c in enumerate(own_calls) if "starts=m/lead&" in c[3]), None
        )
        assert confirmed_index is not None
        assert not [call for call in own_calls[:confirmed_index] if is_action(call)]
        await asyncio.sleep(60.0)
        assert region.violations == []
        history(region).check()

    run_in_virtual_time(scenario())


@pytest.mark.parametrize("combination", FAULT_COMBINATIONS)
def test_invariants_hold_with_detection_under_fault_combination(combination):
    faults, job_count, seed = FAULT_COMBINATIONS[combination]
    region = run_scenario(seed, faults, job_count, tuning=ON)
    assert region.violations == []
    assert region.counts["started"] > 20
    history(region).check()


@pytest.mark.parametrize("selector", range(8))
def test_invariants_hold_under_one_way_loss_and_a_frozen_leader(selector):
    """The loss is to or from other controllers, the state service or the workers, by selector."""
    faults = [Fault(25.0, "one_way", 20.0, selector), Fault(33.0, "freeze", 7.0, 1)]
    region = run_scenario(selector, faults, tuning=ON)
    assert region.violations == []
    history(region).check()


@settings(max_examples=20)
@given(
    st.integers(0, 10**6),
    st.lists(
        st.builds(
            Fault,
            st.floats(20.0, 70.0),
            st.sampled_from(["freeze", "one_way", "crash", "apart", "stalls", "state_outage"]),
            st.floats(0.5, 25.0),
            st.integers(0, 7),
        ),
        min_size=2,
        max_size=5,
    ),
)
def test_nothing_moves_before_a_verdict_whatever_happens(seed, troubles):
    region = run_scenario(seed, troubles, job_count=10, tuning=ON)
    assert region.violations == []
    history(region).check()


def test_no_verdicts_while_one_of_five_controllers_has_detection_off():
    async def scenario():
        region = Simulation(3, controller_count=5, tuning=ON)
        original_settings, without_detection = region.settings, structs.replace(ON, detection=None)

        def mixed_settings(name):
            changed = {"tuning": without_detection} if name == region.controller_names[-1] else {}
            return structs.replace(original_settings(name), **changed)

        region.settings = mixed_settings
        region.start()
        await asyncio.sleep(SETTLE_S)
        assert not any(term.detects for _, term in history(region).terms)
        gone = region.leader()
        region.kill_controller(gone)
        await region.wait_until(lambda: region.leader() is not None, 20.0)
        rest = [c for c, _ in region.controllers.values() if c.detector is not None]
        assert rest and all(c.detector._monitors[gone].suspected for c in rest)
        assert not any(c.detector.metrics().verdicts for c in rest)

    run_in_virtual_time(scenario())


def test_silence_of_an_earlier_run_does_not_fence_the_current_run():
    async def test(region):
        leader, name, third = region.leader(), follower(region), follower(region, 1)
        detector, peer = controller(region, leader).detector, peer_monitor(region, leader, name)
        peer.run, peer.state, peer.refused = "earlier", "silent", True
        row = LinkRow(name, "earlier", "silent", 9000, True)
        now_us = detector._clock.now_us()
        heartbeat = ReceivedHeartbeat(Heartbeat(third, "run", False, (row,)), now_us)
        detector._heartbeats.received[third] = heartbeat
        detector._evaluate_peer(peer, now_us + 10_000_000, 0)
        await asyncio.sleep(1.0)
        assert not detector.metrics().verdicts and not history(region).verdicts()

    run_with_detection(test)


def test_time_to_verdict_is_updated_for_a_controller_with_an_earlier_verdict():
    async def test(region):
        leader = region.leader()
        detector = controller(region, leader).detector
        detector._client = SimpleNamespace(end_lease=lambda _lease: asyncio.sleep(0))
        names = [follower(region), follower(region, 1), follower(region)]
        for age_s, name in zip((5, 4, 9), names, strict=True):
            peer = peer_monitor(region, leader, name)
            peer.last_heard_at_us = detector._clock.now_us() - age_s * 1_000_000
            await detector._fence_off(peer, Verdict(name, peer.run, "quorum"), 1)
            assert detector.metrics().time_to_verdict_s == pytest.approx(age_s, abs=0.01)

    run_with_detection(test)


def test_controller_restarted_without_detection_gets_no_verdict_and_jobs_finish():
    async def scenario():
        region = Simulation(3, tuning=ON)
        region.tuning = ON
        region.start()
        await region.wait_until(lambda: detection_is_active(region), 20.0)
        name = follower(region)
        region.kill_controller(name)
        region.tuning = structs.replace(ON, detection=None)
        region.start_controller(name)
        await asyncio.sleep(12.0)
        # Detection may be off on one controller: it gets no verdict and has no vote.
        leader = region.leader()
        assert not peer_monitor(region, leader, name).suspected
        assert controller(region, name).detector is None
        region.kill_controller(leader)
        await region.wait_until(lambda: region.leader() is not None, 20.0)
        await region.submit(job_spec("j-000001", tasks=2), 5.0)
        await asyncio.sleep(40.0)
        assert await region.poll("j-000001") == "done"
        assert region.violations == []

    run_in_virtual_time(scenario())
