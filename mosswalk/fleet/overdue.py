"""Withdrawn tasks that nothing has shown to be gone, though their time is running out."""

from __future__ import annotations

from collections.abc import Iterator

from mosswalk.actors import SECOND_US, Clock
from mosswalk.fleet.book import Book, Machine
from mosswalk.fleet.suspicion import Patience
from mosswalk.jobs.board import AttemptKey, Board
from mosswalk.jobs.state import task_name


def overdue_withdrawals(
    book: Book, board: Board, clock: Clock, patience: Patience, epoch: int
) -> Iterator[tuple[Machine, str]]:
    """Machines to release since withdrawn tasks may still be there.

    Silence alone is no measure: it is counted anew by each leader, and many machines that are
    silent together are given longer. This counts from the withdrawal, whoever led meanwhile, for
    as long as a silent machine is given that may only be cut off. Its lease has ended by then if
    it runs at all, and ``cancel_s`` leaves time for the cloud to be down.
    """
    if not board.withdrawn:
        return
    limit_us = patience.silent_us + patience.lease_us
    for job in list(board.withdrawn.values()):
        age_us = clock.wall_us() - job.record.withdrawn_us
        if job.record.withdrawn_us == 0 or age_us < limit_us:
            continue
        for attempt in job.live():
            machine = book.machines.get(attempt.machine)
            key = (job.id, attempt.task, attempt.number)
            if machine is not None and not _gone(machine, key, clock, patience, epoch):
                what = f"{task_name(job.id, attempt.task)} was withdrawn"
                yield machine, f"{what} {age_us / SECOND_US:.1f} s ago"


def _gone(machine: Machine, key: AttemptKey, clock: Clock, patience: Patience, epoch: int) -> bool:
    """Whether a machine that is heard of has shown that an attempt is not there.

    The records may show it much later: writes are scarce.
    """
    start = (task_name(key[0], key[1]), key[2])
    reported = machine.tasks.get(start)
    if reported is not None:
        return reported.phase == "exited"
    heard = machine.hears and clock.now_us() - machine.seen_us < patience.silent_us
    return heard and machine.epoch >= epoch and not machine.may_run_late(start, epoch)
