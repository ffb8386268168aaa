"""The outcomes that an owner has received from leaders and not recorded yet.

An outcome is recorded only in the term in which its leader sent it. Some hold no longer: that an
attempt which is to be stopped is not on its machine proves its end only because this leader won't
start it, and the next one knows nothing of that decision. The next leader sends again what it finds
proven.
"""

from __future__ import annotations

import logging

from msgspec import Struct

from mosswalk.wire.peers import Outcome, Outcomes

log = logging.getLogger(__name__)


class _Received(Struct, frozen=True):
    """An outcome and the term of the leader that sent it."""

    term: int
    outcome: Outcome


class ReceivedOutcomes:
    """Outcomes by attempt, each with the term in which it may be recorded."""

    def __init__(self) -> None:
        self._received: dict[tuple[str, int], _Received] = {}

    def __len__(self) -> int:
        return len(self._received)

    def add(self, message: Outcomes) -> None:
        """Add a message's outcomes, except those replaced by a later term's."""
        for outcome in message.outcomes:
            key = (outcome.task, outcome.attempt)
            known = self._received.get(key)
            if known is None or known.term <= message.term:
                self._received[key] = _Received(message.term, outcome)

    def take(self, term: int) -> list[Outcome]:
        """Remove and return the outcomes of a term, and discard those of earlier terms.

        Outcomes of later terms stay until this controller has seen their term.
        """
        received, self._received = self._received, {}
        taken: list[Outcome] = []
        for key, entry in received.items():
            if entry.term == term:
                taken.append(entry.outcome)
            elif entry.term > term:
                self._received[key] = entry
            else:
                log.info(
                    "discarding an outcome of term %d in term %d: %s attempt %d on %s: %s",
                    entry.term,
                    term,
                    entry.outcome.task,
                    entry.outcome.attempt,
                    entry.outcome.machine,
                    entry.outcome.kind,
                )
        return taken

    def clear(self) -> None:
        """Discard all outcomes."""
        self._received.clear()
