"""What can go wrong between controllers."""

from __future__ import annotations


class PeerError(Exception):
    """No usable answer; nothing follows from it about the other controller."""


class PeerRefusedError(PeerError):
    """The connection was refused: no process listens, a filter is between, or sockets are short."""
