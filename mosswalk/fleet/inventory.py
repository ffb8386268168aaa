"""The machine inventory: the state of each machine as the leader knows it."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from typing import Literal, NamedTuple

from msgspec import Struct, field

from mosswalk.actors import SECOND_US
from mosswalk.jobs.state import milli_ceil
from mosswalk.wire.cloud import MachineType
from mosswalk.wire.workers import Command, Report, TaskReport

TaskKey = tuple[str, int]

# How long the names of gone machines are retained, so that neither the lagging machine list nor a
# late copy of a report adds them again. The newest ones are retained however old they are.
_GONE_RETENTION_US = 600 * SECOND_US
_MIN_RETAINED_GONE = 5000


class SentStart(NamedTuple):
    """The token and the worker's session with which a start was sent."""

    token: int
    session: int


class Machine(Struct):
    """One machine, from its rental until the cloud has confirmed its release."""

    name: str
    type: str
    zone: str
    spot: bool
    phase: Literal["requested", "booting", "up"]
    phase_since_us: int
    rented_at_us: int
    address: str | None = None
    # The rental group in which it was requested, until it is up.
    group: int | None = None
    # Why it is being released, if it is.
    releasing: str | None = None
    # Whether it is known only because a record names it.
    known_from_record_only: bool = False
    last_seen_at_us: int = 0
    # Session and sequence number of its newest report, and the highest token it has reported.
    session: int = 0
    sequence: int = -1
    token: int = 0
    # The token that was set for it alone, if any.
    raised_token: int = 0
    # The highest token with which starts were sent to /orders, and those starts.
    started_with_token: int = 0
    starts_with_token: set[TaskKey] = field(default_factory=set)
    # Whether it has reported in a term of this leader. A report of an earlier term may be a late
    # copy, even from a machine long gone, and shows nothing of the present state.
    has_acknowledged_leader: bool = False
    # The last answer to one of its reports; its next report shows whether the worker received it.
    last_answer_token: int = 0
    last_answer_commands: tuple[Command, ...] = ()
    last_answer_at_us: int = 0
    not_receiving_since_us: int | None = None
    # Whether only an answer to /orders can show that it receives commands.
    needs_direct_answer: bool = False
    probed_at_us: int | None = None
    spot_notice_until_us: int | None = None
    # The tasks in its newest report, as received and by attempt.
    reported_tasks: tuple[TaskReport, ...] = ()
    tasks: dict[TaskKey, TaskReport] = field(default_factory=dict)
    # Those of them that have exited, cached because free capacity is computed far more often than
    # they change.
    exited_tasks: frozenset[TaskKey] = frozenset()
    # Sizes in GB, the least recently used image first.
    cached_images: OrderedDict[str, float] = field(default_factory=OrderedDict)
    consecutive_errors: int = 0
    unhealthy: bool = False
    idle_since_us: int | None = None
    # CPUs and GB of memory used by the attempts placed on it, in thousandths, and whether one of
    # them is a replica.
    used_cpus: int = 0
    used_memory: int = 0
    has_replica: bool = False
    # Starts sent to /orders that were not answered.
    unanswered_starts: dict[TaskKey, SentStart] = field(default_factory=dict)

    def utilization(self, machine_type: MachineType) -> float:
        """The used fraction of CPUs or memory, whichever is higher."""
        return max(
            self.used_cpus / max(1, milli_ceil(machine_type.cpus)),
            self.used_memory / max(1, milli_ceil(machine_type.memory_gb)),
        )

    def is_new_report(self, report: Report) -> bool:
        """Whether a report is newer than all seen before."""
        return (report.session, report.sequence) > (self.session, self.sequence)

    def update_tasks(self, reported_tasks: tuple[TaskReport, ...]) -> bool:
        """Store the tasks that a report lists; return whether they differ from those before."""
        if reported_tasks == self.reported_tasks:
            return False
        self.reported_tasks = reported_tasks
        tasks = {(task.task, task.attempt): task for task in reported_tasks}
        if tasks == self.tasks:
            return False
        self.tasks = tasks
        self.exited_tasks = frozenset(key for key, task in tasks.items() if task.phase == "exited")
        return True

    def record_answer(self, token: int, commands: tuple[Command, ...], now_us: int) -> None:
        """Record the answer that is sent to a report."""
        self.last_answer_token, self.last_answer_commands, self.last_answer_at_us = (
            token,
            commands,
            now_us,
        )

    def check_answer_received(self, report: Report, now_us: int, lease_us: int) -> None:
        """Check by a new report whether the worker received the last answer.

        A machine that reports but receives nothing is not healthy. A worker has one report in
        flight at a time, so it has executed the answer to the previous one, or lost it.
        """
        is_new_session = report.session > self.session
        if (
            is_new_session
            and self.has_acknowledged_leader
            and self.session > 0
            and self.last_answer_at_us > 0
            and now_us - self.last_answer_at_us < lease_us * 6 // 10
        ):
            # It has begun a new session, as after the end of its lease, although its last report
            # was answered less than 60 % of a lease ago. So it may not receive answers; it may also
            # have been restarted.
            self.needs_direct_answer = True
        received = report.token >= self.last_answer_token and (
            is_new_session
            or all(report_shows_execution(command, report) for command in self.last_answer_commands)
        )
        if received and not self.needs_direct_answer:
            self.not_receiving_since_us = None
        elif self.not_receiving_since_us is None:
            self.not_receiving_since_us = now_us

    def record_direct_answer(self) -> None:
        """Record that it has answered /orders, which shows that it receives commands."""
        self.needs_direct_answer = False
        self.not_receiving_since_us = None

    def record_image_use(self, image: str, image_gb: float, cache_gb: float) -> None:
        """Record the use of an image, evicting others as the cache of the worker does."""
        self.cached_images[image] = image_gb
        self.cached_images.move_to_end(image)
        while len(self.cached_images) > 1 and sum(self.cached_images.values()) > cache_gb:
            self.cached_images.popitem(last=False)

    def record_starts(self, token: int, starts: Iterable[TaskKey]) -> None:
        """Record starts that are sent to /orders; the token is not lower than earlier ones."""
        if token > self.started_with_token:
            self.started_with_token = token
            self.starts_with_token.clear()
        self.starts_with_token.update(starts)

    def may_still_start(self, key: TaskKey, lowest_token: int) -> bool:
        """Whether the worker may still execute an unanswered start.

        Starts with a token below ``lowest_token``, the lowest of the leader, don't count.
        """
        sent = self.unanswered_starts.get(key)
        return sent is not None and self._would_accept(sent, lowest_token)

    def discard_refused_starts(self, lowest_token: int) -> None:
        """Discard the unanswered starts that the worker would refuse by now."""
        self.unanswered_starts = {
            key: sent
            for key, sent in self.unanswered_starts.items()
            if self._would_accept(sent, lowest_token)
        }

    def _would_accept(self, sent: SentStart, lowest_token: int) -> bool:
        return sent.token >= max(lowest_token, self.token) and sent.session == self.session


def report_shows_execution(command: Command, report: Report) -> bool:
    """Whether a report shows that a command has been executed."""
    found = next(
        (t for t in report.tasks if t.task == command.task and t.attempt == command.attempt), None
    )
    if command.op == "run":
        return found is not None
    if command.op == "kill":
        return found is None or found.phase in ("saving", "exited")
    return found is None


class Inventory:
    """All machines by name, machine types, and the names of gone machines."""

    def __init__(self) -> None:
        self.machines: dict[str, Machine] = {}
        self.types: dict[str, MachineType] = {}
        # When the cloud confirmed each release, the oldest first.
        self._gone_at_us: OrderedDict[str, int] = OrderedDict()

    def is_gone(self, name: str) -> bool:
        """Whether the cloud has confirmed that the machine is gone."""
        return name in self._gone_at_us

    def remove(self, name: str, now_us: int) -> Machine | None:
        """Remove a machine whose release the cloud has confirmed."""
        self._gone_at_us[name] = now_us
        self._gone_at_us.move_to_end(name)
        while len(self._gone_at_us) > _MIN_RETAINED_GONE:
            oldest, gone_at_us = next(iter(self._gone_at_us.items()))
            if now_us - gone_at_us < _GONE_RETENTION_US:
                break
            del self._gone_at_us[oldest]
        return self.machines.pop(name, None)

    def adopt(
        self,
        name: str,
        machine_type: str,
        zone: str,
        spot: bool,
        phase: Literal["booting", "up"],
        now_us: int,
    ) -> Machine:
        """Add a machine that this leader has not rented."""
        machine = Machine(name, machine_type, zone, spot, phase, now_us, now_us)
        machine.last_seen_at_us = now_us
        self.machines[name] = machine
        return machine

    def add_from_record(self, name: str, now_us: int) -> None:
        """Add a machine that a record names, unless it is known or gone."""
        if not self.is_gone(name) and name not in self.machines:
            self.adopt(name, "", "", False, "up", now_us).known_from_record_only = True

    def zones_by_machine(self) -> dict[str, str]:
        """The zones of all machines except those known from a record only."""
        return {m.name: m.zone for m in self.machines.values() if not m.known_from_record_only}

    def reset(self) -> None:
        """Discard the machines; called when this controller stops leading."""
        self.machines.clear()
