"""Submissions that are rejected because their job can never run."""

import pytest

from builders import BOX, TEAMS, spec
from passrock.core.model import JobKind, Resources, Team
from passrock.core.submission_checks import rejection_reason


@pytest.mark.parametrize(
    ("fields", "refused"),
    [
        ({}, False),
        ({"team": "nobody"}, True),
        ({"resources": Resources(17, 1, 1)}, True),
        ({"machine_types": ("other",)}, True),
        ({"zone": "z"}, True),
        ({"task_count": 100}, False),
        ({"task_count": 9, "kind": JobKind.GANG}, True),
        ({"task_count": 9, "kind": JobKind.SERVICE}, True),
        ({"task_count": 8, "kind": JobKind.GANG}, False),
    ],
)
def test_jobs_that_can_never_run(fields, refused):
    assert (rejection_reason(spec(**fields), TEAMS, {"box": BOX}) is not None) is refused


def test_a_quota_or_guarantee_of_zero_means_none():
    assert Team("t", 0, 0, 0, 0).within_quota(Resources(1e6, 1e6, 0))
    assert not Team("t", 0, 0, 0, 0).within_guarantee(Resources(1, 0, 0))
