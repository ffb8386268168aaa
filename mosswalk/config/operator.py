"""The operators' own settings, in HCL: tuning parameters and the teams' shares.

An example:

factory {
  period_s       = 2
  load_high      = 1.0
  weight_of_time = 0.5
}
team "vision" { share = 2.0 }
"""

from __future__ import annotations

from typing import Any

import msgspec
from msgspec import Struct

from mosswalk.config.detection import DetectionTuning, load_detection


class FactoryTuning(Struct, frozen=True):
    """Parameters of the VM factory (in the CBRAIN paper: tau, mu, nu, k, lambda)."""

    # The interval of the control loop.
    period_s: float = 0.5
    # Machines of a type are rented once its load ratio has been above ``load_high``, or tasks have
    # fitted nowhere, for ``high_dwell_s``. They are released once the ratio has been below
    # ``load_low`` for ``low_dwell_s``.
    load_high: float = 1.02
    load_low: float = 0.95
    high_dwell_s: float = 0.5
    low_dwell_s: float = 4.0
    # How many machines of a type are rented or released at most in one iteration of the loop.
    most_rented: int = 50
    most_returned: int = 2
    # The weight (lambda) of the time against the cost of a rental, from 0 to 1.
    weight_of_time: float = 0.3
    # The maximum number of machines in a pool. No limit in practice: a rental is bounded by the
    # waiting tasks, and a pool by the cloud's refusals.
    pool_cap: int = 100_000
    # A machine that is up is released only after it has been idle for this long.
    idle_keep_s: float = 3.0
    # If no spot machine is available for tasks that may use one, an on-demand machine is rented in
    # time to be up once they have waited this long.
    steady_within_s: float = 45.0
    # The waiting tasks must fill this fraction of a new machine, if they could wait for capacity on
    # existing ones.
    least_fill: float = 0.5


class FleetTuning(Struct, frozen=True):
    """When machines are considered silent, unhealthy or overdue in booting."""

    # A machine is silent if it has not reported for this many report intervals.
    silent_reports: float = 3.5
    # A machine is unhealthy after this many failed tasks in a row.
    errors_to_distrust: int = 2
    # A machine is overdue if it has not booted within this many times its type's boot time.
    boot_patience: float = 4.0


class LeadershipTuning(Struct, frozen=True):
    """How long a controller's lease lasts, and how often it is renewed."""

    ttl_s: float = 3.0
    renew_s: float = 0.8


class Tuning(Struct, frozen=True):
    """Everything that an operator may change."""

    factory: FactoryTuning = FactoryTuning()
    fleet: FleetTuning = FleetTuning()
    leadership: LeadershipTuning = LeadershipTuning()
    shares: dict[str, float] = {}
    # None means that the failure detector is off.
    detection: DetectionTuning | None = None


def _strip_parser_markup(value: Any) -> Any:
    """Remove the quotes that the parser keeps on strings, and the keys that it adds to blocks."""
    if isinstance(value, str):
        return value[1:-1] if len(value) > 1 and value[0] == value[-1] == '"' else value
    if isinstance(value, list):
        return [_strip_parser_markup(item) for item in value]
    if isinstance(value, dict):
        return {
            _strip_parser_markup(k): _strip_parser_markup(v)
            for k, v in value.items()
            if not k.startswith("__")
        }
    return value


def _single(raw: dict[str, Any], name: str) -> dict[str, Any]:
    blocks = raw.get(name, [])
    if not isinstance(blocks, list) or len(blocks) > 1:
        raise ValueError(f"{name}: must be a single block")
    return blocks[0] if blocks else {}


def _check_ranges(tuning: Tuning) -> None:
    factory = tuning.factory
    if not 0 <= factory.weight_of_time <= 1:
        raise ValueError("factory.weight_of_time: must be 0 to 1")
    if factory.load_low >= factory.load_high:
        raise ValueError("factory.load_low: must be below load_high")
    for block_name in ("factory", "fleet", "leadership"):
        block = getattr(tuning, block_name)
        for name in block.__struct_fields__:
            if getattr(block, name) < 0:
                raise ValueError(f"{block_name}.{name}: must not be negative")
    if factory.period_s <= 0 or factory.pool_cap < 1:
        raise ValueError("factory.period_s and factory.pool_cap: must be above 0")
    if not 0 < tuning.leadership.renew_s < tuning.leadership.ttl_s / 2:
        raise ValueError("leadership.renew_s: must be above 0 and below half of ttl_s")
    if tuning.leadership.ttl_s < 0.5:
        raise ValueError("leadership.ttl_s: must be at least 0.5")
    for team, share in tuning.shares.items():
        if share <= 0:
            raise ValueError(f"team {team}.share: must be above 0")


def load_tuning(text: str) -> Tuning:
    """Parse an operators' file; ValueError names the field."""
    # Imported here: the parser takes time to import, and most controllers have no such file.
    import hcl2

    try:
        raw = _strip_parser_markup(hcl2.loads(text))
    except Exception as error:  # the parser's errors have no common base class
        reason = str(error).strip().splitlines()[0] if str(error).strip() else "syntax error"
        raise ValueError(f"not HCL: {reason}") from None
    shares: dict[str, Any] = {}
    for block in raw.get("team", []):
        for name, body in block.items():
            if "share" in body:
                shares[name] = body["share"]
    blocks = {name: _single(raw, name) for name in ("factory", "fleet", "leadership")}
    try:
        tuning = msgspec.convert({**blocks, "shares": shares}, Tuning)
    except msgspec.ValidationError as error:
        raise ValueError(str(error)) from None
    _check_ranges(tuning)
    if "detection" in raw:
        detection = load_detection(_single(raw, "detection"), tuning.leadership.ttl_s)
        tuning = msgspec.structs.replace(tuning, detection=detection)
    return tuning
