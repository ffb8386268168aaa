"""A short detection trial on real processes, and ``mosswalk peers``.

The trial is checked for counts and order only, not for durations.
"""

import asyncio
from contextlib import AsyncExitStack
from types import SimpleNamespace

import msgspec
import pytest

from mosswalk.cli import EXIT_REFUSED, EXIT_UNAVAILABLE, EXIT_USAGE, client, main
from mosswalk.cli.peers import format_detection_view
from mosswalk.detection.view import DetectionView, MatrixCell, PeerView
from mosswalk.store.records import Verdict
from tests.detection_report import format_table, read_outcomes, render_page
from tests.detection_trial import Trial
from tests.loopback import LoopbackCluster, free_port

# A third of the durations in deploy/detection.hcl, so that a fault takes only seconds.
FAST_DETECTION_HCL = """
leadership {
  ttl_s   = 2.0
  renew_s = 0.3
}
detection {
  heartbeat_s   = 0.15
  floor_s       = 0.4
  ceiling_s     = 0.7
  refused_s     = 0.2
  silent_s      = 1.0
  settle_s      = 0.5
  settle_most_s = 4.0
  progress_s    = 0.5
}
"""
FAULTS = [
    ("freeze leader", 0.6),
    ("one way", 0.6),
    ("freeze owner", 0.6),
    ("kill leader", 1.0),
    ("state one way", 1.0),
    ("freeze leader", 5.0),
]


def test_jobs_have_one_final_answer_and_teams_move_only_after_a_verdict(tmp_path):
    operator_file = tmp_path / "detection.hcl"
    operator_file.write_text(FAST_DETECTION_HCL)
    trial = Trial(5, operator_file, recovery_s=3.0, time_scale=1.0)
    asyncio.run(asyncio.wait_for(trial.run(FAULTS, detection_enabled=True), 150))
    trial.check()
    assert len(trial.accepted_jobs) > 20
    trial.write_history(tmp_path / "history.jsonl", baseline=False)
    outcomes = read_outcomes(tmp_path / "history.jsonl")
    assert [o.fault for o in outcomes] == [kind for kind, _ in FAULTS]
    killed, frozen = outcomes[3], outcomes[5]
    assert killed.to_verdict_s is not None and killed.terms
    assert frozen.to_suspicion_s is not None and frozen.terms
    assert format_table(outcomes).count("\n") >= len({(o.fault, o.duration_s) for o in outcomes})
    assert "Failure detection" in render_page(outcomes)


DETECTION_VIEW = DetectionView(
    "moss-0",
    "moss-0",
    7,
    True,
    1,
    0,
    (PeerView("moss-1", "r1", "silent", True, 2.5, "not heard here", 3.25, 1.2, 2.7, 3, 2),),
    (
        MatrixCell("moss-0", "moss-1", "silent", 3.25, 0.0),
        MatrixCell("moss-1", "moss-0", "alive", 0.25, 3.25),
    ),
    (Verdict("moss-2", "r2", "quorum", ("moss-0", "moss-1")),),
)


def test_peers_output_shows_states_matrix_and_verdicts():
    text = format_detection_view(msgspec.json.encode(DETECTION_VIEW))
    assert "term 7, leader moss-0; detection in force; stalls here 1" in text
    assert "moss-1      silent  yes        2.5 s  3.25 s ago  1.20 s    2.70   not heard" in text
    rows = [" ".join(line.split()) for line in text.splitlines()]
    assert "moss-0 - silent 3.2 s" in rows and "moss-1 alive 0.2 s -" in rows
    assert "moss-2 (r2): quorum, agreed by moss-0, moss-1" in text


def test_peers_command_explains_a_controller_without_detection(capsys):
    async def ask():
        async with AsyncExitStack() as stack:
            cluster = LoopbackCluster()
            await cluster.start(stack)
            options = SimpleNamespace(command="peers", server=cluster.addresses["moss-0"])
            return await client.run(options)

    assert asyncio.run(ask()) == EXIT_REFUSED
    assert "404" in (output := capsys.readouterr().err) and "failure detector is off" in output


@pytest.mark.parametrize(("server", "code"), [("nowhere", 2), ("127.0.0.1:%d", 3)])
def test_peers_command_has_the_exit_codes_of_the_other_commands(server, code):
    address = server % free_port() if "%" in server else server
    assert code in (EXIT_USAGE, EXIT_UNAVAILABLE)
    assert main(["peers", "--server", address]) == code
