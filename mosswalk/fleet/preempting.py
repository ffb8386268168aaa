"""Which attempts the leader stops for more urgent work that found no room."""

from __future__ import annotations

from collections.abc import Container, Iterable, Mapping
from dataclasses import replace

from mosswalk.actors import Clock
from mosswalk.config import Settings
from mosswalk.factory.loop import WaitingTasks
from mosswalk.fleet.book import Book
from mosswalk.fleet.offers import Offers
from mosswalk.jobs.board import AttemptKey, Board
from mosswalk.jobs.state import PRIORITIES, Job, Usage
from mosswalk.placement.preemption import Victim, choose_victims
from mosswalk.placement.queues import shielded, within
from mosswalk.placement.rooms import Room

_MOST_VICTIMS = 16
_IDLE_RANK = PRIORITIES.index("idle")


class Preempting:
    """Shows the choice what runs where and what waits."""

    def __init__(
        self, settings: Settings, book: Book, board: Board, offers: Offers, clock: Clock
    ) -> None:
        self._teams = {team.name: team for team in settings.params.teams}
        self._book = book
        self._board = board
        self._offers = offers
        self._clock = clock

    def _guaranteed(self, job: Job, usage: Mapping[str, Usage]) -> bool:
        used = usage.get(job.spec.team) or Usage()
        return within(self._teams[job.spec.team], used, job, limit=False)

    def victims(
        self, waiting: Iterable[WaitingTasks], stopping: Container[AttemptKey]
    ) -> list[Victim]:
        """Whom to stop now for tasks that wait, besides those that are being stopped already."""
        usage = self._board.usage()
        stuck = [
            (w.job, w.count)
            for w in waiting
            if w.job.rank == 0
            or (w.job.rank < _IDLE_RANK and (w.job.is_gang or self._guaranteed(w.job, usage)))
        ]
        if not stuck:
            return []
        wall_us = self._clock.wall_us()
        rooms: list[Room] = []
        running: dict[str, list[Victim]] = {}
        for shared in self._offers.rooms():
            room = replace(shared)
            rooms.append(room)
            attempts = self._board.attempts_on(room.machine)
            # Room of reported exits is free already: counted again, too little would be stopped.
            for key in self._offers.taking(self._book.machines[room.machine]):
                job, attempt = self._board.jobs.get(key[0]), attempts[key]
                if job is None:
                    continue
                if key in stopping or not job.open:
                    room.take(job, -1)
                elif job.rank > 0 and not job.is_gang:
                    # A gang would lose all of its tasks for the room of a few.
                    victim = Victim(job, attempt, shielded=shielded(job, wall_us))
                    running.setdefault(room.machine, []).append(victim)
        return choose_victims(
            stuck, rooms, running, self._teams, usage, self._book.zone_of(), _MOST_VICTIMS
        )
