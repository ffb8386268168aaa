"""Formats the output of ``mosswalk peers``: a table of the other controllers and a link matrix."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

import msgspec

from mosswalk.detection.view import DetectionView, MatrixCell, PeerView

_PEER_COLUMNS = ("CONTROLLER", "STATE", "SUSPECTED", "FOR", "HEARD", "PATIENCE", "LEVEL", "WHY")


def _format_columns(rows: Iterable[Sequence[str]]) -> str:
    """Align the cells of a table; each column is as wide as its widest cell."""
    lines = [tuple(row) for row in rows]
    widths = [max(len(cell) for cell in column) for column in zip(*lines, strict=True)]
    return "\n".join(
        "  ".join(cell.ljust(width) for cell, width in zip(line, widths, strict=True)).rstrip()
        for line in lines
    )


def _peer_row(peer: PeerView) -> tuple[str, ...]:
    return (
        peer.node,
        peer.state,
        "yes" if peer.suspected else "no",
        f"{peer.state_age_s:.1f} s",
        f"{peer.last_heard_age_s:.2f} s ago",
        f"{peer.timeout_s:.2f} s",
        f"{peer.suspicion_level:.2f}",
        peer.reason,
    )


def _format_matrix(cells: Sequence[MatrixCell]) -> str:
    """Format the link matrix: a row for each observer, a column for each observed controller."""
    nodes = sorted({cell.node for cell in cells})
    by_pair = {(cell.observer, cell.node): cell for cell in cells}
    rows = [("HEARS", *nodes)]
    for observer in sorted({cell.observer for cell in cells}):
        row_cells = (by_pair.get((observer, node)) for node in nodes)
        entries = (
            f"{c.state} {c.last_heard_age_s:.1f} s" if c is not None else "-" for c in row_cells
        )
        rows.append((observer, *entries))
    return _format_columns(rows)


def format_detection_view(body: bytes) -> str:
    """Format a response to GET /peers; raises msgspec.DecodeError if it is malformed."""
    view = msgspec.json.decode(body, type=DetectionView)
    activity = "in force" if view.active else "not in force: not all controllers take part"
    sections = [
        f"{view.node}: term {view.term}, leader {view.leader or 'none'}; detection {activity};"
        f" stalls here {view.stalls}, freezes {view.freezes}",
        _format_columns([_PEER_COLUMNS, *map(_peer_row, view.peers)]),
        _format_matrix(view.matrix),
    ]
    for verdict in view.verdicts:
        observers = f", agreed by {', '.join(verdict.observers)}" if verdict.observers else ""
        sections.append(
            f"verdict of this term: {verdict.node} ({verdict.run}): {verdict.reason}{observers}"
        )
    return "\n\n".join(sections)
