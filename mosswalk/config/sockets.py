"""How the sockets that a controller may hold are shared out."""

from __future__ import annotations

from msgspec import Struct


class SocketBudget(Struct, frozen=True):
    """Most connections at a time; what is left over is for users and the balancer's probes."""

    # To the state service, the cloud and the other controllers.
    calls: int
    # Orders under way. Apart from the calls: orders to a cut-off zone hang, hundreds of them at
    # once, and must not keep the lease from being renewed.
    commands: int
    # Workers' own connections to a leader, and those kept open to send them orders.
    workers: int


def socket_budget(most: int) -> SocketBudget:
    """Share out a limit."""
    return SocketBudget(max(16, most // 8), max(16, most // 5), most * 5 // 8)
