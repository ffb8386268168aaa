"""Settings: the platform's TOML file and, optionally, the operators' own HCL file.

Unknown fields are ignored in both, since later versions may add some. Only the ``detection`` block
rejects them. Each error is reported in one line that names the file and the field.
"""

from __future__ import annotations

import os
import tomllib
from pathlib import Path
from typing import Any

import msgspec
from msgspec import Struct

from mosswalk.config.operator import Tuning, load_tuning

__all__ = ["Settings", "SettingsError", "Tuning", "load"]

# The environment variable with the path of the operators' file.
OPERATOR_FILE_VARIABLE = "MOSSWALK_HCL"
# If the variable is not set, the operators' file is the one beside the platform's file with the
# same name and this suffix, if it exists.
OPERATOR_SUFFIX = ".hcl"

# The lowest ``txn_ops`` that is accepted. A job ends in one transaction of two writes: its final
# record is put and its record deleted.
_MIN_TXN_OPS = 2


class SettingsError(Exception):
    """The settings are invalid; the message names the file and the field."""


class Peer(Struct, frozen=True):
    """Another controller."""

    host_name: str
    zone: str
    address: str


class ServiceAddresses(Struct, frozen=True):
    """Addresses of the services that mosswalk uses."""

    cloud: str
    state: str


class Team(Struct, frozen=True):
    """A team's guaranteed and maximum resources.

    ``cpus`` and ``gpus`` are guaranteed, ``cpus_max`` and ``gpus_max`` are limits; a limit of 0
    means that there is none.
    """

    name: str
    cpus: float = 0.0
    cpus_max: float = 0.0
    gpus: float = 0.0
    gpus_max: float = 0.0


class Objective(Struct, frozen=True):
    """A service level objective. Only those with a job class and ``within_s`` are used."""

    # "wait" limits the time from submission until a job starts, "finished" that until it is done.
    # Other kinds are ignored.
    kind: str
    job_class: str | None = msgspec.field(name="class", default=None)
    within_s: float | None = None
    # Not used.
    share: float | None = None


class WorkerLimits(Struct, frozen=True):
    """Intervals and time limits of workers."""

    # The interval between a worker's reports.
    report_s: float
    # A worker's tasks end this long after it sent the last report that was answered.
    lease_s: float
    # By this time after a job was withdrawn, all its tasks must have ended.
    cancel_s: float
    # How long a task of a gang waits for the others to start.
    gang_wait_s: float = 60.0
    # How soon a task of a gang notices that another one no longer runs.
    gang_peer_s: float = 5.0


class NextStateLimits(Struct, frozen=True):
    """Limits that the settings announce in ``params.state.next``; None means unchanged.

    The state service adopts them at a time that is not announced.
    """

    rps: float | None = None
    write_rps: float | None = None
    value_kb: float | None = None
    txn_ops: int | None = None


class StateLimits(Struct, frozen=True):
    """Request, write and size limits of the state service."""

    rps: float
    write_rps: float
    value_kb: float
    txn_ops: int
    next: NextStateLimits | None = None

    def lowest(self) -> StateLimits:
        """The lower of the current and the next value of each limit.

        Requests within these are accepted both before and after the service adopts the next values,
        at a time that this controller does not learn.
        """
        if self.next is None:
            return self
        lowered = {
            name: min(getattr(self, name), limit)
            for name in NextStateLimits.__struct_fields__
            if (limit := getattr(self.next, name)) is not None
        }
        return msgspec.structs.replace(self, next=None, **lowered)


class CloudLimits(Struct, frozen=True):
    """The cloud's request limit, and how far its list of machines may lag behind."""

    rps: float
    list_lag_s: float


class MachineLimits(Struct, frozen=True):
    """Resources that this process may use."""

    core_share: float = 1.0
    mem_mb: float = 512.0
    max_connections: int = 1000


class Params(Struct, frozen=True):
    """Parameters of the deployment: zones, limits of workers and services, teams, objectives."""

    zones: tuple[str, ...]
    workers: WorkerLimits
    # Limits of the state service and of the cloud.
    state: StateLimits
    cloud: CloudLimits
    # Accepted in the settings file, but not used.
    time_bound_ms: float = 1000.0
    teams: tuple[Team, ...] = ()
    objectives: tuple[Objective, ...] = ()
    machine_limits: MachineLimits = MachineLimits()


class Settings(Struct, frozen=True):
    """The settings that the platform provides, and the operators' tuning."""

    host_name: str
    zone: str
    serve_on: str
    cluster_listen: str
    outside: ServiceAddresses
    params: Params
    known: tuple[Peer, ...] = ()
    tuning: Tuning = Tuning()


def split_address(text: str) -> tuple[str, int]:
    """Split ``host:port`` into host and port; ValueError if the text has another form."""
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"{text!r} is not of the form host:port")
    return host, int(port)


def _require_positive(path: Path, section: str, **values: float) -> None:
    for name, value in values.items():
        if not value > 0:
            raise SettingsError(f"{path}: {section}.{name}: must be above 0")


def _check(path: Path, settings: Settings) -> None:
    addresses = {
        "serve_on": settings.serve_on,
        "cluster_listen": settings.cluster_listen,
        "outside.cloud": settings.outside.cloud,
        "outside.state": settings.outside.state,
        **{f"known[{i}].address": peer.address for i, peer in enumerate(settings.known)},
    }
    for name, text in addresses.items():
        try:
            split_address(text)
        except ValueError as error:
            raise SettingsError(f"{path}: {name}: {error}") from None
    params = settings.params
    workers, state = params.workers, params.state
    _require_positive(
        path,
        "params.workers",
        report_s=workers.report_s,
        lease_s=workers.lease_s,
        cancel_s=workers.cancel_s,
    )
    _require_positive(
        path,
        "params.state",
        rps=state.rps,
        write_rps=state.write_rps,
        value_kb=state.value_kb,
        txn_ops=state.txn_ops,
    )
    _require_positive(path, "params.cloud", rps=params.cloud.rps)
    if state.txn_ops < _MIN_TXN_OPS:
        raise SettingsError(f"{path}: params.state.txn_ops: must be at least {_MIN_TXN_OPS}")
    if workers.cancel_s <= workers.lease_s:
        # In a zone that is cut off, a withdrawn task is only certain to end when its lease expires.
        raise SettingsError(f"{path}: params.workers.cancel_s: must be above lease_s")
    names = [team.name for team in params.teams]
    if len(set(names)) != len(names):
        raise SettingsError(f"{path}: params.teams: duplicate name")
    hosts = [settings.host_name, *(peer.host_name for peer in settings.known)]
    if len(set(hosts)) != len(hosts):
        raise SettingsError(f"{path}: known: duplicate host_name")


def _read(path: Path) -> str:
    try:
        return path.read_text(encoding="utf-8")
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from None
    except UnicodeDecodeError as error:
        raise SettingsError(f"{path}: not UTF-8: {error.reason}") from None


def _find_operator_file(path: Path) -> Path | None:
    configured = os.environ.get(OPERATOR_FILE_VARIABLE)
    if configured:
        return Path(configured)
    default_path = path.with_suffix(OPERATOR_SUFFIX)
    return default_path if default_path.exists() else None


def _with_lowest_state_limits(settings: Settings) -> Settings:
    """Replace each limit of the state service by the lower of the current and the next one.

    The next ones are those in ``params.state.next``. The service changes to them at a time that is
    not announced, so this controller stays within both from the start.
    """
    state = settings.params.state.lowest()
    params = msgspec.structs.replace(settings.params, state=state)
    return msgspec.structs.replace(settings, params=params)


def load(path: Path, operator_path: Path | None = None) -> Settings:
    """Read and check the settings; SettingsError names the file and the field."""
    try:
        raw: dict[str, Any] = tomllib.loads(_read(path))
    except tomllib.TOMLDecodeError as error:
        raise SettingsError(f"{path}: not TOML: {error}") from None
    raw.pop("tuning", None)
    try:
        settings = msgspec.convert(raw, Settings)
    except msgspec.ValidationError as error:
        raise SettingsError(f"{path}: {error}") from None
    _check(path, settings)
    settings = _with_lowest_state_limits(settings)
    _check(path, settings)
    operator_path = operator_path or _find_operator_file(path)
    if operator_path is not None:
        try:
            tuning = load_tuning(_read(operator_path))
        except ValueError as error:
            raise SettingsError(f"{operator_path}: {error}") from None
        settings = msgspec.structs.replace(settings, tuning=tuning)
    return settings
