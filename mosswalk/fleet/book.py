"""The machine book: what the leader knows of every machine."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from typing import Literal

from mosswalk.wire.cloud import MachineType
from mosswalk.wire.workers import Report, TaskReport

TaskKey = tuple[str, int]

# Names of machines that are gone, kept so that the lagging list can't bring them back.
_MOST_GONE = 5000


@dataclass(slots=True)
class Machine:
    """One machine, from its rental until the cloud has confirmed its return."""

    name: str
    type: str
    zone: str
    spot: bool
    phase: Literal["requested", "booting", "up"]
    since_us: int
    rented_us: int
    address: str | None = None
    group: int | None = None
    releasing: str | None = None
    # Known only because a record names it: nothing else has been heard of it.
    rumoured: bool = False
    seen_us: int = 0
    tenure: int = 0
    tick: int = -1
    epoch: int = 0
    # Whether it has reported since this controller began to lead.
    reported: bool = False
    notice_until_us: int | None = None
    tasks: dict[TaskKey, TaskReport] = field(default_factory=dict)
    images: OrderedDict[str, float] = field(default_factory=OrderedDict)
    errors: int = 0
    distrusted: bool = False
    idle_since_us: int | None = None
    # What the attempts placed on it take, in thousandths, and whether a replica is among them.
    used_cpus: int = 0
    used_memory: int = 0
    has_replica: bool = False
    # Starts sent to /orders whose answer never came, with the epoch and tenure they carried.
    unanswered: dict[TaskKey, tuple[int, int]] = field(default_factory=dict)

    def newer(self, report: Report) -> bool:
        """Whether a report is newer than all seen before."""
        return (report.tenure, report.tick) > (self.tenure, self.tick)

    def used_image(self, image: str, image_gb: float, cache_gb: float) -> None:
        """An image was fetched or used: remember it as the worker's cache would."""
        self.images[image] = image_gb
        self.images.move_to_end(image)
        while len(self.images) > 1 and sum(self.images.values()) > cache_gb:
            self.images.popitem(last=False)

    def may_run_late(self, key: TaskKey, epoch: int) -> bool:
        """Whether an unanswered start could still be carried out."""
        sent = self.unanswered.get(key)
        return sent is not None and sent[0] >= max(epoch, self.epoch) and sent[1] == self.tenure


class Book:
    """Machines by name, and the names of those that are gone."""

    def __init__(self) -> None:
        self.machines: dict[str, Machine] = {}
        self.types: dict[str, MachineType] = {}
        self._gone: OrderedDict[str, None] = OrderedDict()

    def gone(self, name: str) -> bool:
        """Whether the cloud has confirmed that the machine is gone."""
        return name in self._gone

    def remove(self, name: str) -> Machine | None:
        """The cloud has confirmed the return."""
        self._gone[name] = None
        while len(self._gone) > _MOST_GONE:
            self._gone.popitem(last=False)
        return self.machines.pop(name, None)

    def zone_of(self) -> dict[str, str]:
        """The zones of all machines that are more than a rumour."""
        return {m.name: m.zone for m in self.machines.values() if not m.rumoured}

    def reset(self) -> None:
        """Forget machines: another controller led meanwhile."""
        self.machines.clear()
