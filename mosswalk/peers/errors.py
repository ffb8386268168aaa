"""Errors of requests between controllers."""

from __future__ import annotations


class PeerError(Exception):
    """A request got no usable answer; this does not show whether the other controller is up."""


class PeerRefusedError(PeerError):
    """The connection was refused: no process listens, a filter blocks it, or sockets ran out."""
