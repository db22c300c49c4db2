"""The leader's state of one machine: capacity, cached images, and evidence that its worker is reachable."""

from __future__ import annotations

from collections import OrderedDict

import msgspec

from passrock.core.model import EPSILON, ZERO_RESOURCES, JobSpec, MachineType, Resources
from passrock.core.recent_launches import RecentLaunches

# Single answers are lost occasionally; after this many consecutive answers without effect, none reaches the machine.
UNACKNOWLEDGED_ANSWERS_LIMIT = 2


class Machine(msgspec.Struct):
    """A machine, the resources that its tasks use, and the state from its heartbeats.

    Times are monotonic, in seconds.
    """

    name: str
    type: MachineType
    zone: str
    spot: bool
    requested_at: float
    """When the machine was requested, or its creation time according to the cloud's list."""

    # -- heartbeats and reachability, evaluated by ``MachineHealth``
    heartbeat_received: bool = False
    """Whether a heartbeat has arrived in this leader's term."""
    first_heartbeat_at: float = 0.0
    incarnation: int = 0
    sequence: int = -1
    last_heartbeat_at: float = 0.0
    last_answer_at: float = 0.0
    acknowledged_term: bool = False
    """Whether a heartbeat carried this term's fencing token, which a worker receives only in an answer."""
    on_probation: bool = False
    """Whether exactly one heartbeat has arrived since the machine became unresponsive."""
    in_correlated_outage: bool = False
    """Whether the machine became unresponsive together with many others; cleared only by its own next heartbeat."""
    unacknowledged_answers: int = 0
    """The number of consecutive answers that had no effect on the next heartbeat."""
    last_unacknowledged_at: float = 0.0

    # -- life cycle
    reclaim_at: float | None = None
    """When the cloud will reclaim the spot instance; None without a preemption notice."""
    deleting: bool = False
    quarantined_until: float = 0.0
    idle_since: float | None = None
    failed_jobs: dict[str, float] = msgspec.field(default_factory=dict)
    """Ids of jobs whose tasks failed on this machine, with the time of the last failure."""
    recent_launches: RecentLaunches = msgspec.field(default_factory=RecentLaunches)

    # -- image cache and capacity
    images: OrderedDict[str, float] = msgspec.field(default_factory=OrderedDict)
    """Cached images with their sizes in GB, least recently used first."""
    fetching: dict[str, float] = msgspec.field(default_factory=dict)
    """Images that are being fetched, with their sizes in GB."""
    orphans: dict[tuple[str, int], Resources] = msgspec.field(default_factory=dict)
    """Tasks on this machine without an attempt in the job table; they use capacity until they stop."""
    used: Resources = ZERO_RESOURCES
    """The resources of the machine's attempts in the job table."""

    @property
    def free_capacity(self) -> Resources:
        """The capacity that neither attempts nor orphans use."""
        free = self.type.capacity - self.used
        for amount in self.orphans.values():
            free = free - amount
        return free

    def has_capacity_for(self, resources: Resources) -> bool:
        """Whether ``resources`` fits into the free capacity.

        Compares plain numbers, as every scheduling pass calls this for every machine.
        """
        capacity, used = self.type.capacity, self.used
        return (
            resources.gpus <= capacity.gpus - used.gpus + EPSILON
            and resources.cpus <= capacity.cpus - used.cpus + EPSILON
            and resources.memory_gb <= capacity.memory_gb - used.memory_gb + EPSILON
            and (not self.orphans or resources.fits(self.free_capacity))
        )

    @property
    def is_reachable(self) -> bool:
        """Whether answers provably reach the worker; heartbeats prove only the machine's outbound direction."""
        return (
            self.acknowledged_term
            and not self.on_probation
            and self.unacknowledged_answers < UNACKNOWLEDGED_ANSWERS_LIMIT
        )

    def record_unacknowledged_answer(self, now: float) -> None:
        """Count an answer that had no effect on the machine's next heartbeat."""
        self.unacknowledged_answers += 1
        self.last_unacknowledged_at = now

    def record_image_fetched(self, spec: JobSpec) -> None:
        """Add the job's image to the cache, and evict the least recently used images that exceed the cache size."""
        self.fetching.pop(spec.image, None)
        self.images[spec.image] = spec.image_gb
        self.images.move_to_end(spec.image)
        while len(self.images) > 1 and sum(self.images.values()) > self.type.cache_gb:
            self.images.popitem(last=False)

    def image_fetch_time_s(self, spec: JobSpec) -> float:
        """Return the seconds until a task of this job would have its image on this machine."""
        if spec.image in self.images:
            return 0.0
        outstanding_gb = sum(self.fetching.values())
        if spec.image not in self.fetching:
            outstanding_gb += spec.image_gb
        return outstanding_gb / self.type.fetch_gb_per_s if self.type.fetch_gb_per_s > 0 else 0.0

    def image_fetch_interference_s(self, spec: JobSpec) -> float:
        """Return the seconds by which this job's image would delay the fetches in progress; all share one rate."""
        others = len(self.fetching) - (spec.image in self.fetching)
        if others <= 0 or spec.image in self.images or spec.image in self.fetching or self.type.fetch_gb_per_s <= 0:
            return 0.0
        return others * min(spec.image_gb, max(self.fetching.values())) / self.type.fetch_gb_per_s
