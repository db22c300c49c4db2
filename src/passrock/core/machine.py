"""One machine as the leader knows it: its capacity, its cached images and the evidence that it is reachable."""

from __future__ import annotations

from collections import OrderedDict

import msgspec

from passrock.core.model import EPSILON, ZERO_RESOURCES, JobSpec, MachineType, Resources

# A single answer is lost now and then; this many in a row without effect mean that none reaches the machine.
MAX_UNACKNOWLEDGED_ANSWERS = 2


class Machine(msgspec.Struct):
    """A machine with its tasks' resources and what is known from its heartbeats. Times are monotonic, in seconds."""

    name: str
    type: MachineType
    zone: str
    spot: bool
    requested_at: float
    """When it was requested, or created according to the cloud's list."""

    # -- heartbeats and reachability: see ``MachineHealth`` for what is concluded from them
    heartbeat_received: bool = False
    """Whether any arrived in this leader's term."""
    first_heartbeat_at: float = 0.0
    incarnation: int = 0
    sequence: int = -1
    last_heartbeat_at: float = 0.0
    last_answer_at: float = 0.0
    acknowledged_term: bool = False
    """A heartbeat carried this term's fencing token, which only an answer can have delivered."""
    on_probation: bool = False
    """One heartbeat has arrived after missed ones, and no other since."""
    in_correlated_outage: bool = False
    """Became unresponsive together with many others; stays set when others send heartbeats again before it."""
    unacknowledged_answers: int = 0
    """Answers in a row that had no effect on the next heartbeat."""
    last_unacknowledged_at: float = 0.0

    # -- life cycle
    reclaim_at: float | None = None
    """When the cloud reclaims the spot instance, by its notice; None without a notice."""
    deleting: bool = False
    quarantined_until: float = 0.0
    idle_since: float | None = None
    failed_jobs: dict[str, float] = msgspec.field(default_factory=dict)
    """Jobs whose tasks failed here, with the time of the last failure."""

    # -- image cache and capacity
    images: OrderedDict[str, float] = msgspec.field(default_factory=OrderedDict)
    """Cached images with their sizes in GB, least recently used first."""
    fetching: dict[str, float] = msgspec.field(default_factory=dict)
    """Images that are being fetched, with their sizes in GB."""
    orphans: dict[tuple[str, int], Resources] = msgspec.field(default_factory=dict)
    """Tasks that run here without an attempt in the job table; they occupy capacity until they stop."""
    used: Resources = ZERO_RESOURCES
    """What the attempts in the job table occupy."""

    @property
    def free_capacity(self) -> Resources:
        """What is left for further tasks."""
        free = self.type.size - self.used
        for amount in self.orphans.values():
            free = free - amount
        return free

    def has_capacity_for(self, resources: Resources) -> bool:
        """Whether ``resources`` fits; compares plain numbers, as every pass asks this of every machine."""
        size, used = self.type.size, self.used
        return (
            resources.gpus <= size.gpus - used.gpus + EPSILON
            and resources.cpus <= size.cpus - used.cpus + EPSILON
            and resources.memory <= size.memory - used.memory + EPSILON
            and (not self.orphans or resources.fits(self.free_capacity))
        )

    @property
    def is_reachable(self) -> bool:
        """Whether answers are known to reach the worker; heartbeats prove only the other direction."""
        return (
            self.acknowledged_term
            and not self.on_probation
            and self.unacknowledged_answers < MAX_UNACKNOWLEDGED_ANSWERS
        )

    def record_unacknowledged_answer(self, now: float) -> None:
        """Count an answer that had no effect on the machine's next heartbeat."""
        self.unacknowledged_answers += 1
        self.last_unacknowledged_at = now

    def record_image_fetched(self, spec: JobSpec) -> None:
        """Add the job's image to the cache and evict the least recently used ones beyond its size."""
        self.fetching.pop(spec.image, None)
        self.images[spec.image] = spec.image_gb
        self.images.move_to_end(spec.image)
        while len(self.images) > 1 and sum(self.images.values()) > self.type.cache_gb:
            self.images.popitem(last=False)

    def image_fetch_time(self, spec: JobSpec) -> float:
        """Seconds until a task of this job would have its image here."""
        if spec.image in self.images:
            return 0.0
        outstanding_gb = sum(self.fetching.values())
        if spec.image not in self.fetching:
            outstanding_gb += spec.image_gb
        return outstanding_gb / self.type.fetch_gb_per_s if self.type.fetch_gb_per_s > 0 else 0.0

    def image_fetch_interference(self, spec: JobSpec) -> float:
        """Seconds that this job's image would add to the fetches in progress here, which share the rate."""
        others = len(self.fetching) - (spec.image in self.fetching)
        if others <= 0 or spec.image in self.images or spec.image in self.fetching or self.type.fetch_gb_per_s <= 0:
            return 0.0
        return others * min(spec.image_gb, max(self.fetching.values())) / self.type.fetch_gb_per_s
