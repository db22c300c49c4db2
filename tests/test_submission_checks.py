"""Submissions that are rejected because their job can never run."""

import msgspec
import pytest

from builders import BOX, TEAMS, spec
from passrock.core.model import JobKind, Resources, Team
from passrock.core.submission_checks import rejection_reason

# "lone" is larger, and offered in one zone only
TYPES = {"box": BOX, "lone": msgspec.structs.replace(BOX, name="lone", capacity=Resources(32, 2, 64), zones=("a",))}


@pytest.mark.parametrize(
    ("fields", "refused"),
    [
        ({}, False),
        ({"team": "nobody"}, True),
        ({"resources": Resources(33, 1, 1)}, True),
        ({"machine_types": ("other",)}, True),
        ({"zone": "z"}, True),
        ({"task_count": 100}, False),
        ({"task_count": 9, "kind": JobKind.GANG}, True),
        ({"task_count": 9, "kind": JobKind.SERVICE}, True),
        ({"task_count": 8, "kind": JobKind.GANG}, False),
        # Regression (review/3): a gang that no two zones can share was accepted, and could only wait for ever.
        ({"task_count": 2, "kind": JobKind.GANG, "spread_zones": True}, False),
        ({"task_count": 2, "kind": JobKind.GANG, "spread_zones": True, "zone": "a"}, True),
        ({"task_count": 2, "kind": JobKind.GANG, "spread_zones": True, "single_zone": True}, True),
        ({"task_count": 1, "kind": JobKind.GANG, "spread_zones": True, "zone": "a"}, False),
        ({"task_count": 2, "kind": JobKind.SERVICE, "spread_zones": True, "zone": "a"}, True),
        ({"task_count": 2, "kind": JobKind.ARRAY, "spread_zones": True, "zone": "a"}, False),
        ({"task_count": 2, "kind": JobKind.ARRAY, "spread_zones": True, "single_zone": True}, False),
        ({"task_count": 2, "kind": JobKind.GANG, "spread_zones": True, "machine_types": ("lone",)}, True),
        ({"task_count": 2, "kind": JobKind.GANG, "spread_zones": True, "machine_types": ("lone", "box")}, False),
        ({"task_count": 2, "kind": JobKind.GANG, "spread_zones": True, "resources": Resources(20, 1, 20)}, True),
    ],
)
def test_jobs_that_can_never_run(fields, refused):
    assert (rejection_reason(spec(**fields), TEAMS, TYPES) is not None) is refused


def test_a_quota_or_guarantee_of_zero_means_none():
    assert Team("t", 0, 0, 0, 0).within_quota(Resources(1e6, 1e6, 0))
    assert not Team("t", 0, 0, 0, 0).within_guarantee(Resources(1, 0, 0))
