"""An owner, its mirror and its writer on a state service in memory."""

from __future__ import annotations

import asyncio
import random
from types import SimpleNamespace

from mosswalk.actors import SystemClock
from mosswalk.config import Settings
from mosswalk.jobs.registry import JobRegistry
from mosswalk.placement.owner import Owner
from mosswalk.store.mirror import Mirror
from mosswalk.store.records import TermRecord
from mosswalk.store.writer import GroupWriter
from tests.fakes import FakeStateClient, InMemoryStore


class OwnerOnStore:
    """The owner of the team ``red`` in the first term.

    The mirror's watch is not running: a test calls ``mirror._load`` and ``mirror._follow``.
    """

    def __init__(self, settings: Settings) -> None:
        clock = SystemClock()
        self.store = InMemoryStore()
        self.client = FakeStateClient(self.store)
        self.mirror = Mirror(self.client, clock, random.Random(1))
        self.registry = JobRegistry(self.mirror)
        self.writer = GroupWriter(self.client, clock, random.Random(2), 1e6, 16)
        leadership = SimpleNamespace(
            term=TermRecord(1, "a", {"red": "a"}),
            term_version=0,
            owns=lambda team: team == "red",
            gangs_allowed=lambda: True,
        )
        self.owner = Owner(settings, self.mirror, self.registry, self.writer, leadership, clock)
        self._tasks: list[asyncio.Task] = []

    def start(self) -> None:
        self._tasks = [asyncio.create_task(run()) for run in (self.writer.run, self.owner.run)]

    def stop(self) -> None:
        for task in self._tasks:
            task.cancel()
