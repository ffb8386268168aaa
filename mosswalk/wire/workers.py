"""Messages between workers and controllers."""

from __future__ import annotations

from typing import Literal

from msgspec import Struct, field

from mosswalk.wire.tokens import term_of_token

# A body of /orders and a line of an answer to a report hold 64 KiB, and a command takes up to 110
# bytes.
MAX_COMMANDS_PER_MESSAGE = 512


# ``gc=False``, on this struct and on all others that exist once per task or machine: they can't
# be part of a reference cycle, so the garbage collector need not traverse them. With 4,000
# machines the collector then ran 20 times instead of 50.
class TaskReport(Struct, frozen=True, gc=False):
    """The state of one task attempt on a worker."""

    task: str = field(name="piece")
    attempt: int = field(name="try")
    # pulling (its image), gathering (a task of a gang that waits for the others to start), running,
    # saving (a checkpoint) or exited; an unknown phase is treated as a live attempt.
    phase: str
    cause: str | None = None
    checkpointed: bool = field(name="saved", default=False)


class Report(Struct, frozen=True):
    """A worker's periodic report; also the response to /orders and /show."""

    machine: str = field(name="host")
    address: str = field(name="addr")
    type: str = field(name="build")
    zone: str = field(name="yard")
    session: int = field(name="tenure")
    sequence: int = field(name="tick")
    # The highest token that the worker has seen.
    token: int = field(name="epoch")
    spot: bool = field(name="reclaimable", default=False)
    spot_notice_s: float | None = field(name="warning_s", default=None)
    tasks: tuple[TaskReport, ...] = field(name="pieces", default=())

    @property
    def term(self) -> int:
        """The term of the token."""
        return term_of_token(self.token)


class Command(Struct, frozen=True, omit_defaults=True, gc=False):
    """A command to a worker about one task attempt."""

    op: Literal["run", "kill", "reap"] = field(name="verb")
    task: str = field(name="piece")
    attempt: int = field(name="try")
    grace_s: float | None = field(name="drain_s", default=None)


class ReportAnswer(Struct, frozen=True):
    """The 200 response to a report."""

    token: int = field(name="epoch")
    commands: tuple[Command, ...] = field(name="orders")


class DirectCommands(Struct, frozen=True):
    """The body of POST /orders, which sends commands to a worker between its reports."""

    token: int = field(name="epoch")
    session: int = field(name="tenure")
    commands: tuple[Command, ...] = field(name="orders")


class Redirect(Struct, frozen=True, omit_defaults=True):
    """The 421 response to a report: which controller accepts reports, if known."""

    leader: str | None = field(name="steward", default=None)
