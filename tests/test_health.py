"""A controller that alone is refused leaves the load balancer; in an outage all stay in it."""

import asyncio
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st
from msgspec import Raw

from mosswalk.config import load
from mosswalk.leadership.actor import Leadership
from mosswalk.leadership.terms import max_unconfirmed_us
from mosswalk.peers.health import MAX_CONFIRMATION_AGE_US, Health
from mosswalk.store import records
from mosswalk.store.mirror import Mirror
from mosswalk.wire import state as wire
from mosswalk.wire.peers import PeerStatus
from tests.fakes import FakeClock, FakeStateClient, InMemoryStore
from tests.test_config import write_settings


class FakePeers:
    def __init__(self, answers):
        self.answers = answers

    async def peer_status(self, node):
        answer = self.answers[node]
        if answer is None:
            raise OSError("refused")
        return PeerStatus(answer)


@pytest.mark.parametrize(
    ("answers", "isolated", "served_peer"),
    [
        ({"b": True, "c": False}, True, "b"),
        ({"b": None, "c": True}, True, "c"),
        ({"b": False, "c": False}, False, None),  # an outage of the state service
        ({"b": False, "c": None}, False, None),
        ({"b": None, "c": None}, True, None),  # cut off from all others
        ({}, False, None),
    ],
)
def test_only_controller_that_is_refused_alone_is_isolated(answers, isolated, served_peer):
    async def run():
        clock = FakeClock()
        confirmed_us = clock.us
        health = Health(answers, FakePeers(answers), lambda: confirmed_us, clock)
        await health.update()
        assert health.is_served() and not health.isolated
        clock.us += MAX_CONFIRMATION_AGE_US
        await health.update()
        assert (health.isolated, health.served_peer) == (isolated, served_peer)
        confirmed_us = clock.us
        await health.update()
        assert (health.isolated, health.served_peer) == (False, None)

    asyncio.run(run())


def test_late_presence_of_previous_run_is_overwritten(tmp_path):
    """A controller restarts within a fraction of a second; then its old run's write is applied."""

    async def run():
        store, clock = InMemoryStore(), FakeClock()
        client = FakeStateClient(store)
        mirror = Mirror(client, clock, random.Random(1))
        leadership = Leadership(
            load(write_settings(tmp_path)), client, mirror, clock, random.Random(2)
        )
        key = records.NODE_PREFIX + leadership.node
        lease, old_lease = store.grant(), store.grant()
        leadership.lease = lease
        await leadership._write_presence(lease)
        stale_presence = Raw(records.encode(records.Presence(leadership.node, "old run")))
        store.commit(
            wire.Transaction((), (wire.Write(key=key, value=stale_presence, lease=old_lease),))
        )
        await mirror._load()
        for _ in range(3):
            await leadership._restore_presence()
        store.end_lease(old_lease)
        await mirror._follow()
        assert leadership.present[leadership.node].run == leadership.run_id
        # Nothing is written while the presence is right.
        commits = client.commit_count
        for _ in range(5):
            await leadership._restore_presence()
        assert client.commit_count == commits

    asyncio.run(run())


@given(st.floats(0.5, 60.0), st.floats(0.0, 120.0))
def test_tasks_of_unconfirmed_withdrawal_end_in_time_despite_clock_drift(lease_s, extra_s):
    cancel_s = lease_s + extra_s
    max_unconfirmed_s = max_unconfirmed_us(lease_s, cancel_s) / 1e6
    # The controller's and the worker's clocks run slow, the user's clock runs fast.
    tasks_dead_after_s = (max_unconfirmed_s + lease_s) * 1.001
    assert max_unconfirmed_s == 0 or tasks_dead_after_s < cancel_s - 0.3 + 0.001 * lease_s


def test_leader_is_out_of_reach_only_if_no_reachable_controller_leads_or_is_served():
    """A controller may keep workers alive only while no leader can be reached through others."""

    async def run():
        answers = {"lead": None, "in": PeerStatus(False)}
        clock, confirmed_us = FakeClock(), 0

        class FakePeerClient:
            async def peer_status(self, node):
                if answers[node] is None:
                    raise OSError
                return answers[node]

        health = Health(answers, FakePeerClient(), lambda: confirmed_us, clock)
        confirmed_us = clock.us
        await health.update()
        assert not health.cannot_reach_leader("lead")
        clock.us += MAX_CONFIRMATION_AGE_US
        await health.update()
        assert health.cannot_reach_leader("lead") and not health.cannot_reach_leader("in")
        assert health.cannot_reach_leader(None)
        answers["in"] = PeerStatus(True)
        await health.update()
        assert not health.cannot_reach_leader("lead")
        answers["in"], answers["lead"] = PeerStatus(False), PeerStatus(False)
        await health.update()
        assert not health.cannot_reach_leader("lead")

    asyncio.run(run())
