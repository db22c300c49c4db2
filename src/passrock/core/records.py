"""The records of jobs and their tasks in the key-value store, and how much one record holds.

During a rolling restart, a newer controller reads records that an older one wrote. Hence the short stored names,
their order and the types of the values must not change.
"""

from __future__ import annotations

from typing import Any, NamedTuple, TypeVar

import msgspec

from passrock.core.model import JobKind, JobSpec, Priority, Resources

MAX_ATTEMPT_BYTES = 44  # the longest attempt in a record, as JSON
JOB_HEADER_BYTES = 1200  # reserved in a ``JobRecord`` for everything but its attempts
OTHER_HEADER_FIELDS_BYTES = 100  # the part of JOB_HEADER_BYTES for the fields other than the specification
MAX_SPEC_BYTES = JOB_HEADER_BYTES - OTHER_HEADER_FIELDS_BYTES
MIN_TASKS_PER_PAGE = 8
DONE = "done"
CANCELLED = "cancelled"
GRANT_REFERENCE_FIELD = "ad"  # the field with the grant that the job's admission token names

Record = TypeVar("Record", bound=msgspec.Struct)


class UnreadableRecordError(Exception):
    """A stored value is not a record of the expected kind."""


class AdmissionToken(msgspec.Struct, frozen=True):
    """The allocation record on which a submission's transaction depends, and the grant that the job's record names.

    Attributes:
        key: the key of the record that the transaction compares.
        mod_revision: the job is accepted only while that record has this revision.
        grant_reference: the slot and the incarnation of the controller whose grant was consumed.
    """

    key: str
    mod_revision: int
    grant_reference: list[int]


class AttemptRecord(msgspec.Struct, frozen=True, array_like=True):
    """An attempt that is, or may be, on a machine; stored as an array."""

    number: int
    machine: str
    incarnation: int


class TaskPageRecord(
    msgspec.Struct, frozen=True, rename={"attempt_number": "a", "completed_bitmap": "d", "attempts": "l"}
):
    """One page of a job's tasks; the first page is stored in the ``JobRecord``.

    Attributes:
        attempt_number: the highest number of any attempt on this page so far.
        completed_bitmap: the completed tasks, in hexadecimal; bit ``n`` stands for the ``n``-th task of the page.
        attempts: the attempts by the index of their task within the job.
    """

    attempt_number: int
    completed_bitmap: str
    attempts: dict[int, AttemptRecord]


class ResourcesRecord(msgspec.Struct, frozen=True, array_like=True):
    """The resources that a task requests; stored as an array."""

    cpus: float
    gpus: float
    memory_gb: float


class PlacementRecord(msgspec.Struct, frozen=True, array_like=True):
    """Constraints on the placement of tasks; stored as an array."""

    single_zone: bool
    spread_zones: bool
    allows_spot: bool


class DurationsRecord(msgspec.Struct, frozen=True, array_like=True):
    """Durations that the user stated; stored as an array."""

    estimated_run_s: float
    checkpoint_interval_s: float
    checkpoint_save_s: float


class JobSpecRecord(
    msgspec.Struct,
    frozen=True,
    rename={
        "job_class": "c",
        "team": "t",
        "kind": "k",
        "priority": "p",
        "task_count": "n",
        "resources": "r",
        "image": "i",
        "image_gb": "ig",
        "machine_types": "ty",
        "zone": "z",
        "placement": "f",
        "durations": "e",
        "deadline_s": "dl",
    },
):
    """A job specification as stored."""

    id: str
    job_class: str
    team: str
    kind: JobKind
    priority: Priority
    task_count: int
    resources: ResourcesRecord
    image: str
    image_gb: float
    machine_types: list[str] | None
    zone: str | None
    placement: PlacementRecord
    durations: DurationsRecord
    deadline_s: float | None

    @classmethod
    def from_spec(cls, spec: JobSpec) -> JobSpecRecord:
        """Return the stored form of ``spec``."""
        return cls(
            id=spec.id,
            job_class=spec.job_class,
            team=spec.team,
            kind=spec.kind,
            priority=spec.priority,
            task_count=spec.task_count,
            resources=ResourcesRecord(spec.resources.cpus, spec.resources.gpus, spec.resources.memory_gb),
            image=spec.image,
            image_gb=spec.image_gb,
            machine_types=None if spec.machine_types is None else list(spec.machine_types),
            zone=spec.zone,
            placement=PlacementRecord(spec.single_zone, spec.spread_zones, spec.allows_spot),
            durations=DurationsRecord(spec.estimated_run_s, spec.checkpoint_interval_s, spec.checkpoint_save_s),
            deadline_s=spec.deadline_s,
        )

    def to_spec(self) -> JobSpec:
        """Return the specification that this record stores."""
        return JobSpec(
            id=self.id,
            job_class=self.job_class,
            team=self.team,
            kind=self.kind,
            priority=self.priority,
            task_count=self.task_count,
            resources=Resources(self.resources.cpus, self.resources.gpus, self.resources.memory_gb),
            image=self.image,
            image_gb=self.image_gb,
            machine_types=None if self.machine_types is None else tuple(self.machine_types),
            zone=self.zone,
            single_zone=self.placement.single_zone,
            spread_zones=self.placement.spread_zones,
            allows_spot=self.placement.allows_spot,
            estimated_run_s=self.durations.estimated_run_s,
            checkpoint_interval_s=self.durations.checkpoint_interval_s,
            checkpoint_save_s=self.durations.checkpoint_save_s,
            deadline_s=self.deadline_s,
        )


class JobRecord(
    msgspec.Struct,
    frozen=True,
    rename={
        "spec": "s",
        "submitted_at": "at",
        "attempt_number": "a",
        "completed_bitmap": "d",
        "attempts": "l",
        "grant_reference": GRANT_REFERENCE_FIELD,
    },
):
    """An unfinished job with its first page of tasks; the page has the fields of a ``TaskPageRecord``.

    Attributes:
        spec: the specification that the user submitted.
        submitted_at: seconds since the epoch.
        grant_reference: the grant that the submission's admission token names, unset if the submission needed none;
            only in the first version of the record, written at the submission.
    """

    spec: JobSpecRecord
    submitted_at: float
    attempt_number: int
    completed_bitmap: str
    attempts: dict[int, AttemptRecord]
    grant_reference: list[int] | msgspec.UnsetType = msgspec.UNSET

    @classmethod
    def from_spec(cls, spec: JobSpec, submitted_at: float, first_page: TaskPageRecord) -> JobRecord:
        """Return the record of a job whose first page is ``first_page``."""
        return cls(
            JobSpecRecord.from_spec(spec),
            submitted_at,
            first_page.attempt_number,
            first_page.completed_bitmap,
            first_page.attempts,
        )


class FinalRecord(msgspec.Struct, frozen=True, rename={"status": "s", "task_count": "n"}):
    """The final status of a job, ``DONE`` or ``CANCELLED``; its other records are deleted."""

    status: str
    task_count: int


class CancellationRecord(msgspec.Struct, frozen=True, rename={"requested_at": "at"}):
    """A user's request to cancel a job, in seconds since the epoch; written before the cancellation is confirmed."""

    requested_at: float


def encode_record(record: msgspec.Struct) -> dict[str, Any]:
    """Return a record as the plain mapping that the key-value store holds."""
    value: dict[str, Any] = msgspec.to_builtins(record, str_keys=True)
    return value


def decode_record(value: object, kind: type[Record]) -> Record:
    """Return a stored value as a record of this kind.

    Raises:
        UnreadableRecordError: if the value is not such a record.
    """
    try:
        return msgspec.convert(value, kind, str_keys=True)
    except msgspec.ValidationError as exc:
        raise UnreadableRecordError(f"stored value is not a valid {kind.__name__}: {exc}") from exc


def new_job_record(spec: JobSpec, submitted_at: float, grant_reference: list[int] | None = None) -> JobRecord:
    """Return the first record of an accepted job, with the grant that its admission token names if it needed one."""
    record = JobRecord.from_spec(spec, submitted_at, TaskPageRecord(0, "0", {}))
    return record if grant_reference is None else msgspec.structs.replace(record, grant_reference=grant_reference)


class TaskCounts(NamedTuple):
    """The number of a page's tasks that have completed, and of those with an attempt on a machine."""

    completed: int
    placed: int


def count_tasks(value: dict[str, Any]) -> TaskCounts:
    """Return the counts of a page, from the stored value of a ``JobRecord`` or a ``TaskPageRecord``.

    Users query often, hence only the two fields are read, without decoding every attempt of a large job.
    """
    return TaskCounts(int(value["d"], 16).bit_count(), len(value["l"]))


def total_tasks(value: dict[str, Any]) -> int:
    """Return a job's total number of tasks from its stored value, without decoding the whole record."""
    task_count: int = value["s"]["n"]
    return task_count


def tasks_per_page(value_bytes: int) -> int:
    """Return how many tasks one record of at most ``value_bytes`` holds besides the job's specification."""
    return max(MIN_TASKS_PER_PAGE, int((value_bytes - JOB_HEADER_BYTES) / MAX_ATTEMPT_BYTES))


def fits_record(spec: JobSpec) -> bool:
    """Whether the specification is short enough for its record."""
    return len(msgspec.json.encode(JobSpecRecord.from_spec(spec))) <= MAX_SPEC_BYTES
