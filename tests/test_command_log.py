"""What operators can read of the commands to workers: lines of the log, and metrics."""

import asyncio

from mosswalk.fleet.command_log import CommandLog
from mosswalk.metrics import Metrics
from mosswalk.wire.workers import Command, DirectCommands, Report
from tests.fakes import job_spec
from tests.simulation import Simulation
from tests.virtual_time import run_in_virtual_time

START = Command("run", "j-000001/0", 4)
STOP = Command("kill", "j-000002/1", 1, 10.0)


def make_report(term=7):
    return Report("vm-1", "1.2.3.4:5", "small", "a", 2, 31, term)


def test_a_refused_command_is_logged_with_both_tokens_and_counted(caplog):
    caplog.set_level("INFO")
    command_log = CommandLog()
    message = DirectCommands(6, 2, (START, STOP))
    command_log.direct_sent("vm-1", message)
    command_log.direct_answered("vm-1", message, 409, make_report())
    assert caplog.messages == [
        "/orders to vm-1, token 6, session 2: run j-000001/0@4, kill j-000002/1@1 (10 s)",
        "/orders to vm-1, token 6, session 2: answered 409, report 2.31, token 7",
    ]
    assert command_log.direct_answers == {"409": 1}
    assert command_log.commands == {"run": 1, "kill": 1}


def test_messages_without_commands_are_not_logged_unless_refused(caplog):
    caplog.set_level("INFO")
    command_log = CommandLog()
    probe = DirectCommands(6, 2, ())
    command_log.direct_sent("vm-1", probe)
    command_log.direct_answered("vm-1", probe, 200, make_report(6))
    command_log.direct_failed("vm-1", probe, TimeoutError(), sent=True)
    command_log.direct_failed("vm-1", probe, OSError(), sent=False)
    command_log.report_answered(make_report(), 7, ())
    assert caplog.messages == []
    assert command_log.direct_answers == {"200": 1, "none": 1, "not_sent": 1}


def test_started_stopped_reaped_and_unrecorded_attempts_are_logged_and_counted(caplog):
    caplog.set_level("INFO")

    async def run():
        region = Simulation(2)
        region.start()
        await asyncio.sleep(4)
        await region.submit(job_spec(tasks=1), 8.0)
        await region.poll_until_final("j-000001")
        (worker,) = (w for w in region.workers.values() if w.images)
        await region.wait_until(lambda: not worker.tasks)
        controller = region.controllers[region.leader()][0]
        assert controller.manager.command_log.unrecorded_attempts == 0
        worker.execute_commands([{"verb": "run", "piece": "j-000001/0", "try": 9}])
        await region.wait_until(lambda: controller.manager.command_log.unrecorded_attempts)
        await region.wait_until(lambda: not worker.tasks)
        assert controller.manager.command_log.unrecorded_attempts == 1
        page = Metrics(controller).render().decode()
        assert "mosswalk_unrecorded_attempts 1.0" in page
        assert 'mosswalk_commands{kind="run"}' in page
        assert 'mosswalk_direct_commands{answer="200"}' in page

    run_in_virtual_time(run())
    lines = [line for line in caplog.messages if "j-000001/0" in line]
    for expected in (
        ": run j-000001/0@1",
        ": reap j-000001/0@1",
        "j-000001/0 attempt 9 is exited, but no record has it",
        ": reap j-000001/0@9",
    ):
        assert any(expected in line for line in lines), expected
