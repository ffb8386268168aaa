"""Settings of the failure detector: the ``detection`` block of the operators' file."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

import msgspec
from msgspec import Struct

# More frequent heartbeats would load a small machine without giving more information.
_MIN_HEARTBEAT_S = 0.05


class DetectionTuning(Struct, frozen=True, forbid_unknown_fields=True):
    """When a controller is suspected, and when a verdict on it is given."""

    heartbeat_s: float = 0.5
    # The timeout of a link is ``margin`` times this quantile of the gaps between its contacts, but
    # at least ``floor_s`` and at most ``ceiling_s``.
    quantile: float = 0.99
    margin: float = 2.5
    floor_s: float = 1.2
    ceiling_s: float = 2.0
    # How many other controllers are asked to reach a controller before it is suspected.
    probes: int = 2
    # How long a controller must have been in the state ``silent`` before a quorum declares it dead:
    # ``refused_s`` if the connections of the whole quorum are refused, otherwise ``silent_s``.
    refused_s: float = 0.6
    silent_s: float = 3.0
    # How long a suspicion lasts after the link has recovered, doubled with each recurrence up to
    # ``settle_most_s``.
    settle_s: float = 2.0
    settle_most_s: float = 30.0
    # The renewer thread renews the lease only if the main loop made progress within this time.
    progress_s: float = 1.5


def _require(condition: bool, name: str, allowed: str) -> None:
    if not condition:
        raise ValueError(f"detection.{name}: must be {allowed}")


def _check(tuning: DetectionTuning, ttl_s: float) -> None:
    """Check that the time limits are in order, and that a verdict precedes the lease's end."""
    _require(tuning.heartbeat_s >= _MIN_HEARTBEAT_S, "heartbeat_s", f"at least {_MIN_HEARTBEAT_S}")
    _require(0.5 <= tuning.quantile < 1, "quantile", "at least 0.5 and below 1")
    _require(tuning.margin >= 1, "margin", "at least 1")
    _require(
        tuning.floor_s >= 2 * tuning.heartbeat_s,
        "floor_s",
        f"at least twice heartbeat_s ({2 * tuning.heartbeat_s:g})",
    )
    _require(
        tuning.floor_s <= tuning.ceiling_s < ttl_s,
        "ceiling_s",
        f"at least floor_s ({tuning.floor_s:g}) and below leadership.ttl_s ({ttl_s:g})",
    )
    _require(tuning.probes >= 0, "probes", "at least 0")
    _require(tuning.refused_s > 0, "refused_s", "above 0")
    _require(
        tuning.refused_s <= tuning.silent_s,
        "silent_s",
        f"at least refused_s ({tuning.refused_s:g})",
    )
    _require(
        tuning.ceiling_s + tuning.silent_s <= ttl_s,
        "silent_s",
        f"at most leadership.ttl_s less ceiling_s ({ttl_s - tuning.ceiling_s:g}):"
        " a verdict has no effect after the lease has expired",
    )
    _require(tuning.settle_s > 0, "settle_s", "above 0")
    _require(
        tuning.settle_most_s >= tuning.settle_s,
        "settle_most_s",
        f"at least settle_s ({tuning.settle_s:g})",
    )
    _require(
        0 < tuning.progress_s < ttl_s,
        "progress_s",
        f"above 0 and below leadership.ttl_s ({ttl_s:g})",
    )


def load_detection(block: Mapping[str, Any], ttl_s: float) -> DetectionTuning:
    """Read a ``detection`` block; ValueError names the setting and what is allowed."""
    known = DetectionTuning.__struct_fields__
    for name in block:
        if name not in known:
            raise ValueError(f"detection.{name}: unknown setting; allowed are {', '.join(known)}")
    try:
        tuning = msgspec.convert(dict(block), DetectionTuning)
    except msgspec.ValidationError as error:
        raise ValueError(f"detection: {error}") from None
    _check(tuning, ttl_s)
    return tuning
