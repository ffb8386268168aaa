"""Reads terms and presences off the state service's events, and checks how they follow."""

from __future__ import annotations

import itertools
import json
from typing import Any

from mosswalk.store import records


class TermHistory:
    """The terms in the order in which they were committed, and when presences ended."""

    def __init__(self, events: list[dict[str, Any]]) -> None:
        self.terms: list[tuple[int, records.TermRecord]] = []
        # The revisions at which a run's presence ended: it may come back with another lease.
        self.ended: dict[tuple[str, str], list[int]] = {}
        present: dict[str, str] = {}
        for event in events:
            key = event.get("write") or event["delete"]
            if key.startswith(records.NODE_PREFIX):
                node = key.removeprefix(records.NODE_PREFIX)
                if "write" in event:
                    present[node] = event["v"]["run"]
                elif node in present:
                    run = present.pop(node)
                    self.ended.setdefault((node, run), []).append(event["stamp"])
            elif key == records.TERM_KEY:
                term = records.decode_term(json.dumps(event["v"]).encode())
                self.terms.append((event["stamp"], term))

    def verdicts(self) -> list[records.Verdict]:
        return [verdict for _, term in self.terms for verdict in term.verdicts]

    def check(self) -> None:
        """Nothing moves before a verdict, and no verdict comes before its fence."""
        for (_, before), (stamp, after) in itertools.pairwise(self.terms):
            assert after.term > before.term
            if before.detects and after.detects:
                self._check_step(before, stamp, after)

    def _check_step(
        self, before: records.TermRecord, stamp: int, after: records.TermRecord
    ) -> None:
        judged = {verdict.node for verdict in after.verdicts}
        for verdict in after.verdicts:
            if verdict.reason != "cut_off":
                assert min(self.ended[(verdict.node, verdict.run)]) <= stamp, verdict
        assert before.runs.keys() - after.runs.keys() <= judged
        if before.runs != after.runs or before.leader != after.leader:
            # Somebody has come or gone, or leads: teams are spread anew.
            return
        for team, owner in before.owners.items():
            heir = after.owners[team]
            if heir != owner and owner not in judged:
                # Only to one that had been left out and is usable again.
                assert heir not in before.owners.values(), (before, after)
