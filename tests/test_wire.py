"""Encoding and decoding of messages, and validation of submitted jobs."""

import json

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from mosswalk.wire.peers import MachineOffer, Offer, Outcomes, TeamOffer
from mosswalk.wire.users import InvalidJobError, JobSpec, decode_job, peek_id
from mosswalk.wire.workers import Report

amounts = st.floats(0, 1e6, allow_nan=False).map(lambda x: round(x, 3))
names = st.text(min_size=1, max_size=20)
job_specs = st.builds(
    JobSpec,
    id=st.from_regex(r"j-[0-9]{6}", fullmatch=True),
    job_class=names,
    team=names,
    kind=st.sampled_from(["array", "daemon"]),
    priority=st.sampled_from(["prod", "high", "standard", "idle"]),
    tasks=st.integers(1, 100_000),
    cpus=amounts.map(lambda x: x + 0.1),
    gpus=amounts,
    memory_gb=amounts,
    image=names,
    image_gb=amounts,
    one_zone=st.booleans(),
    spread=st.booleans(),
    spot=st.booleans(),
    estimate_s=amounts,
    checkpoint_interval_s=amounts,
    checkpoint_duration_s=amounts,
    types=st.none() | st.lists(names, max_size=4).map(tuple),
    zone=st.none() | names,
    deadline_s=st.none() | amounts.map(lambda x: x + 1),
)

VALID_JOB = {
    "ref": "j-000412",
    "lane": "train",
    "owner": "vision",
    "shape": "array",
    "rank": "high",
    "pieces": 16,
    "cores": 8.0,
    "cards": 1,
    "ram_gb": 64.0,
    "bundle": "img-07",
    "image_gb": 6.2,
    "builds": ["g8"],
    "yard": None,
    "same_place": True,
    "spread": False,
    "reclaimable": True,
    "expect_s": 240.0,
    "savepoint_s": 30.0,
    "flush_s": 4.0,
    "due_s": 900.0,
}


@given(job_specs, st.dictionaries(names.map(lambda n: "x-" + n), st.integers() | names, max_size=3))
def test_job_round_trip_ignores_unknown_fields(job, unknown):
    body = json.loads(msgspec.json.encode(job))
    assert decode_job(json.dumps({**unknown, **body}).encode()) == job


def test_protocol_example_is_decoded_by_its_wire_names():
    job = decode_job(json.dumps(VALID_JOB).encode())
    assert (job.cpus, job.tasks, job.types, job.deadline_s) == (8.0, 16, ("g8",), 900.0)
    without_optional = {k: v for k, v in VALID_JOB.items() if k not in ("builds", "yard", "due_s")}
    assert decode_job(json.dumps(without_optional).encode()).types is None


@pytest.mark.parametrize("field", [k for k in VALID_JOB if k not in ("builds", "yard", "due_s")])
def test_missing_or_mistyped_field_is_rejected(field):
    missing = {k: v for k, v in VALID_JOB.items() if k != field}
    for body in (missing, {**VALID_JOB, field: {"a": 1}}, {**VALID_JOB, field: None}):
        with pytest.raises(InvalidJobError):
            decode_job(json.dumps(body).encode())


@pytest.mark.parametrize(
    "change",
    [
        {"cores": 0},
        {"cores": -1},
        {"ram_gb": -0.1},
        {"pieces": 0},
        {"pieces": 100_001},
        {"pieces": 1.5},
        {"ref": "j-1/2"},
        {"ref": "k-000001"},
        {"ref": "j-"},
        {"due_s": -5},
        {"rank": "top"},
        {"shape": "ring"},
        {"cores": 1e300},
        {"reclaimable": 1},
        {"owner": ""},
        {"ref": "j-000001\n"},
        {"expect_s": float("nan")},
        {"image_gb": float("inf")},
    ],
)
def test_invalid_value_is_rejected(change):
    with pytest.raises(InvalidJobError):
        decode_job(json.dumps({**VALID_JOB, **change}).encode())


@given(
    st.binary(max_size=60)
    | st.recursive(st.integers() | names, st.lists).map(lambda x: json.dumps(x).encode())
)
def test_arbitrary_body_is_rejected_as_invalid_job(body):
    with pytest.raises(InvalidJobError):
        decode_job(body)
    assert peek_id(body) is None


def test_id_of_malformed_submission_is_found():
    assert peek_id(b'{"ref":"j-000007","pieces":"many"}') == "j-000007"
    assert peek_id(b'{"ref":"j-7/../x"}') is None


def test_report_with_unknown_phase_and_field_is_decoded():
    body = {
        "host": "vm-1",
        "addr": "h:1",
        "build": "g8",
        "yard": "a",
        "tenure": 1,
        "tick": 2,
        "epoch": 3,
        "pieces": [{"piece": "j-1/0", "try": 1, "phase": "dreaming", "mood": 1}],
    }
    report = msgspec.json.decode(json.dumps(body).encode(), type=Report)
    assert report.tasks[0].phase == "dreaming"
    assert not report.spot and report.spot_notice_s is None


def test_peer_message_round_trip_and_rejection_of_mistyped_message():
    machine_offer = MachineOffer("vm-1", "g8", "a", True, 3, 1000, 0, 2000, ("img",), 0.5)
    offer = Offer(7, (TeamOffer("red", (machine_offer,)),))
    assert msgspec.msgpack.decode(msgspec.msgpack.encode(offer), type=Offer) == offer
    with pytest.raises(msgspec.DecodeError):
        msgspec.msgpack.decode(msgspec.msgpack.encode({"term": "x"}), type=Outcomes)
