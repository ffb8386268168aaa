"""Chooses the token of each machine within the range of the leader's term.

A copy of a start command may reach its worker at any later time. Once the worker has been told to
forget the attempt, it would run it again, unless the copy's token is outdated by then.
"""

from __future__ import annotations

from typing import Protocol

from mosswalk.fleet.inventory import Machine, TaskKey
from mosswalk.wire.tokens import is_last_of_range


class TokenSource(Protocol):
    """The leader's term."""

    def first_token(self) -> int:
        """The lowest token of the current term."""

    def has_token_range(self) -> bool:
        """Whether the current term has more than one token."""

    def request_new_term(self) -> None:
        """Request a new term."""


class WorkerTokens:
    """The token of each machine: it rises with the term, and whenever starts must be outdated."""

    def __init__(self, source: TokenSource) -> None:
        self._source = source
        # The lowest token for the machines in the inventory, and the highest one used so far.
        self._lowest = 0
        self._highest = 0
        # The highest token with which a start may have been sent to any machine before ``reset``.
        self._started_before_reset = 0
        # How often the token of a single machine was raised.
        self.raised = 0

    def lowest(self) -> int:
        """The lowest token in use; a worker that reports it has heard from this leadership."""
        first = self._source.first_token()
        if first > self._highest:
            self._lowest = self._highest = first
        return self._lowest

    def current(self, machine: Machine | None) -> int:
        """The token for the next message to a machine; the lowest if it is not known."""
        lowest = self.lowest()
        return lowest if machine is None else max(machine.raised_token, lowest)

    def outdate_starts(self, machine: Machine) -> bool:
        """Make sure that a machine's token is above that of every start sent to it.

        A worker that has received a message with this token refuses copies of all these starts. The
        token is raised if a start was sent with the current one. Returns False if that is not
        possible: the term has a single token, or its range is exhausted, which requests a new term.
        """
        token = self.current(machine)
        if max(machine.started_with_token, self._started_before_reset) < token:
            return True
        if not self._source.has_token_range():
            return False
        if is_last_of_range(token):
            self._source.request_new_term()
            return False
        machine.raised_token = token + 1
        self._highest = max(self._highest, machine.raised_token)
        self.raised += 1
        return True

    def may_start_again(self, machine: Machine, attempt: TaskKey) -> bool:
        """Whether the machine's current token lets a copy of an attempt's start pass."""
        token = self.current(machine)
        return self._started_before_reset >= token or (
            machine.started_with_token >= token and attempt in machine.starts_with_token
        )

    def reset(self) -> None:
        """Discard the machines' tokens; called when this controller stops leading.

        If it leads again in the same term, all machines begin above the tokens used before. In a
        term with a single token no start sent before can be outdated.
        """
        self._started_before_reset = self._highest
        if self._source.has_token_range() and not is_last_of_range(self._highest):
            self._highest += 1
            self._lowest = self._highest
