"""Reads terms and presences from the state service's events, and checks their sequence."""

from __future__ import annotations

import itertools
import json
from typing import Any

from mosswalk.store import records


class TermHistory:
    """The terms with their revisions, in the order of their commits, and the ends of presences."""

    def __init__(self, events: list[dict[str, Any]]) -> None:
        self.terms: list[tuple[int, records.TermRecord]] = []
        # By node and run. A run has several if it came back with another lease.
        self.presence_end_revisions: dict[tuple[str, str], list[int]] = {}
        present_runs: dict[str, str] = {}
        for event in events:
            key = event.get("write") or event["delete"]
            if key.startswith(records.NODE_PREFIX):
                node = key.removeprefix(records.NODE_PREFIX)
                if "write" in event:
                    present_runs[node] = event["v"]["run"]
                elif node in present_runs:
                    run = present_runs.pop(node)
                    self.presence_end_revisions.setdefault((node, run), []).append(event["stamp"])
            elif key == records.TERM_KEY:
                term = records.decode_term(json.dumps(event["v"]).encode())
                self.terms.append((event["stamp"], term))

    def verdicts(self) -> list[records.Verdict]:
        return [verdict for _, term in self.terms for verdict in term.verdicts]

    def check(self) -> None:
        """Check that no team moves without a verdict, and no verdict precedes its lease's end."""
        for (_, before), (revision, after) in itertools.pairwise(self.terms):
            assert after.term > before.term
            if before.detects and after.detects:
                self._check_transition(before, revision, after)

    def _check_transition(
        self, before: records.TermRecord, revision: int, after: records.TermRecord
    ) -> None:
        nodes_with_verdict = {verdict.node for verdict in after.verdicts}
        for verdict in after.verdicts:
            if verdict.reason != "cut_off":
                assert min(self.presence_end_revisions[(verdict.node, verdict.run)]) <= revision, (
                    verdict
                )
        assert before.runs.keys() - after.runs.keys() <= nodes_with_verdict
        if before.runs != after.runs or before.leader != after.leader:
            # Controllers joined or left, or the leader changed: the teams are assigned anew.
            return
        for team, owner in before.owners.items():
            new_owner = after.owners[team]
            if new_owner != owner and owner not in nodes_with_verdict:
                # Teams move only to a controller that had been left out and can be used again.
                assert new_owner not in before.owners.values(), (before, after)
