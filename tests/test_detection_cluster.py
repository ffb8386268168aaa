"""Failure detection in a region in virtual time: freezes, one-way loss, and what terms record."""

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
from tests.test_meetings import FAULT_COMBINATIONS
from tests.virtual_time import run_in_virtual_time

TTL_S = 6.0
ON = Tuning(leadership=LeadershipTuning(ttl_s=TTL_S), detection=DetectionTuning())
DETECTION = ON.detection
SETTLED_S = 14.0


def history(region):
    return TermHistory(region.state.store.events)


def begin(test, count=3, tuning=ON, teams=None):
    """Play a test in a region whose detection is in force."""

    async def day():
        region = Simulation(
            7, controller_count=count, tuning=tuning, **({"teams": teams} if teams else {})
        )
        region.start()
        await region.wait_until(lambda: in_force(region), 20.0)
        await asyncio.sleep(SETTLED_S)
        assert in_force(region)
        await test(region)
        assert region.violations == []
        history(region).check()

    run_in_virtual_time(day())


def in_force(region):
    found = [
        c.detector is not None and c.detector.is_active() for c, _ in region.controllers.values()
    ]
    return bool(found) and all(found)


def epoch(region):
    return max(c.leadership.term_number() for c, _ in region.controllers.values())


def controller(region, name):
    return region.controllers[name][0]


def follower(region, index=0):
    return [name for name in region.controller_names if name != region.leader()][index]


def state(region, observer, node):
    return controller(region, observer).detector._monitors[node]


async def held(region, pairs, for_s):
    over = asyncio.Event()
    region.network.held_pairs.update(dict.fromkeys(pairs, over))
    await asyncio.sleep(for_s)
    for pair in pairs:
        region.network.held_pairs.pop(pair)
    over.set()


def test_a_dead_leader_is_replaced_after_a_verdict_and_sooner_than_its_lease_would():
    async def test(region):
        leader, began, before = region.leader(), region.now(), epoch(region)
        run = controller(region, leader).leadership.run_id
        region.kill_controller(leader)
        await region.wait_until(lambda: region.leader() not in (None, leader), 20.0)
        assert region.now() - began < 0.75 * TTL_S
        verdict = history(region).verdicts()[-1]
        assert (verdict.node, verdict.run, verdict.reason) == (leader, run, "quorum")
        assert len(verdict.observers) == 2 and epoch(region) == before + 1

    begin(test)


def test_two_dead_of_five_are_judged_one_after_the_other():
    async def test(region):
        leader = region.leader()
        region.kill_controller(leader)
        region.kill_controller(follower(region))
        await region.wait_until(lambda: len(history(region).verdicts()) == 2, 30.0)
        assert {v.reason for v in history(region).verdicts()} <= {"quorum", "lease"}

    begin(test, count=5)


def test_one_that_is_back_gets_teams_though_another_stays_away():
    async def test(region):
        gone, back = follower(region), follower(region, 1)
        region.kill_controller(gone)
        region.kill_controller(back)
        await asyncio.sleep(12.0)
        region.start_controller(back)
        await region.wait_until(lambda: back in history(region).terms[-1][1].owners.values(), 20.0)
        assert back in history(region).terms[-1][1].owners.values()
        assert gone not in history(region).terms[-1][1].runs

    begin(test)


def test_a_quorum_that_cant_be_formed_leaves_it_to_the_lease():
    async def test(region):
        for name in (region.leader(), follower(region)):
            region.kill_controller(name)
        await region.wait_until(lambda: region.leader() is not None, 30.0)
        assert [v.reason for v in history(region).verdicts()] == ["lease", "lease"]

    begin(test)


@pytest.mark.parametrize("who", ["leader", "owner"])
@pytest.mark.parametrize("for_s", [0.9, 2.5, 3.5])
def test_a_stall_below_the_windows_repeated_moves_nothing(who, for_s):
    async def test(region):
        name = region.leader() if who == "leader" else follower(region)
        before = epoch(region)
        for _ in range(5):
            await freeze_controller(region, name, for_s)
            await asyncio.sleep(8.0)
        assert epoch(region) == before and not history(region).verdicts()
        if for_s > DETECTION.floor_s + 1.0:
            assert any(
                state(region, o, name).suspicions for o in region.controller_names if o != name
            )

    begin(test)


def test_the_same_stalls_of_a_leader_cost_terms_without_detection():
    async def day():
        region = Simulation(7)
        region.start()
        await asyncio.sleep(SETTLED_S)
        before = epoch(region)
        for _ in range(5):
            await freeze_controller(region, region.leader(), 3.5)
            await asyncio.sleep(8.0)
        assert epoch(region) > before

    run_in_virtual_time(day())


@pytest.mark.parametrize("who", ["leader", "owner"])
def test_a_stall_beyond_the_windows_is_judged_once_and_the_rest_resumes_as_deposed(who):
    async def test(region):
        name = region.leader() if who == "leader" else follower(region)
        before = epoch(region)
        await freeze_controller(region, name, 9.0)
        verdicts = history(region).verdicts()
        assert [v.node for v in verdicts] == [name]
        await asyncio.sleep(20.0)
        assert [v.node for v in history(region).verdicts()] == [name]
        # One term without it, one when it is back.
        assert epoch(region) <= before + 2
        assert name in history(region).terms[-1][1].runs

    begin(test)


def test_all_stalled_at_once_suspect_nobody():
    async def test(region):
        before = epoch(region)
        names = list(region.controller_names)
        await asyncio.gather(*(freeze_controller(region, name, 4.0) for name in names))
        await asyncio.sleep(10.0)
        assert epoch(region) == before and not history(region).verdicts()
        assert not any(c.detector.metrics().suspicions for c, _ in region.controllers.values())

    begin(test)


def test_two_that_suspect_each_other_are_not_judged_and_the_leader_does_without():
    async def test(region):
        leader, other = region.leader(), follower(region)
        cut = asyncio.create_task(held(region, {(leader, other), (other, leader)}, 20.0))
        await region.wait_until(lambda: state(region, leader, other).suspected, 10.0)
        await region.wait_until(lambda: state(region, other, leader).suspected, 10.0)
        assert state(region, leader, other).state == "unheard"
        assert state(region, other, leader).state == "unheard"
        await region.wait_until(lambda: history(region).verdicts(), 10.0)
        assert [(v.node, v.reason) for v in history(region).verdicts()] == [(other, "cut_off")]
        assert region.leader() == leader
        await cut
        await region.wait_until(lambda: other in history(region).terms[-1][1].owners.values(), 60.0)
        assert other in history(region).terms[-1][1].owners.values()

    begin(test)


@pytest.mark.parametrize(
    ("way", "here", "there"), [(0, "unhearing", "unheard"), (1, "unheard", "unhearing")]
)
def test_loss_in_one_direction_is_told_apart(way, here, there):
    async def test(region):
        leader, other = region.leader(), follower(region)
        pair = (leader, other) if way == 0 else (other, leader)
        cut = asyncio.create_task(held(region, {pair}, 12.0))
        await region.wait_until(lambda: state(region, leader, other).suspected, 10.0)
        seen_here, seen_there = set(), set()
        while not cut.done():
            seen_here.add(state(region, leader, other).state)
            seen_there.add(state(region, other, leader).state)
            await asyncio.sleep(0.25)
        # What is lost on the way back loses the answers too: never a quorum's silence.
        assert "silent" not in seen_here | seen_there
        assert here in seen_here or there in seen_there
        assert all(v.reason == "cut_off" for v in history(region).verdicts())
        assert region.leader() == leader

    begin(test)


def test_requests_that_never_arrive_are_noticed_though_answers_do():
    """Only connections from the leader are refused; what the other one asks is answered."""

    async def test(region):
        leader, other = region.leader(), follower(region)
        region.network.refused_pairs.add((leader, other))
        await region.wait_until(lambda: state(region, leader, other).suspected, 10.0)
        assert state(region, leader, other).state == "unhearing"
        await region.wait_until(lambda: history(region).verdicts(), 10.0)
        region.network.refused_pairs.discard((leader, other))
        assert [(v.node, v.reason) for v in history(region).verdicts()] == [(other, "cut_off")]

    begin(test)


def test_a_link_that_flaps_costs_no_terms():
    async def test(region):
        leader, other = region.leader(), follower(region)
        before = epoch(region)
        for _ in range(10):
            await held(region, {(leader, other), (other, leader)}, 3.0)
            await asyncio.sleep(1.0)
        assert state(region, leader, other).suspicions
        assert epoch(region) == before

    begin(test)


def test_no_verdict_while_the_state_service_is_down():
    async def test(region):
        leader = region.leader()
        region.state.begin_outage()
        began = len(history(region).terms)
        region.kill_controller(leader)
        await asyncio.sleep(12.0)
        others = list(region.controllers)
        assert all(state(region, o, leader).state == "silent" for o in others)
        assert len(history(region).terms) == began
        assert not any(controller(region, o).detector.metrics().verdicts for o in others)
        region.state.end_outage()
        await region.wait_until(lambda: region.leader() is not None, 20.0)
        assert history(region).verdicts()[-1].node == leader

    begin(test)


def test_one_that_is_back_within_a_moment_while_suspected_is_not_judged():
    async def test(region):
        name = follower(region)
        over = asyncio.Event()
        region.network.hung_hosts[name] = over
        region.loop.frozen_callbacks.setdefault(name, [])
        await region.wait_until(lambda: state(region, region.leader(), name).suspected, 10.0)
        region.network.hung_hosts.pop(name)
        over.set()
        region.kill_controller(name)
        region.start_controller(name)
        await asyncio.sleep(6.0)
        assert not state(region, region.leader(), name).suspected
        assert not history(region).verdicts()
        assert history(region).terms[-1][1].runs[name] == controller(region, name).leadership.run_id

    begin(test)


def test_a_leader_without_state_service_and_peers_is_judged_and_fenced():
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

    begin(test)


def test_a_leader_apart_from_its_peers_alone_is_fenced_once_and_not_over_and_over():
    async def test(region):
        leader = region.leader()
        pairs = {(leader, o) for o in region.controller_names if o != leader}
        pairs |= {(o, leader) for _, o in pairs}
        region.network.refused_pairs |= pairs
        await asyncio.sleep(60.0)
        verdicts = [v for v in history(region).verdicts() if v.reason == "quorum"]
        assert [v.node for v in verdicts] == [leader]
        before = epoch(region)
        region.network.refused_pairs -= pairs
        await asyncio.sleep(40.0)
        assert epoch(region) <= before + 1

    begin(test)


def test_suspicion_gives_nothing_new_and_takes_nothing():
    async def test(region):
        leader, other = region.leader(), follower(region)
        owners = history(region).terms[-1][1].owners
        team = next(team for team, owner in owners.items() if owner == other)
        await region.submit(job_spec("j-000001", team=team, tasks=2), 60.0, leader)
        await region.wait_until(lambda: len(region.running_on) == 2)
        manager, offered = controller(region, leader).manager, []
        send = manager._send_offer

        def record(node, offer):
            offered.append(node)
            return send(node, offer)

        manager._send_offer = record
        cut = asyncio.create_task(held(region, {(leader, other), (other, leader)}, 3.4))
        await region.wait_until(lambda: state(region, leader, other).suspected, 10.0)
        await region.submit(job_spec("j-000002", team=team, tasks=1), 20.0, leader)
        await asyncio.sleep(1.0)
        assert state(region, leader, other).suspected and other not in offered
        assert history(region).terms[-1][1].owners == owners
        await cut
        await region.wait_until(lambda: len(region.running_on) == 3, 60.0)
        assert other in offered

    begin(test)


ACTS = re.compile(r"/orders$|/machines$|/machines/release$|/commit$")


def record_calls(region, calls):
    """Note what controllers begin to send, in order."""
    original = region.network.call

    async def call(sender, method, url, body, timeout_s):
        await region.network.wait_while_hung(sender)
        calls.append((region.now(), sender, method, url, body))
        return await original(sender, method, url, body, timeout_s)

    region.network.call = call


def is_act(call):
    _, _, method, url, body = call
    if method != "POST" or not ACTS.search(url):
        return False
    # A presence tells that a controller is up, and claims nothing.
    return not (url.endswith("/commit") and b'"write":"m/n/' in body)


@settings(max_examples=12)
@given(
    st.floats(20.0, 45.0),
    st.floats(1.5, 30.0),
    st.sampled_from(["leader", "owner"]),
    st.integers(0, 99),
)
def test_one_that_stood_still_acts_on_nothing_before_it_has_asked(at_s, for_s, who, seed):
    async def day():
        region = Simulation(seed, tuning=ON)
        calls = []
        region.start()
        record_calls(region, calls)
        await asyncio.sleep(4.0)
        for i in range(16):
            job = job_spec(f"j-{i:06d}", tasks=3, team="red" if i % 2 else "blue")
            region.network.spawn(region.submit(job, 4.0))
            if region.now() < at_s:
                await asyncio.sleep(min(2.0, at_s - region.now()))
        await asyncio.sleep(max(0.0, at_s - region.now()))
        name = region.leader() if who == "leader" else follower(region)
        if name is None:
            return
        await freeze_controller(region, name, for_s)
        woke = region.now()
        await asyncio.sleep(6.0)
        own = [call for call in calls if call[0] >= woke and call[1] == name]
        asked = next((i for i, c in enumerate(own) if "starts=m/lead&" in c[3]), None)
        assert asked is not None
        assert not [call for call in own[:asked] if is_act(call)]
        await asyncio.sleep(60.0)
        assert region.violations == []
        history(region).check()

    run_in_virtual_time(day())


@pytest.mark.parametrize("meeting", FAULT_COMBINATIONS)
def test_no_rule_breaks_with_detection_where(meeting):
    troubles, jobs, seed = FAULT_COMBINATIONS[meeting]
    region = run_scenario(seed, troubles, jobs, tuning=ON)
    assert region.violations == []
    assert region.counts["started"] > 20
    history(region).check()


@pytest.mark.parametrize("pick", range(8))
def test_no_rule_breaks_where_one_direction_is_lost_and_the_leader_stands_still(pick):
    """To and from other controllers, the state service and the workers."""
    troubles = [Fault(25.0, "one_way", 20.0, pick), Fault(33.0, "freeze", 7.0, 1)]
    region = run_scenario(pick, troubles, tuning=ON)
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


def test_nobody_is_judged_where_one_of_five_never_took_part():
    async def day():
        region = Simulation(3, controller_count=5, tuning=ON)
        usual, off = region.settings, structs.replace(ON, detection=None)

        def mixed(name):
            changed = {"tuning": off} if name == region.controller_names[-1] else {}
            return structs.replace(usual(name), **changed)

        region.settings = mixed
        region.start()
        await asyncio.sleep(SETTLED_S)
        assert not any(term.detects for _, term in history(region).terms)
        gone = region.leader()
        region.kill_controller(gone)
        await region.wait_until(lambda: region.leader() is not None, 20.0)
        rest = [c for c, _ in region.controllers.values() if c.detector is not None]
        assert rest and all(c.detector._monitors[gone].suspected for c in rest)
        assert not any(c.detector.metrics().verdicts for c in rest)

    run_in_virtual_time(day())


def test_a_silence_of_an_earlier_run_does_not_fence_the_present_one():
    async def test(region):
        leader, name, third = region.leader(), follower(region), follower(region, 1)
        detector, peer = controller(region, leader).detector, state(region, leader, name)
        peer.run, peer.state, peer.refused = "earlier", "silent", True
        row = LinkRow(name, "earlier", "silent", 9000, True)
        now_us = detector._clock.now_us()
        word = ReceivedHeartbeat(Heartbeat(third, "run", False, (row,)), now_us)
        detector._heartbeats.received[third] = word
        detector._evaluate_peer(peer, now_us + 10_000_000, 0)
        await asyncio.sleep(1.0)
        assert not detector.metrics().verdicts and not history(region).verdicts()

    begin(test)


def test_the_time_to_the_last_verdict_is_told_though_its_controller_was_judged_before():
    async def test(region):
        leader = region.leader()
        detector = controller(region, leader).detector
        detector._client = SimpleNamespace(end_lease=lambda _lease: asyncio.sleep(0))
        names = [follower(region), follower(region, 1), follower(region)]
        for age_s, name in zip((5, 4, 9), names, strict=True):
            peer = state(region, leader, name)
            peer.last_heard_at_us = detector._clock.now_us() - age_s * 1_000_000
            await detector._fence_off(peer, Verdict(name, peer.run, "quorum"), 1)
            assert detector.metrics().time_to_verdict_s == pytest.approx(age_s, abs=0.01)

    begin(test)


def test_one_without_detection_keeps_it_out_of_force_and_all_as_before():
    async def day():
        region = Simulation(3, tuning=ON)
        region.tuning = ON
        region.start()
        await region.wait_until(lambda: in_force(region), 20.0)
        name = follower(region)
        region.kill_controller(name)
        region.tuning = structs.replace(ON, detection=None)
        region.start_controller(name)
        await asyncio.sleep(12.0)
        # It may be off at one: that one is neither judged nor asked for its word.
        leader = region.leader()
        assert not state(region, leader, name).suspected
        assert controller(region, name).detector is None
        region.kill_controller(leader)
        await region.wait_until(lambda: region.leader() is not None, 20.0)
        await region.submit(job_spec("j-000001", tasks=2), 5.0)
        await asyncio.sleep(40.0)
        assert await region.poll("j-000001") == "done"
        assert region.violations == []

    run_in_virtual_time(day())
