"""Messages to workers keep to the size that PROTOCOL allows, however many tasks a machine has."""

import asyncio
from types import SimpleNamespace

import msgspec

from mosswalk.fleet.command_log import CommandLog
from mosswalk.fleet.command_sender import CommandSender
from mosswalk.fleet.inventory import Inventory, Machine
from mosswalk.fleet.report_intake import ReportIntake
from mosswalk.fleet.worker_tokens import WorkerTokens
from mosswalk.store.records import Attempt
from mosswalk.wire.workers import Command, DirectCommands, Report, ReportAnswer
from tests.fakes import FakeClock

MAX_BYTES = 64 * 1024
# Longest names and numbers, on a machine that takes this many tasks.
JOB = "j-" + "9" * 20
NUMBER = (1 << 64) - 1
TASKS = 2000
ATTEMPTS = {
    (JOB, 90_000 + i, NUMBER): Attempt(90_000 + i, NUMBER, "vm-1", 1, 7) for i in range(TASKS)
}
LEADERSHIP = SimpleNamespace(
    may_renew_worker_leases=lambda: True,
    may_start_tasks=lambda: True,
    first_token=lambda: 7,
    has_token_range=lambda: False,
)


def make_machine():
    machine = Machine("vm-1", "small", "a", False, "up", 0, 0, "vm-1:9000", session=1)
    machine.has_acknowledged_leader = True
    return machine


def test_many_starts_for_a_machine_are_sent_in_several_requests():
    """Guards against the fault of review/3 on the way to workers: /orders takes 64 KiB."""
    messages: list[DirectCommands] = []

    async def run():
        inventory = Inventory()
        machine = inventory.machines["vm-1"] = make_machine()
        registry = SimpleNamespace(attempts_on=lambda _: ATTEMPTS)

        class RecordingSender(CommandSender):
            async def _post(self, name, address, message, starts):
                messages.append(message)
                self.request_ended(name)

        sender = RecordingSender(
            inventory,
            registry,
            LEADERSHIP,
            WorkerTokens(LEADERSHIP),
            None,
            lambda *_: False,
            lambda _: None,
            asyncio.ensure_future,
            FakeClock(),
            100,
            CommandLog(),
        )
        for job, task, number in ATTEMPTS:
            sender.send(machine, Command("run", f"{job}/{task}", number))
        for _ in range(100):
            await asyncio.sleep(0.01)
            if sum(len(message.commands) for message in messages) == TASKS:
                break

    asyncio.run(run())
    assert {c.task for m in messages for c in m.commands} == {f"{JOB}/{k[1]}" for k in ATTEMPTS}
    assert max(len(msgspec.json.encode(message)) for message in messages) <= MAX_BYTES


def test_answer_to_a_report_holds_64_kib_and_the_rest_follows_with_the_next_reports():
    """Guards against the fault of review/3 on the way to workers: a longer line is dropped."""
    inventory = Inventory()
    inventory.machines["vm-1"] = make_machine()
    clock = FakeClock()
    intake = ReportIntake(
        SimpleNamespace(lease_s=16.0),
        inventory,
        SimpleNamespace(
            attempts_on=lambda _: ATTEMPTS, jobs={JOB: SimpleNamespace(startable=True)}
        ),
        LEADERSHIP,
        WorkerTokens(LEADERSHIP),
        SimpleNamespace(is_silent=lambda _: False, mark_changed=lambda _: None),
        None,
        None,
        CommandLog(),
        SimpleNamespace(grace_s=lambda *_: None),
        SimpleNamespace(is_unhealthy=lambda _: False),
        SimpleNamespace(fleet_changed=lambda: None),
        clock,
    )
    running: dict[str, dict] = {}
    answers = 0
    while len(running) < TASKS:
        report = {
            "host": "vm-1",
            "addr": "vm-1:9000",
            "build": "small",
            "yard": "a",
            "tenure": 1,
            "tick": answers,
            "epoch": 7,
            "pieces": list(running.values()),
        }
        commands = intake.process(msgspec.convert(report, Report), is_periodic=True)
        answer = msgspec.json.encode(ReportAnswer(7, tuple(commands)))
        assert commands and len(answer) <= MAX_BYTES
        answers += 1
        for command in commands:
            running[command.task] = {
                "piece": command.task,
                "try": command.attempt,
                "phase": "pulling",
            }
    assert answers <= TASKS // 500 + 1
