"""Reads histories of the detection trial; prints the figures and draws them as an HTML page.

    python -m tests.detection_report ours*.jsonl baseline*.jsonl --html report.html

Plotly comes with the extra ``report``; the figures alone need only what mosswalk needs.
"""

from __future__ import annotations

import argparse
import statistics
from collections import defaultdict
from pathlib import Path

import msgspec
from msgspec import Struct

from tests.detection_trial import Event


class Outcome(Struct):
    """What followed one fault."""

    baseline: bool
    fault: str
    for_s: float
    to_suspicion_s: float | None = None
    to_verdict_s: float | None = None
    # Until the next term, by the first controller that saw it.
    to_term_s: float | None = None
    terms: int = 0


def outcomes(path: Path) -> list[Outcome]:
    """A history's faults, each with what followed until it was calm again."""
    decoder = msgspec.json.Decoder(Event)
    events = [decoder.decode(line) for line in path.read_bytes().splitlines()]
    baseline = bool(events[0].detail["baseline"])
    found: list[Outcome] = []
    fault: Event | None = None
    for event in events:
        if event.kind == "fault":
            fault = event
            found.append(Outcome(baseline, event.detail["fault"], event.detail["for_s"]))
        elif fault is None:
            continue
        elif event.kind == "calm":
            found[-1].terms = event.detail["term"] - fault.detail["term"]
            fault = None
        else:
            _note(found[-1], fault, event)
    return found


def _note(outcome: Outcome, fault: Event, event: Event) -> None:
    """Only what others say of the controller that was hit counts: it may say as much of them."""
    passed_s = event.at_s - fault.at_s
    hit = event.detail.get("peer") == fault.who
    if (
        event.kind == "state"
        and event.detail["after"] != "alive"
        and (hit or outcome.fault == "one way")
    ):
        outcome.to_suspicion_s = outcome.to_suspicion_s or passed_s
    elif event.kind == "verdict" and hit:
        outcome.to_verdict_s = outcome.to_verdict_s or passed_s
    elif event.kind == "term" and event.detail["term"] > fault.detail["term"]:
        outcome.to_term_s = outcome.to_term_s or passed_s


def _median(values: list[float]) -> str:
    if not values:
        return "-"
    return f"{statistics.median(values):.2f} ({min(values):.2f} to {max(values):.2f})"


def table(found: list[Outcome]) -> str:
    """Figures by version, fault and length, as rows of a Markdown table."""
    groups: dict[tuple[bool, str, float], list[Outcome]] = defaultdict(list)
    for outcome in found:
        groups[(outcome.baseline, outcome.fault, outcome.for_s)].append(outcome)
    lines = [
        "| version | fault | s | times | suspected | after s | verdicts | after s"
        " | terms | after s |",
        "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |",
    ]
    for (baseline, fault, for_s), group in sorted(groups.items()):
        suspected = [o.to_suspicion_s for o in group if o.to_suspicion_s is not None]
        judged = [o.to_verdict_s for o in group if o.to_verdict_s is not None]
        moved = [o.to_term_s for o in group if o.to_term_s is not None]
        lines.append(
            f"| {'without' if baseline else 'with'} | {fault} | {for_s:g} | {len(group)}"
            f" | {len(suspected)} | {_median(suspected)} | {len(judged)} | {_median(judged)}"
            f" | {len(moved)} | {_median(moved)} |"
        )
    return "\n".join(lines)


def page(found: list[Outcome]) -> str:
    """An HTML page: times by length of fault, and how often a fault cost a term."""
    from plotly import graph_objects
    from plotly.subplots import make_subplots

    titles = ("Time to suspicion", "Time to verdict", "Part of faults that cost a term")
    figure = make_subplots(rows=3, cols=1, subplot_titles=titles)
    for fault in sorted({o.fault for o in found}):
        ours = [o for o in found if o.fault == fault and not o.baseline]
        for row, name in ((1, "to_suspicion_s"), (2, "to_verdict_s")):
            points = [(o.for_s, getattr(o, name)) for o in ours if getattr(o, name) is not None]
            x, y = zip(*points, strict=True) if points else ((), ())
            dots = graph_objects.Scatter(x=x, y=y, mode="markers", name=f"{fault}: {name}")
            figure.add_trace(dots, row=row, col=1)
        for baseline in (False, True):
            lengths = sorted({o.for_s for o in found if o.fault == fault})
            parts = [_part_with_terms(found, fault, baseline, for_s) for for_s in lengths]
            name = f"{fault}: {'without' if baseline else 'with'} detection"
            bars = graph_objects.Bar(x=lengths, y=parts, name=name)
            figure.add_trace(bars, row=3, col=1)
    figure.update_xaxes(title_text="length of the fault, s")
    figure.update_layout(height=1200, title="Failure detection on loopback, real processes")
    return str(figure.to_html(include_plotlyjs=True))


def _part_with_terms(found: list[Outcome], fault: str, baseline: bool, for_s: float) -> float:
    group = [o for o in found if (o.fault, o.baseline, o.for_s) == (fault, baseline, for_s)]
    return sum(1 for o in group if o.terms) / len(group) if group else 0.0


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("histories", type=Path, nargs="+")
    parser.add_argument("--html", type=Path)
    options = parser.parse_args()
    found = [outcome for path in options.histories for outcome in outcomes(path)]
    print(table(found))
    if options.html is not None:
        options.html.write_text(page(found))


if __name__ == "__main__":
    main()
