"""Old and new versions in one cluster, and each on data that the other wrote."""

import asyncio

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from msgspec import Raw

from mosswalk.jobs.state import Assignment, Draft, Job, new_record, withdraw_change
from mosswalk.leadership.terms import needs_new_term, next_term
from mosswalk.leadership.upgrade import eligible_runs, may_upgrade
from mosswalk.store import records
from mosswalk.store.records import CURRENT_VERSION, GANG_VERSION, Presence, TermRecord
from mosswalk.wire import peers
from tests.fakes import RECORD_LIMITS, job_spec
from tests.production import records as production
from tests.test_wire import job_specs

# Records as the version before gangs wrote them. Each must be decoded and encoded byte for byte.
STORED_RECORDS = {
    "JobRecord": b'{"s":{"ref":"j-000001","lane":"batch","owner":"red","shape":"array","rank":'
    b'"standard","pieces":4,"cores":1.0,"cards":0.0,"ram_gb":1.0,"bundle":"img","image_gb":1.0,'
    b'"same_place":false,"spread":false,"reclaimable":true,"expect_s":30.0,"savepoint_s":0.0,'
    b'"flush_s":0.0,"due_s":90.0},"t":1700000000000000,"c":256,"p":"withdrawn","n":5,"k":1,"r":2,'
    b'"w":1700000001000000,"x":{"d":"1","a":[[1,2,"vm-000001",1,3],[2,4,"vm-000002",2,3]]}}',
    "TaskChunk": b'{"d":"ff","a":[[300,12,"vm-000009",1,7]]}',
    "FinalRecord": b'{"p":"withdrawn","d":3}',
}
# Names in the version before gangs of messages that have been renamed since.
PREVIOUS_NAMES = {"PeerStatus": "Sight"}
PEER_MESSAGES = {
    "Offer": peers.Offer(
        3,
        (peers.TeamOffer("red", (peers.MachineOffer("vm-1", "small", "a", True, 1, 5, 0, 9),)),),
        {"vm-2": "b"},
    ),
    "OfferAnswer": peers.OfferAnswer(12, 3),
    "Outcomes": peers.Outcomes(3, (peers.Outcome("j-000001/2", 4, "vm-1", "lost"),)),
    "PeerStatus": peers.PeerStatus(True, 4),
    "Withdrawals": peers.Withdrawals((peers.Withdrawal("j-000001", b"{}", 8),)),
    "PollAnswer": peers.PollAnswer(200, b"{}"),
}


@pytest.mark.parametrize("name", STORED_RECORDS)
def test_stored_records_keep_their_bytes(name):
    for module in (records, production):
        decoded = msgspec.json.decode(STORED_RECORDS[name], type=getattr(module, name))
        assert records.encode(decoded) == STORED_RECORDS[name]


@pytest.mark.parametrize("name", PEER_MESSAGES)
def test_messages_between_controllers_keep_their_bytes(name):
    body = msgspec.msgpack.encode(PEER_MESSAGES[name])
    decoded = msgspec.msgpack.decode(body, type=getattr(production, PREVIOUS_NAMES.get(name, name)))
    assert msgspec.msgpack.encode(decoded) == body
    assert msgspec.msgpack.decode(body, type=getattr(peers, name)) == PEER_MESSAGES[name]


@given(job_specs.filter(lambda job: job.kind != "group"), st.integers(1, 300), st.booleans())
def test_job_record_passes_through_both_versions_unchanged(job, chunk_size, withdrawn):
    draft = Draft(Job(new_record(job, 5, chunk_size), 1), RECORD_LIMITS)
    draft.place(Assignment(0, "vm-000001", 1), 3)
    change = draft.to_change({})
    if withdrawn:
        record = records.decode_job_record(bytes(change.puts[records.job_key(job.id)]))
        change = withdraw_change(Job(record, 2), 7)
    value = bytes(change.puts[records.job_key(job.id)])
    rewritten = production.encode(production.decode(production.JobRecord, value))
    assert records.decode_job_record(rewritten) == records.decode_job_record(value)
    assert rewritten == value


def test_old_version_decodes_presences_and_terms_only_before_the_upgrade():
    presence = records.encode(Presence("a", "run", CURRENT_VERSION))
    assert production.decode(production.Presence, presence) == production.Presence("a", "run")
    old = production.encode(production.Presence("a", "run"))
    assert records.decode_presence(old) == Presence("a", "run", records.FIRST_VERSION)
    term = TermRecord(4, "a", {"red": "b"}, {"a": "1", "b": "2"})
    value = records.encode_term(term)
    assert production.decode(production.TermRecord, value).owners == {"red": "b"}
    assert production.encode(production.decode(production.TermRecord, value)) == (
        b'{"term":4,"leader":"a","owners":{"red":"b"},"runs":{"a":"1","b":"2"}}'
    )
    assert records.decode_term(production.encode(production.TermRecord(4, "a", {}))).version == 1
    upgraded = msgspec.structs.replace(term, version=GANG_VERSION)
    assert records.decode_term(records.encode_term(upgraded)) == upgraded
    # Without the leader and the term's version, the old version neither campaigns nor owns a team.
    with pytest.raises(msgspec.ValidationError):
        production.decode(production.TermRecord, records.encode_term(upgraded))


presence_maps = st.dictionaries(
    st.sampled_from("abc"),
    st.builds(Presence, st.just("x"), st.sampled_from("pq"), st.sampled_from([1, CURRENT_VERSION])),
)


@given(st.lists(presence_maps, max_size=12))
def test_upgrade_waits_for_all_controllers_and_is_irreversible(presence_history):
    term = next_term(None, "a", {"a": "p"}, ["red", "blue"])
    upgraded = False
    for present in presence_history:
        all_new = set(present) == set("abc") and all(p.version > 1 for p in present.values())
        assert may_upgrade(term, "abc", present) == (all_new and not upgraded)
        version = CURRENT_VERSION if may_upgrade(term, "abc", present) else 1
        upgraded = upgraded or all_new
        runs = eligible_runs(term, {**present, "a": Presence("a", "p", CURRENT_VERSION)})
        if upgraded and term.version > 1:
            # A controller of the old version that joins later gets no team and starts no new term.
            assert all(present[n].version > 1 for n in runs if n != "a")
        term = next_term(term, "a", runs, ["red", "blue"], version=version)
        assert (term.version > 1) == upgraded
        assert not needs_new_term(term, runs)


@pytest.mark.parametrize("old_joins", [False, True])
def test_group_begins_with_the_current_version_unless_an_old_controller_is_present(old_joins):
    """Guards against review/5; an old one that comes as the first term is written is seen."""
    from tests.simulation import Simulation
    from tests.virtual_time import run_in_virtual_time

    async def scenario() -> None:
        region = Simulation(7)
        region.absent = {"moss-2"}
        region.start()
        (leadership, *_) = (c.leadership for c, _ in region.controllers.values())
        campaign = leadership._campaign
        joined = []

        async def campaign_as_old_one_joins(reason: str) -> None:
            if old_joins and not joined:
                joined.append(reason)
                region.add_old_presence("moss-2")
            await campaign(reason)

        region.kill_controller("moss-1")
        leadership._campaign = campaign_as_old_one_joins
        await region.wait_until(lambda: leadership.leads(), 20.0)
        assert leadership.leads() and bool(joined) == old_joins
        assert leadership.term.version == (1 if old_joins else CURRENT_VERSION)
        assert leadership.term_number() == 1

    run_in_virtual_time(scenario())


def test_gang_submitted_before_the_upgrade_is_refused_with_retry_after():
    from tests.simulation import Simulation
    from tests.virtual_time import run_in_virtual_time

    async def scenario() -> None:
        region = Simulation(1)
        region.start()
        await asyncio.sleep(4.0)
        gang = job_spec("j-000001", kind="group", tasks=2)
        controller = next(iter(region.controllers.values()))[0]
        assert controller.leadership.gangs_allowed()
        controller.job_service.gangs_allowed = lambda: False
        reply = await controller.job_service.submit(msgspec.json.encode(gang))
        assert reply.status == 503 and reply.retry_after_s
        # Submitting a known job again is answered with its state even so.
        key = records.job_key(gang.id)
        value = Raw(records.encode(new_record(gang, 1, 8)))
        region.state.store.rows[key] = (bytes(value), 1, None)
        assert (await controller.job_service.submit(msgspec.json.encode(gang))).status == 200

    run_in_virtual_time(scenario())


def test_controller_with_old_version_delays_the_upgrade():
    """One of three shows the old version at first; the later upgrade survives restarts of all."""
    from tests.simulation import Simulation
    from tests.virtual_time import run_in_virtual_time

    async def scenario() -> None:
        region = Simulation(2)
        region.start()
        region.kill_controller("moss-2")
        region.add_old_presence("moss-2")
        await asyncio.sleep(20.0)
        term = records.decode_term(region.state.store.rows[records.TERM_KEY][0])
        assert term.version == 1 and "moss-2" in term.runs
        gang = msgspec.json.encode(job_spec("j-000001", kind="group", tasks=2))
        for name in region.controller_names[:2]:
            status, _ = await region.send_user_request("POST", "/api/jobs", gang, name)
            assert status == 503
        region.start_controller(region.controller_names[2])
        await region.wait_until(lambda: term_version(region) == CURRENT_VERSION, 30.0)
        assert term_version(region) == CURRENT_VERSION
        await asyncio.sleep(1.0)
        status, _ = await region.send_user_request(
            "POST", "/api/jobs", gang, region.controller_names[1]
        )
        assert status == 201
        for name in region.controller_names:
            region.kill_controller(name)
        await asyncio.sleep(20.0)
        region.start_controller(region.controller_names[0])
        await region.wait_until(lambda: region.leader(), 20.0)
        assert (
            region.leader() == region.controller_names[0]
            and term_version(region) == CURRENT_VERSION
        )

    def term_version(region: Simulation) -> int:
        return records.decode_term(region.state.store.rows[records.TERM_KEY][0]).version

    run_in_virtual_time(scenario())
