"""Machines as the leader knows them, and what is evidence about them."""

from __future__ import annotations

from collections import OrderedDict
from typing import Any

import msgspec

from passrock.core.messages import WorkerHeartbeat
from passrock.core.model import EPSILON, ZERO_RESOURCES, JobSpec, MachineType, Resources

# Two controllers' clocks may differ by 0.05 % each way; leases are waited out with this factor.
DRIFT = 1.002
# Slow machines take several times the usual boot time; after this many times one is given up.
BOOT_PATIENCE = 3.0
# So many answers without effect mean that none reaches the machine; one alone is lost now and then.
UNHEEDED_MOST = 2
# Reports come at up to 1.25 times their interval, and an answer may wait for another quarter; beyond that one lacks.
OVERDUE = 1.75
# So many report intervals at the least have to pass without one before a worker counts as silent.
SILENT_REPORTS = 2.5
# A worker waits so long for an answer before it tries another node.
WORKER_WAIT_S = 4.0
# Names of deleted machines that are remembered: many times what a list could still show.
DELETED_KEPT = 10_000


class Machine(msgspec.Struct):
    """A machine as the leader knows it."""

    name: str
    type: MachineType
    zone: str
    spot: bool
    since: float
    up: bool = False
    incarnation: int = 0
    sequence: int = -1
    heard: float = 0.0
    answered: float = 0.0
    up_since: float = 0.0
    confirmed: bool = False  # has reported with this term's token, so that answers do reach it
    returning: bool = False  # one report has come after a silence, and none since
    crowd: bool = False  # went silent with many others, and stays one of them although some are back
    unheeded: int = 0  # answers in a row that had no effect on what it reported next
    unheeded_at: float = 0.0  # when the last of these was noticed
    notice_until: float | None = None
    deleting: bool = False
    blocked_until: float = 0.0
    idle_since: float | None = None
    failed_jobs: dict[str, float] = msgspec.field(default_factory=dict)
    images: OrderedDict[str, float] = msgspec.field(default_factory=OrderedDict)
    fetching: dict[str, float] = msgspec.field(default_factory=dict)
    orphans: dict[tuple[str, int], Resources] = msgspec.field(default_factory=dict)
    used: Resources = ZERO_RESOURCES

    @property
    def room(self) -> Resources:
        """What is left for further tasks."""
        free = self.type.size - self.used
        for amount in self.orphans.values():
            free = free - amount
        return free

    def has_room(self, resources: Resources) -> bool:
        """Whether ``resources`` fits; asked of every machine in every pass, and so without making amounts."""
        size, used = self.type.size, self.used
        return (
            resources.gpus <= size.gpus - used.gpus + EPSILON
            and resources.cpus <= size.cpus - used.cpus + EPSILON
            and resources.memory <= size.memory - used.memory + EPSILON
            and (not self.orphans or resources.fits(self.room))
        )

    @property
    def hears(self) -> bool:
        """Whether it is known that answers reach the worker, and not only its reports the leader."""
        return self.confirmed and not self.returning and self.unheeded < UNHEEDED_MOST

    def ignored(self, now: float) -> None:
        """An answer had no effect on what the machine reported next."""
        self.unheeded += 1
        self.unheeded_at = now

    def fetched(self, spec: JobSpec) -> None:
        """The machine has this image now; the least recently used ones make room."""
        self.fetching.pop(spec.image, None)
        self.images[spec.image] = spec.image_gb
        self.images.move_to_end(spec.image)
        while len(self.images) > 1 and sum(self.images.values()) > self.type.cache_gb:
            self.images.popitem(last=False)

    def fetch_wait(self, spec: JobSpec) -> float:
        """Seconds until a task of this job would have its image here."""
        if spec.image in self.images:
            return 0.0
        waiting = sum(self.fetching.values())
        if spec.image not in self.fetching:
            waiting += spec.image_gb
        return waiting / self.type.fetch_rate if self.type.fetch_rate > 0 else 0.0

    def fetch_harm(self, spec: JobSpec) -> float:
        """Seconds that this job's image would add to the fetches under way here, which share the rate."""
        others = len(self.fetching) - (spec.image in self.fetching)
        if others <= 0 or spec.image in self.images or spec.image in self.fetching or self.type.fetch_rate <= 0:
            return 0.0
        return others * min(spec.image_gb, max(self.fetching.values())) / self.type.fetch_rate


def silence_limit(report_s: float, lease_s: float, silent_ratio: float) -> float:
    """Seconds without a report after which a worker counts as silent."""
    return max(lease_s * silent_ratio, report_s * SILENT_REPORTS)


class MachineInventory:
    """All machines of one leader's term."""

    def __init__(self, report_s: float, lease_s: float, silent_ratio: float, began: float, term: int) -> None:
        self.report_s = report_s
        self.lease_s = lease_s
        self.term = term
        self.silent_s = silence_limit(report_s, lease_s, silent_ratio)
        self.began = began
        self.wait_s = 0.0  # how long workers may still wait for an answer of another leader
        self.machines: dict[str, Machine] = {}
        self.deleted: dict[str, float] = {}
        self.hints: dict[str, dict[str, float]] = {}

    def add(self, name: str, kind: MachineType, zone: str, spot: bool, now: float, age: float = 0.0) -> Machine:
        """A machine that was rented or listed; known ones stay as they are."""
        machine = self.machines.get(name)
        if machine is None:
            # one that is older than this term has had since the term's beginning to report
            machine = Machine(name, kind, zone, spot, since=now - age, heard=max(self.began, now - age))
            machine.answered = now
            machine.images.update(self.hints.pop(name, {}))
            self.machines[name] = machine
        return machine

    def observe(self, heartbeat: WorkerHeartbeat, kind: MachineType, now: float) -> Machine | None:
        """Take in a report; None when it is older than one already taken in, or its machine is gone."""
        if heartbeat.machine in self.deleted:
            return None
        machine = self.add(heartbeat.machine, kind, heartbeat.zone, heartbeat.spot, now)
        if (heartbeat.incarnation, heartbeat.sequence) <= (machine.incarnation, machine.sequence):
            return None
        if (
            machine.up
            and heartbeat.incarnation == machine.incarnation
            and now - machine.answered > self.longest_lease()
        ):
            return None  # held up on its way: the worker's lease has ended since, and it is in its next session
        # the first report after a silence may have been held up too, its answer reaching nobody
        machine.returning = machine.up and self.silent(machine, now)
        if not machine.up:
            machine.up = True
            machine.up_since = machine.idle_since = now
        elif heartbeat.incarnation > machine.incarnation and now - machine.answered < self.lease_s:
            machine.ignored(now)  # its lease ran out although it was answered
        if heartbeat.incarnation == machine.incarnation and now - machine.unheeded_at > 2 * self.longest_lease():
            machine.unheeded = 0  # a session outlives a lease only if answers arrive: it hears again
        machine.confirmed = machine.confirmed or heartbeat.token == self.term
        machine.incarnation, machine.sequence = heartbeat.incarnation, heartbeat.sequence
        machine.heard = now
        machine.crowd = False
        if heartbeat.notice is not None:
            machine.notice_until = now + heartbeat.notice
        return machine

    def encode_hints(self, most: int) -> list[dict[str, Any]]:
        """Which machine has which images, in records of up to ``most`` machines, for the next leader."""
        warm = sorted((m for m in self.machines.values() if m.images), key=lambda m: m.name)
        records = []
        for first in range(0, len(warm), most):
            part = warm[first : first + most]
            sizes = {image: gb for machine in part for image, gb in machine.images.items()}
            number = {image: i for i, image in enumerate(sizes)}
            held = {machine.name: [number[image] for image in machine.images] for machine in part}
            records.append({"i": [[image, gb] for image, gb in sizes.items()], "m": held})
        return records

    def load_hints(self, record: dict[str, Any]) -> None:
        """Take in such a record; machines get their images when they are first seen."""
        images = record["i"]
        for name, numbers in record["m"].items():
            self.hints[name] = {images[i][0]: images[i][1] for i in numbers}

    def forget(self, name: str, now: float) -> None:
        """The cloud has taken the machine: nothing of it is left."""
        self.machines.pop(name, None)
        self.deleted[name] = now
        while len(self.deleted) > DELETED_KEPT:
            self.deleted.pop(next(iter(self.deleted)))

    def silent(self, machine: Machine, now: float) -> bool:
        """Whether a machine that should report has not been heard of for too long.

        One that has not found this leader yet may still wait for an answer of the last one.
        """
        return now - self.quiet_since(machine) > self.silent_s

    def overdue(self, machine: Machine, now: float) -> bool:
        """Whether a report is missing, though not long enough for silence."""
        return now - self.quiet_since(machine) > self.report_s * OVERDUE

    def quiet_since(self, machine: Machine) -> float:
        """From when on its silence counts."""
        return max(machine.heard, self.began + (0.0 if machine.up else self.wait_s))

    def absent(self, machine: Machine, now: float) -> bool:
        """Whether an up machine is silent but not given up: for a while it counts as on its way back."""
        quiet = now - self.quiet_since(machine)
        return machine.up and not machine.deleting and self.silent_s < quiet < self.return_s(machine)

    def return_s(self, machine: Machine) -> float:
        """After what silence a machine is no longer counted on: a new one would be up by then."""
        return self.lease_s + machine.type.boot_s

    def late(self, machine: Machine, now: float) -> bool:
        """Whether a machine should have come up by now.

        A new leader hears of old machines from the cloud's list before their workers have found it:
        their age says nothing until it has led for a while.
        """
        if machine.up or machine.deleting or now - self.began < 2 * self.lease_s:
            return False
        return now - machine.since > BOOT_PATIENCE * machine.type.boot_s + self.lease_s

    def deaf(self, machine: Machine, now: float) -> bool:
        """Whether reports arrive while no answer gets through: the other direction is broken.

        Such a machine looks healthy by its reports alone, and so does a late copy of a report from one
        that is gone. Nothing is placed before a report shows this term's token, which only an answer
        can have carried there.
        """
        if not machine.up or machine.deleting:
            return False
        return machine.unheeded >= UNHEEDED_MOST or (not machine.confirmed and now - machine.up_since > self.lease_s)

    def usable(self, machine: Machine, now: float) -> bool:
        """Whether tasks may be placed on the machine now."""
        return (
            machine.up
            and now - machine.heard <= self.report_s * SILENT_REPORTS
            and machine.hears
            and not machine.deleting
            and machine.notice_until is None
            and machine.blocked_until <= now
        )

    def lease_expired(self, machine: Machine, now: float, fenced_at: float | None) -> bool:
        """Whether the worker's lease has ended and nobody can have renewed it.

        ``fenced_at`` is when a majority of controllers had acknowledged this leader's term and the
        last support for an older one had run out; without it an older leader might still be
        answering the worker, so that the lease proves nothing.
        """
        if fenced_at is None:
            return False
        return now - max(machine.answered, fenced_at) > self.longest_lease()

    def longest_lease(self) -> float:
        """After this time since the last answer a worker's lease has ended by any clock."""
        return self.lease_s * DRIFT + self.report_s
