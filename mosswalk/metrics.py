"""Figures for operators, in Prometheus' text format, read off the actors when asked for."""

from __future__ import annotations

import resource
from collections.abc import Iterable
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from mosswalk.service import Controller


_MB = 1024 * 1024
_KB = 1024


class Metrics:
    """Collects on demand; nothing is counted on the hot paths."""

    def __init__(self, controller: Controller) -> None:
        self._controller = controller

    def _figures(self) -> Iterable[tuple[str, str, float]]:
        c = self._controller
        machines = c.manager.inventory.machines.values()
        yield "leads", "1 if this controller leads", float(c.leadership.leads())
        yield "term", "The current term", float(c.leadership.epoch())
        version = c.leadership.term.version if c.leadership.term is not None else 0
        yield "version", "What all controllers can do: 2 includes gangs", float(version)
        yield "jobs_open", "Jobs that are not over", float(len(c.registry.jobs))
        yield (
            "attempts_live",
            "Attempts that may be running",
            float(sum(j.record.live_count for j in c.registry.jobs.values())),
        )
        yield (
            "tasks_pending",
            "Tasks waiting for a place",
            float(sum(j.pending_count() for j in c.registry.jobs.values() if j.open)),
        )
        yield (
            "machines_up",
            "Machines that report",
            float(sum(1 for m in machines if m.phase == "up" and not m.releasing)),
        )
        yield (
            "machines_coming",
            "Machines requested or booting",
            float(sum(1 for m in machines if m.phase != "up" and not m.releasing)),
        )
        yield (
            "store_backlog",
            "Changes waiting for the write budget",
            float(c.writer.backlog() + c.users_writer.backlog()),
        )

        yield (
            "memory_peak_bytes",
            "The most memory that this process has held",
            float(resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * _KB),
        )
        limits = c.settings.params.machine_limits
        yield "memory_limit_bytes", "Above this the process is ended", limits.mem_mb * _MB

    def render(self) -> bytes:
        """The text an operator's collector reads."""
        # Imported when first asked for: it costs start-up time and memory.
        from prometheus_client import CollectorRegistry, Gauge, generate_latest

        registry = CollectorRegistry()
        for name, text, value in self._figures():
            Gauge(f"mosswalk_{name}", text, registry=registry).set(value)
        return generate_latest(registry)
