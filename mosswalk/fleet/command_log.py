"""Logs and counts the commands that are sent to workers, and the workers' answers.

One line per message, not per command, so that the cost depends on the number of messages.
"""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Iterable

from mosswalk.wire.workers import Command, DirectCommands, Report, TaskReport

log = logging.getLogger(__name__)

# The labels of requests without an answer, in place of a status.
_NO_ANSWER = "none"
_NOT_SENT = "not_sent"


def describe(commands: Iterable[Command]) -> str:
    """The commands as text, such as ``run j-000001/0@4, kill j-000002/1@1 (10 s)``."""
    return ", ".join(
        f"{command.op} {command.task}@{command.attempt}"
        + (f" ({command.grace_s:g} s)" if command.grace_s else "")
        for command in commands
    )


class CommandLog:
    """Shows which commands were sent with which token and session, and what came of them."""

    def __init__(self) -> None:
        # The number of POST /orders requests by the status of the answer.
        self.direct_answers: Counter[str] = Counter()
        # The number of commands sent, by kind; repetitions count.
        self.commands: Counter[str] = Counter()
        # The number of attempts that workers began to report although no record has them.
        self.unrecorded_attempts = 0

    def direct_sent(self, machine: str, message: DirectCommands) -> None:
        """Log a POST /orders request; those without commands only show a token to the worker."""
        self._count(message.commands)
        if message.commands:
            log.info(
                "/orders to %s, token %d, session %d: %s",
                machine,
                message.token,
                message.session,
                describe(message.commands),
            )

    def direct_answered(
        self, machine: str, message: DirectCommands, status: int, report: Report | None
    ) -> None:
        """Log the answer to a POST /orders request."""
        self.direct_answers[str(status)] += 1
        if message.commands or status != 200:
            log.info(
                "/orders to %s, token %d, session %d: answered %d%s",
                machine,
                message.token,
                message.session,
                status,
                _describe_state(report),
            )

    def direct_failed(
        self, machine: str, message: DirectCommands, error: Exception, *, sent: bool
    ) -> None:
        """Log that a POST /orders request failed; if it was sent, the worker may have received it.

        It was not sent if no connection was made.
        """
        self.direct_answers[_NO_ANSWER if sent else _NOT_SENT] += 1
        if message.commands:
            log.info(
                "/orders to %s, token %d, session %d: %s: %r",
                machine,
                message.token,
                message.session,
                "no answer" if sent else "not sent",
                error,
            )

    def report_answered(self, report: Report, token: int, commands: tuple[Command, ...]) -> None:
        """Log the commands in the answer to a report."""
        self._count(commands)
        if commands:
            log.info(
                "answer to report %d.%d of %s, token %d after %d: %s",
                report.session,
                report.sequence,
                report.machine,
                token,
                report.token,
                describe(commands),
            )

    def unrecorded_attempt(self, machine: str, task: TaskReport) -> None:
        """Log that a worker began to report an attempt that no record has."""
        self.unrecorded_attempts += 1
        log.warning(
            "machine %s: %s attempt %d is %s, but no record has it",
            machine,
            task.task,
            task.attempt,
            task.phase,
        )

    def _count(self, commands: Iterable[Command]) -> None:
        self.commands.update(command.op for command in commands)


def _describe_state(report: Report | None) -> str:
    """The worker's state in its answer, as far as it decides whether commands are accepted."""
    if report is None:
        return ""
    return f", report {report.session}.{report.sequence}, token {report.token}"
