"""Figures for operators, in Prometheus' text format, read off the actors when asked for."""

from __future__ import annotations

import resource
from collections.abc import Iterable
from typing import TYPE_CHECKING

from msgspec import Struct

if TYPE_CHECKING:
    from mosswalk.service import Controller


_MB = 1024 * 1024
_KB = 1024


class Figure(Struct, frozen=True):
    """One figure; those of the same name differ by their labels."""

    name: str
    text: str
    value: float
    labels: dict[str, str] = {}


class Metrics:
    """Collects on demand; nothing is counted on the hot paths."""

    def __init__(self, controller: Controller) -> None:
        self._controller = controller

    def _figures(self) -> Iterable[Figure]:
        c = self._controller
        machines = c.manager.inventory.machines.values()
        yield Figure("leads", "1 if this controller leads", float(c.leadership.leads()))
        yield Figure("term", "The current term", float(c.leadership.term_number()))
        version = c.leadership.term.version if c.leadership.term is not None else 0
        yield Figure("version", "What all controllers can do: 2 includes gangs", float(version))
        yield Figure("jobs_open", "Jobs that are not over", float(len(c.registry.jobs)))
        yield Figure(
            "attempts_live",
            "Attempts that may be running",
            float(sum(j.record.live_count for j in c.registry.jobs.values())),
        )
        yield Figure(
            "tasks_pending",
            "Tasks waiting for a place",
            float(sum(j.pending_count() for j in c.registry.jobs.values() if j.open)),
        )
        yield Figure(
            "machines_up",
            "Machines that report",
            float(sum(1 for m in machines if m.phase == "up" and not m.releasing)),
        )
        yield Figure(
            "machines_coming",
            "Machines requested or booting",
            float(sum(1 for m in machines if m.phase != "up" and not m.releasing)),
        )
        yield Figure(
            "store_backlog",
            "Changes waiting for the write budget",
            float(c.writer.queue_length() + c.users_writer.queue_length()),
        )

        yield Figure(
            "memory_peak_bytes",
            "The most memory that this process has held",
            float(resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * _KB),
        )
        yield from self._detection_figures()
        limits = c.settings.params.machine_limits
        yield Figure("memory_limit_bytes", "Above this the process is ended", limits.mem_mb * _MB)

    def _detection_figures(self) -> Iterable[Figure]:
        if self._controller.detector is None:
            return
        figures = self._controller.detector.metrics()
        yield Figure("detection_suspicions", "Suspicions begun", figures.suspicions)
        yield Figure(
            "detection_false_suspicions", "Suspicions that ended", figures.false_suspicions
        )
        yield Figure("detection_verdicts", "Verdicts given here by a quorum", figures.verdicts)
        yield Figure(
            "detection_time_to_verdict_seconds",
            "From the last sign of life to the last verdict",
            figures.time_to_verdict_s,
        )
        yield Figure("detection_stalls", "Times this process was late itself", figures.stalls)
        yield Figure(
            "detection_freezes", "Times authority was withheld after a stall", figures.freezes
        )
        yield Figure(
            "detection_renewals_beside",
            "Times the lease was renewed beside the main loop",
            figures.background_renewals,
        )
        for node, level in figures.suspicion_levels.items():
            yield Figure(
                "detection_level", "Silence in parts of the patience", level, {"peer": node}
            )

    def render(self) -> bytes:
        """The text an operator's collector reads."""
        # Imported when first asked for: it costs start-up time and memory.
        from prometheus_client import CollectorRegistry, Gauge, generate_latest

        registry = CollectorRegistry()
        gauges: dict[str, Gauge] = {}
        for figure in self._figures():
            gauge = gauges.get(figure.name)
            if gauge is None:
                name = f"mosswalk_{figure.name}"
                gauge = Gauge(name, figure.text, list(figure.labels), registry=registry)
                gauges[figure.name] = gauge
            (gauge.labels(**figure.labels) if figure.labels else gauge).set(figure.value)
        return generate_latest(registry)
