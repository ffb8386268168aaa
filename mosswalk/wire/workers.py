"""Messages between workers and controllers."""

from __future__ import annotations

from typing import Literal

from msgspec import Struct, field

# pulling, running, saving or exited; a phase not known here counts as alive.


# ``gc=False`` here and on what else there is one of for each task or machine: it can't be in a
# cycle, and the collector need not walk it. With 4,000 machines it ran 20 times in place of 50.
class TaskReport(Struct, frozen=True, gc=False):
    """One task attempt as its worker sees it."""

    task: str = field(name="piece")
    attempt: int = field(name="try")
    phase: str
    cause: str | None = None
    checkpointed: bool = field(name="saved", default=False)


class Report(Struct, frozen=True):
    """A worker's report; also the answer to /orders and /show."""

    machine: str = field(name="host")
    address: str = field(name="addr")
    type: str = field(name="build")
    zone: str = field(name="yard")
    session: int = field(name="tenure")
    sequence: int = field(name="tick")
    term: int = field(name="epoch")
    spot: bool = field(name="reclaimable", default=False)
    spot_notice_s: float | None = field(name="warning_s", default=None)
    tasks: tuple[TaskReport, ...] = field(name="pieces", default=())


class Command(Struct, frozen=True, omit_defaults=True, gc=False):
    """A command to a worker."""

    op: Literal["run", "kill", "reap"] = field(name="verb")
    task: str = field(name="piece")
    attempt: int = field(name="try")
    grace_s: float | None = field(name="drain_s", default=None)


class ReportAnswer(Struct, frozen=True):
    """The 200 answer to a report."""

    term: int = field(name="epoch")
    commands: tuple[Command, ...] = field(name="orders")


class DirectCommands(Struct, frozen=True):
    """The body of POST /orders."""

    term: int = field(name="epoch")
    session: int = field(name="tenure")
    commands: tuple[Command, ...] = field(name="orders")


class Redirect(Struct, frozen=True, omit_defaults=True):
    """The 421 answer: which controller takes reports, if known."""

    leader: str | None = field(name="steward", default=None)
