"""Types that all modules share: resources, teams, machine types and job specifications."""

from __future__ import annotations

from enum import IntEnum, StrEnum

import msgspec

EPSILON = 1e-6  # tolerance for rounding errors in sums of resources


class JobKind(StrEnum):
    """Kind of a job, by its tasks: independent tasks, a gang, or service replicas."""

    ARRAY = "array"
    GANG = "gang"
    SERVICE = "service"


class Priority(IntEnum):
    """Priority class of a job; jobs of a higher class may preempt those of a lower class."""

    LOW = 0
    NORMAL = 1
    HIGH = 2
    PRODUCTION = 3


class Resources(msgspec.Struct, frozen=True, gc=False):
    """Resources of a task or a machine; created in large numbers, hence untracked by the cyclic GC."""

    cpus: float
    gpus: float
    memory_gb: float

    def __add__(self, other: Resources) -> Resources:
        return Resources(self.cpus + other.cpus, self.gpus + other.gpus, self.memory_gb + other.memory_gb)

    def __sub__(self, other: Resources) -> Resources:
        return Resources(self.cpus - other.cpus, self.gpus - other.gpus, self.memory_gb - other.memory_gb)

    def scaled(self, count: float) -> Resources:
        """Return ``count`` times this amount."""
        return Resources(self.cpus * count, self.gpus * count, self.memory_gb * count)

    def fits(self, capacity: Resources) -> bool:
        """Whether this amount fits into ``capacity``."""
        return (
            self.gpus <= capacity.gpus + EPSILON
            and self.cpus <= capacity.cpus + EPSILON
            and self.memory_gb <= capacity.memory_gb + EPSILON
        )

    def fit_count(self, capacity: Resources, limit: int) -> int:
        """Return how many times this amount fits into ``capacity``, up to ``limit``."""
        counts = [
            int((available + EPSILON) / requested)
            for requested, available in (
                (self.cpus, capacity.cpus),
                (self.gpus, capacity.gpus),
                (self.memory_gb, capacity.memory_gb),
            )
            if requested > 0
        ]
        return max(0, min([limit, *counts]))

    def dominant_share(self, total: Resources) -> float:
        """Return the largest share of any resource of ``total`` in this amount (dominant resource fairness)."""
        shares = [
            requested / available
            for requested, available in (
                (self.cpus, total.cpus),
                (self.gpus, total.gpus),
                (self.memory_gb, total.memory_gb),
            )
            if available > 0
        ]
        return max(shares, default=0.0)


ZERO_RESOURCES = Resources(0.0, 0.0, 0.0)


class Team(msgspec.Struct, frozen=True):
    """A team with its guarantee and its quota (``max_*``), in CPUs and GPUs; 0 means no guarantee or no limit."""

    name: str
    guaranteed_cpus: float
    max_cpus: float
    guaranteed_gpus: float
    max_gpus: float

    @property
    def has_guarantee(self) -> bool:
        """Whether any capacity is guaranteed to the team."""
        return self.guaranteed_cpus > 0 or self.guaranteed_gpus > 0

    def within_quota(self, used: Resources) -> bool:
        """Whether ``used`` stays within the team's quota."""
        return not (
            (self.max_cpus > 0 and used.cpus > self.max_cpus + EPSILON)
            or (self.max_gpus > 0 and used.gpus > self.max_gpus + EPSILON)
        )

    def within_guarantee(self, used: Resources) -> bool:
        """Whether ``used`` stays within the team's guaranteed capacity."""
        if not self.has_guarantee:
            return False
        return not (
            (self.guaranteed_cpus > 0 and used.cpus > self.guaranteed_cpus + EPSILON)
            or (self.guaranteed_gpus > 0 and used.gpus > self.guaranteed_gpus + EPSILON)
        )


class MachineType(msgspec.Struct, frozen=True):
    """A machine type that the cloud offers; prices are per hour, times in seconds."""

    name: str
    capacity: Resources
    cache_gb: float
    fetch_gb_per_s: float
    price: float
    spot_price: float
    boot_s: float
    zones: tuple[str, ...]

    def price_for(self, *, spot: bool) -> float:
        """Return the price per hour of a spot instance or of an on-demand machine."""
        return self.spot_price if spot else self.price


class JobSpec(msgspec.Struct, frozen=True):
    """The specification of a job as submitted by the user; it never changes.

    Attributes:
        task_count: the number of tasks.
        resources: the resources that each task requests.
        machine_types: names of the allowed machine types; None allows all.
        zone: the only allowed zone; None allows all.
        single_zone: whether all tasks have to be in the same zone.
        spread_zones: whether no zone may have more than half of the tasks, rounded up.
        allows_spot: whether the tasks may run on spot instances.
        estimated_run_s: the owner's estimate of the run time.
        checkpoint_interval_s: the interval between checkpoints; 0 if the tasks save none.
        checkpoint_save_s: the time to save a checkpoint.
        deadline_s: the time by which the job should finish, relative to the submission.
    """

    id: str
    job_class: str
    team: str
    kind: JobKind
    priority: Priority
    task_count: int
    resources: Resources
    image: str
    image_gb: float
    machine_types: tuple[str, ...] | None
    zone: str | None
    single_zone: bool
    spread_zones: bool
    allows_spot: bool
    estimated_run_s: float
    checkpoint_interval_s: float
    checkpoint_save_s: float
    deadline_s: float | None

    def allows(self, type_name: str, zone: str, *, spot: bool) -> bool:
        """Whether the job may use spot instances, or on-demand machines, of this type in this zone."""
        return (
            (self.machine_types is None or type_name in self.machine_types)
            and (self.zone is None or self.zone == zone)
            and (self.allows_spot or not spot)
        )

    @property
    def may_wait_for_spot(self) -> bool:
        """Whether the job's tasks may individually wait for spot instances, as far as its objectives allow."""
        return self.allows_spot and self.kind is JobKind.ARRAY

    def max_tasks_per_zone(self) -> int:
        """Return how many tasks may be in the same zone: half of them, rounded up, if they have to be spread."""
        return (self.task_count + 1) // 2 if self.spread_zones else self.task_count
