"""Metrics for operators in Prometheus' text format, computed from the actors' state on request."""

from __future__ import annotations

import resource
from collections.abc import Iterable
from typing import TYPE_CHECKING

from msgspec import Struct

if TYPE_CHECKING:
    from mosswalk.service import Controller


_MB = 1024 * 1024
_KB = 1024


class Metric(Struct, frozen=True):
    """One sample of a metric; samples of the same name differ by their labels."""

    name: str
    help_text: str
    value: float
    labels: dict[str, str] = {}


class Metrics:
    """Computes the metrics when they are requested, so that the hot paths count nothing."""

    def __init__(self, controller: Controller) -> None:
        self._controller = controller

    def _collect(self) -> Iterable[Metric]:
        c = self._controller
        machines = c.manager.inventory.machines.values()
        yield Metric("leads", "1 if this controller is the leader", float(c.leadership.leads()))
        yield Metric("term", "The current term", float(c.leadership.term_number()))
        version = c.leadership.term.version if c.leadership.term is not None else 0
        yield Metric(
            "version",
            "Version all controllers support; gangs need 2, token ranges 3",
            float(version),
        )
        yield Metric("jobs_open", "Jobs that have not ended", float(len(c.registry.jobs)))
        yield Metric(
            "attempts_live",
            "Attempts that may still run",
            float(sum(j.record.live_count for j in c.registry.jobs.values())),
        )
        yield Metric(
            "tasks_pending",
            "Tasks waiting to be placed",
            float(sum(j.pending_count() for j in c.registry.jobs.values() if j.open)),
        )
        yield Metric(
            "machines_up",
            "Machines that report",
            float(sum(1 for m in machines if m.phase == "up" and not m.releasing)),
        )
        yield Metric(
            "machines_coming",
            "Machines requested or booting",
            float(sum(1 for m in machines if m.phase != "up" and not m.releasing)),
        )
        yield Metric(
            "store_backlog",
            "Changes in the write queues",
            float(c.writer.queue_length() + c.users_writer.queue_length()),
        )

        yield Metric(
            "memory_peak_bytes",
            "Peak resident memory of this process",
            float(resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * _KB),
        )
        yield from self._collect_commands()
        yield from self._collect_detection()
        limits = c.settings.params.machine_limits
        yield Metric("memory_limit_bytes", "The process is killed above this", limits.mem_mb * _MB)

    def _collect_commands(self) -> Iterable[Metric]:
        command_log = self._controller.manager.command_log
        for answer, count in sorted(command_log.direct_answers.items()):
            yield Metric(
                "direct_commands",
                "POST /orders requests to workers since the start, by the status of the answer",
                float(count),
                {"answer": answer},
            )
        for kind, count in sorted(command_log.commands.items()):
            yield Metric(
                "commands",
                "Commands sent to workers since the start, repetitions included",
                float(count),
                {"kind": kind},
            )
        yield Metric(
            "tokens_raised",
            "How often the token of a single machine was raised since the start",
            float(self._controller.manager.tokens.raised),
        )
        yield Metric(
            "unrecorded_attempts",
            "Attempts since the start that workers reported although no record has them",
            float(command_log.unrecorded_attempts),
        )

    def _collect_detection(self) -> Iterable[Metric]:
        if self._controller.detector is None:
            return
        detection = self._controller.detector.metrics()
        yield Metric(
            "detection_suspicions", "Suspicions of other controllers", detection.suspicions
        )
        yield Metric(
            "detection_false_suspicions",
            "Suspicions that ended because the link recovered",
            detection.false_suspicions,
        )
        yield Metric(
            "detection_verdicts", "Verdicts by quorum given by this controller", detection.verdicts
        )
        yield Metric(
            "detection_time_to_verdict_seconds",
            "Time from a controller's last message to the latest verdict that declared it dead",
            detection.time_to_verdict_s,
        )
        yield Metric("detection_stalls", "Stalls of this process", detection.stalls)
        yield Metric(
            "detection_freezes", "Stalls after which authority was withheld", detection.freezes
        )
        yield Metric(
            "detection_renewals_beside",
            "Lease renewals by the background thread",
            detection.background_renewals,
        )
        for node, level in detection.suspicion_levels.items():
            yield Metric(
                "detection_level",
                "Silence of a peer as a fraction of its timeout",
                level,
                {"peer": node},
            )

    def render(self) -> bytes:
        """Render all metrics in Prometheus' text format."""
        # Imported on the first request, since it costs start-up time and memory.
        from prometheus_client import CollectorRegistry, Gauge, generate_latest

        registry = CollectorRegistry()
        gauges: dict[str, Gauge] = {}
        for metric in self._collect():
            gauge = gauges.get(metric.name)
            if gauge is None:
                name = f"mosswalk_{metric.name}"
                gauge = Gauge(name, metric.help_text, list(metric.labels), registry=registry)
                gauges[metric.name] = gauge
            (gauge.labels(**metric.labels) if metric.labels else gauge).set(metric.value)
        return generate_latest(registry)
