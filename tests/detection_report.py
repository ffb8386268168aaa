"""Summarises histories of the detection trial as a table, and as an HTML page with plots.

    python -m tests.detection_report history*.jsonl baseline*.jsonl --html report.html

The page needs Plotly, of the extra ``report``; the table needs no more than mosswalk itself.
"""

from __future__ import annotations

import argparse
import statistics
from collections import defaultdict
from pathlib import Path

import msgspec
from msgspec import Struct

from tests.detection_trial import Event


class FaultOutcome(Struct):
    """What followed one fault; durations count from its start."""

    baseline: bool
    fault: str
    duration_s: float
    to_suspicion_s: float | None = None
    to_verdict_s: float | None = None
    # Until the first controller logged the next term.
    to_term_s: float | None = None
    terms: int = 0


def read_outcomes(path: Path) -> list[FaultOutcome]:
    """Read the faults of a history, each with what followed until its recovery time was over."""
    decoder = msgspec.json.Decoder(Event)
    events = [decoder.decode(line) for line in path.read_bytes().splitlines()]
    baseline = bool(events[0].detail["baseline"])
    outcomes: list[FaultOutcome] = []
    fault: Event | None = None
    for event in events:
        if event.kind == "fault":
            fault = event
            outcomes.append(FaultOutcome(baseline, event.detail["fault"], event.detail["for_s"]))
        elif fault is None:
            continue
        elif event.kind == "calm":
            outcomes[-1].terms = event.detail["term"] - fault.detail["term"]
            fault = None
        else:
            _record_consequence(outcomes[-1], fault, event)
    return outcomes


def _record_consequence(outcome: FaultOutcome, fault: Event, event: Event) -> None:
    """Note the first suspicion, verdict and new term after a fault.

    Only suspicions and verdicts about the affected controller count, since it may in turn suspect
    the others. After one-way loss suspicions of any controller count.
    """
    elapsed_s = event.at_s - fault.at_s
    concerns_target = event.detail.get("peer") == fault.who
    if (
        event.kind == "state"
        and event.detail["after"] != "alive"
        and (concerns_target or outcome.fault == "one way")
    ):
        outcome.to_suspicion_s = outcome.to_suspicion_s or elapsed_s
    elif event.kind == "verdict" and concerns_target:
        outcome.to_verdict_s = outcome.to_verdict_s or elapsed_s
    elif event.kind == "term" and event.detail["term"] > fault.detail["term"]:
        outcome.to_term_s = outcome.to_term_s or elapsed_s


def _median(values: list[float]) -> str:
    if not values:
        return "-"
    return f"{statistics.median(values):.2f} ({min(values):.2f} to {max(values):.2f})"


def format_table(outcomes: list[FaultOutcome]) -> str:
    """Format a Markdown table with one row for each version, fault and duration."""
    groups: dict[tuple[bool, str, float], list[FaultOutcome]] = defaultdict(list)
    for outcome in outcomes:
        groups[(outcome.baseline, outcome.fault, outcome.duration_s)].append(outcome)
    lines = [
        "| version | fault | s | times | suspected | after s | verdicts | after s"
        " | terms | after s |",
        "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |",
    ]
    for (baseline, fault, duration_s), group in sorted(groups.items()):
        suspected = [o.to_suspicion_s for o in group if o.to_suspicion_s is not None]
        declared_dead = [o.to_verdict_s for o in group if o.to_verdict_s is not None]
        new_term = [o.to_term_s for o in group if o.to_term_s is not None]
        lines.append(
            f"| {'without' if baseline else 'with'} | {fault} | {duration_s:g} | {len(group)}"
            f" | {len(suspected)} | {_median(suspected)} | {len(declared_dead)}"
            f" | {_median(declared_dead)} | {len(new_term)} | {_median(new_term)} |"
        )
    return "\n".join(lines)


def render_page(outcomes: list[FaultOutcome]) -> str:
    """Render plots of the times by duration, and of how often a fault led to a new term."""
    from plotly import graph_objects
    from plotly.subplots import make_subplots

    titles = ("Time to suspicion", "Time to verdict", "Part of faults that cost a term")
    figure = make_subplots(rows=3, cols=1, subplot_titles=titles)
    for fault in sorted({o.fault for o in outcomes}):
        with_detection = [o for o in outcomes if o.fault == fault and not o.baseline]
        for row, name in ((1, "to_suspicion_s"), (2, "to_verdict_s")):
            points = [
                (o.duration_s, getattr(o, name))
                for o in with_detection
                if getattr(o, name) is not None
            ]
            x, y = zip(*points, strict=True) if points else ((), ())
            scatter = graph_objects.Scatter(x=x, y=y, mode="markers", name=f"{fault}: {name}")
            figure.add_trace(scatter, row=row, col=1)
        for baseline in (False, True):
            durations_s = sorted({o.duration_s for o in outcomes if o.fault == fault})
            shares = [
                _share_with_new_term(outcomes, fault, baseline, duration_s)
                for duration_s in durations_s
            ]
            name = f"{fault}: {'without' if baseline else 'with'} detection"
            bars = graph_objects.Bar(x=durations_s, y=shares, name=name)
            figure.add_trace(bars, row=3, col=1)
    figure.update_xaxes(title_text="length of the fault, s")
    figure.update_layout(height=1200, title="Failure detection on loopback, real processes")
    return str(figure.to_html(include_plotlyjs=True))


def _share_with_new_term(
    outcomes: list[FaultOutcome], fault: str, baseline: bool, duration_s: float
) -> float:
    group = [
        o for o in outcomes if (o.fault, o.baseline, o.duration_s) == (fault, baseline, duration_s)
    ]
    return sum(1 for o in group if o.terms) / len(group) if group else 0.0


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("histories", type=Path, nargs="+")
    parser.add_argument("--html", type=Path)
    options = parser.parse_args()
    outcomes = [outcome for path in options.histories for outcome in read_outcomes(path)]
    print(format_table(outcomes))
    if options.html is not None:
        options.html.write_text(render_page(outcomes))


if __name__ == "__main__":
    main()
