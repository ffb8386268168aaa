"""A controller that is refused alone leaves the balancer's list; in an outage all stay."""

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


class Others:
    def __init__(self, answers):
        self.answers = answers

    async def peer_status(self, node):
        answer = self.answers[node]
        if answer is None:
            raise OSError("refused")
        return PeerStatus(answer)


@pytest.mark.parametrize(
    ("answers", "alone", "served"),
    [
        ({"b": True, "c": False}, True, "b"),
        ({"b": None, "c": True}, True, "c"),
        ({"b": False, "c": False}, False, None),  # an outage
        ({"b": False, "c": None}, False, None),
        ({"b": None, "c": None}, True, None),  # cut off from all
        ({}, False, None),
    ],
)
def test_only_one_who_is_refused_alone_is_unhealthy(answers, alone, served):
    async def run():
        clock = FakeClock()
        confirmed_us = clock.us
        health = Health(answers, Others(answers), lambda: confirmed_us, clock)
        await health.update()
        assert health.is_served() and not health.isolated
        clock.us += MAX_CONFIRMATION_AGE_US
        await health.update()
        assert (health.isolated, health.served_peer) == (alone, served)
        confirmed_us = clock.us
        await health.update()
        assert (health.isolated, health.served_peer) == (False, None)

    asyncio.run(run())


def test_a_late_presence_of_the_run_before_is_written_over(tmp_path):
    """Back within a fraction of a second, and then the old run's request is carried out."""

    async def run():
        store, clock = InMemoryStore(), FakeClock()
        client = FakeStateClient(store)
        mirror = Mirror(client, clock, random.Random(1))
        leadership = Leadership(
            load(write_settings(tmp_path)), client, mirror, clock, random.Random(2)
        )
        key = records.NODE_PREFIX + leadership.node
        lease, old = store.grant(), store.grant()
        leadership.lease = lease
        await leadership._write_presence(lease)
        late = Raw(records.encode(records.Presence(leadership.node, "old run")))
        store.commit(wire.Transaction((), (wire.Write(key=key, value=late, lease=old),)))
        await mirror._load()
        for _ in range(3):
            await leadership._restore_presence()
        store.end_lease(old)
        await mirror._follow()
        assert leadership.present[leadership.node].run == leadership.run_id
        # Nothing is written when all is well.
        commits = client.commit_count
        for _ in range(5):
            await leadership._restore_presence()
        assert client.commit_count == commits

    asyncio.run(run())


@given(st.floats(0.5, 60.0), st.floats(0.0, 120.0))
def test_what_is_withdrawn_unseen_is_dead_in_time_however_the_clocks_drift(lease_s, more_s):
    cancel_s = lease_s + more_s
    bound_s = max_unconfirmed_us(lease_s, cancel_s) / 1e6
    # Ours and the worker's clock run slow, the users' fast.
    dead_s = (bound_s + lease_s) * 1.001
    assert bound_s == 0 or dead_s < cancel_s - 0.3 + 0.001 * lease_s


def test_one_keeps_workers_alive_only_where_nobody_leads_nor_knows_who_does():
    async def run():
        answers = {"lead": None, "in": PeerStatus(False)}
        clock, confirmed_us = FakeClock(), 0

        class Link:
            async def peer_status(self, node):
                if answers[node] is None:
                    raise OSError
                return answers[node]

        health = Health(answers, Link(), lambda: confirmed_us, clock)
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
