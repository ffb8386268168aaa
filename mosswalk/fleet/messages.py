"""What the leader's actor is told."""

from __future__ import annotations

from msgspec import Struct

from mosswalk.cloud.actor import CloudResult
from mosswalk.wire.peers import OfferAnswer
from mosswalk.wire.workers import Report


class DirectCommandsDone(Struct):
    """What became of orders sent to a worker's own address."""

    machine: str
    term: int
    session: int
    starts: tuple[tuple[str, int], ...]
    sent: bool
    report: Report | None


class OfferDone(Struct):
    """An owner has placed on an offer, or has not been heard of."""

    node: str
    answer: OfferAnswer | None


class Plan(Struct):
    """Time to look at what waits and what is free."""


class Tick(Struct):
    """Time for what happens on its own."""


class TermChanged(Struct):
    """The term record has changed."""


Message = DirectCommandsDone | OfferDone | Plan | Tick | TermChanged | CloudResult
