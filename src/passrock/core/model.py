"""Plain typed data: teams, machine types, job specifications."""

from __future__ import annotations

from enum import IntEnum, StrEnum

import msgspec

EPSILON = 1e-6


class JobKind(StrEnum):
    """How the tasks of a job belong together."""

    ARRAY = "array"
    GANG = "gang"
    SERVICE = "service"


class Priority(IntEnum):
    """Rank of a job; a higher one may displace a lower one."""

    LOW = 0
    NORMAL = 1
    HIGH = 2
    PRODUCTION = 3


class Resources(msgspec.Struct, frozen=True, gc=False):
    """What a task takes of a machine, or what a machine has; made by the thousand, hence a light struct."""

    cpus: float
    gpus: float
    memory: float

    def __add__(self, other: Resources) -> Resources:
        return Resources(self.cpus + other.cpus, self.gpus + other.gpus, self.memory + other.memory)

    def __sub__(self, other: Resources) -> Resources:
        return Resources(self.cpus - other.cpus, self.gpus - other.gpus, self.memory - other.memory)

    def times(self, count: float) -> Resources:
        """The amount that ``count`` of these take."""
        return Resources(self.cpus * count, self.gpus * count, self.memory * count)

    def fits(self, room: Resources) -> bool:
        """Whether this amount fits into ``room``."""
        return (
            self.gpus <= room.gpus + EPSILON
            and self.cpus <= room.cpus + EPSILON
            and self.memory <= room.memory + EPSILON
        )

    def count_in(self, room: Resources, most: int) -> int:
        """How many of this amount fit into ``room`` together, up to ``most``."""
        counts = [
            int((theirs + EPSILON) / mine)
            for mine, theirs in ((self.cpus, room.cpus), (self.gpus, room.gpus), (self.memory, room.memory))
            if mine > 0
        ]
        return max(0, min([most, *counts]))

    def share_of(self, whole: Resources) -> float:
        """The largest part that this amount takes of any resource of ``whole``."""
        parts = [
            mine / theirs
            for mine, theirs in (
                (self.cpus, whole.cpus),
                (self.gpus, whole.gpus),
                (self.memory, whole.memory),
            )
            if theirs > 0
        ]
        return max(parts, default=0.0)


NOTHING = Resources(0.0, 0.0, 0.0)


class Team(msgspec.Struct, frozen=True):
    """A team with its guarantee and its limit; 0 stands for none."""

    name: str
    cpus: float
    cpus_max: float
    gpus: float
    gpus_max: float

    @property
    def has_guarantee(self) -> bool:
        """Whether any capacity is promised to the team."""
        return self.cpus > 0 or self.gpus > 0

    def within_limit(self, used: Resources) -> bool:
        """Whether ``used`` stays inside the team's limit."""
        return not (
            (self.cpus_max > 0 and used.cpus > self.cpus_max + EPSILON)
            or (self.gpus_max > 0 and used.gpus > self.gpus_max + EPSILON)
        )

    def within_guarantee(self, used: Resources) -> bool:
        """Whether ``used`` stays inside what the team is guaranteed."""
        if not self.has_guarantee:
            return False
        return not (
            (self.cpus > 0 and used.cpus > self.cpus + EPSILON) or (self.gpus > 0 and used.gpus > self.gpus + EPSILON)
        )


class MachineType(msgspec.Struct, frozen=True):
    """A type of machine that the cloud rents out."""

    name: str
    size: Resources
    cache_gb: float
    fetch_rate: float
    price: float
    spot_price: float
    boot_s: float
    zones: tuple[str, ...]


class JobSpec(msgspec.Struct, frozen=True):
    """What a user asked for."""

    id: str
    job_class: str
    team: str
    kind: JobKind
    priority: Priority
    tasks: int
    resources: Resources
    image: str
    image_gb: float
    types: tuple[str, ...] | None
    zone: str | None
    one_zone: bool
    spread: bool
    spot: bool
    estimate: float
    checkpoint: float
    save: float
    deadline: float | None

    def allows(self, type_name: str, zone: str, spot: bool) -> bool:
        """Whether a machine of this type, zone and kind is allowed for the job."""
        return (
            (self.types is None or type_name in self.types)
            and (self.zone is None or self.zone == zone)
            and (self.spot or not spot)
        )

    def zone_cap(self) -> int:
        """The most tasks that may be in one zone."""
        return (self.tasks + 1) // 2 if self.spread else self.tasks
