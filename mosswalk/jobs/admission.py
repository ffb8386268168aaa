"""Rejects jobs that could never run, which the users' API answers with status 422."""

from __future__ import annotations

from collections.abc import Mapping

from mosswalk.config import Team
from mosswalk.jobs.state import milli_ceil, milli_floor
from mosswalk.wire.cloud import MachineType
from mosswalk.wire.users import ARRAY, GANG, JobSpec


def fits_machine_type(spec: JobSpec, machine_type: MachineType) -> bool:
    """Whether one task fits an empty machine of this type, and the job may run on it."""
    if spec.types is not None and machine_type.name not in spec.types:
        return False
    if spec.zone is not None and spec.zone not in machine_type.zones:
        return False
    return (
        milli_ceil(spec.cpus) <= milli_floor(machine_type.cpus)
        and milli_ceil(spec.gpus) <= milli_floor(machine_type.gpus)
        and milli_ceil(spec.memory_gb) <= milli_floor(machine_type.memory_gb)
    )


def _has_zones_for_all_tasks(spec: JobSpec, types: tuple[MachineType, ...]) -> bool:
    """Whether the zones with suitable machine types allow all tasks to run at the same time."""
    if not spec.spread or spec.tasks == 1:
        return True
    zones = {
        zone
        for machine_type in types
        if fits_machine_type(spec, machine_type)
        for zone in machine_type.zones
    }
    if spec.zone is not None:
        zones &= {spec.zone}
    # A job that is spread may have at most half of its tasks, rounded up, in one zone, so it needs
    # at least two.
    return not spec.one_zone and len(zones) > 1


def rejection_reason(
    spec: JobSpec, types: tuple[MachineType, ...], teams: Mapping[str, Team]
) -> str | None:
    """The reason why the job can never run, or None if it can."""
    team = teams.get(spec.team)
    if team is None:
        return f"owner: no team {spec.team}"
    if not any(fits_machine_type(spec, machine_type) for machine_type in types):
        return "a task fits no allowed machine type"
    if spec.kind == GANG and not _has_zones_for_all_tasks(spec, types):
        return "no zones could hold all tasks together"
    count = 1 if spec.kind == ARRAY else spec.tasks
    if team.cpus_max > 0 and count * milli_ceil(spec.cpus) > milli_floor(team.cpus_max):
        return "cores: more than the team's limit"
    if team.gpus_max > 0 and count * milli_ceil(spec.gpus) > milli_floor(team.gpus_max):
        return "cards: more than the team's limit"
    return None
