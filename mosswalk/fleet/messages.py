"""Messages to the fleet manager."""

from __future__ import annotations

from msgspec import Struct

from mosswalk.cloud.actor import CloudResult
from mosswalk.wire.peers import OfferAnswer
from mosswalk.wire.workers import Report


class DirectCommandsDone(Struct):
    """A POST /orders request to a worker has ended.

    ``sent`` is false if no connection was made. ``report`` is the worker's answer, or None if
    none was received.
    """

    machine: str
    token: int
    session: int
    starts: tuple[tuple[str, int], ...]
    sent: bool
    report: Report | None


class OfferDone(Struct):
    """A team owner has answered an offer; without an answer, the request failed."""

    node: str
    answer: OfferAnswer | None


class Plan(Struct):
    """Requests new offers to the team owners."""


class Tick(Struct):
    """Requests the periodic work."""


class TermChanged(Struct):
    """The term record has changed."""


Message = DirectCommandsDone | OfferDone | Plan | Tick | TermChanged | CloudResult
