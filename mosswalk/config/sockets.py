"""Divides the sockets that a controller may use among their purposes."""

from __future__ import annotations

from msgspec import Struct


class SocketBudget(Struct, frozen=True):
    """Connection limits; the rest is left for users and the load balancer's probes."""

    # To the state service, the cloud and the other controllers.
    calls: int
    # Commands in flight. They have a budget of their own, because hundreds of commands to a zone
    # that is cut off can hang at once, which must not prevent the lease from being renewed.
    commands: int
    # Workers' own connections to a leader, and connections kept open to send them commands.
    workers: int


def socket_budget(max_connections: int) -> SocketBudget:
    """Divide a total number of connections."""
    return SocketBudget(
        max(16, max_connections // 8), max(16, max_connections // 5), max_connections * 5 // 8
    )
