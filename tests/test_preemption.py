"""Preemption: which tasks may be preempted for which jobs, and how they are stopped."""

import pytest

from builders import BOX, TEAMS, SchedulerHarness
from passrock.core.graceful_stop import stop_gracefully
from passrock.core.messages import TaskState
from passrock.core.model import JobKind, Priority, Resources, Team

TEAMS_WITH_UNGUARANTEED = {**TEAMS, "unguaranteed": Team("unguaranteed", 0, 0, 0, 8)}  # a team without a guarantee


@pytest.mark.parametrize(
    ("victim", "job", "preempted"),
    [
        ({"priority": Priority.LOW}, {"priority": Priority.PRODUCTION}, True),
        ({"priority": Priority.PRODUCTION}, {"priority": Priority.PRODUCTION}, False),
        ({"priority": Priority.HIGH}, {"priority": Priority.NORMAL}, False),
        # the victim is beyond the guarantee of t1
        ({"task_count": 6, "team": "t1"}, {"priority": Priority.NORMAL, "team": "t0"}, True),
        ({"task_count": 6, "team": "t0"}, {"priority": Priority.NORMAL, "team": "t0"}, False),
    ],
)
def test_which_jobs_may_preempt(victim, job, preempted):
    harness = SchedulerHarness()
    harness.job(1, resources=Resources(5, 1, 20), **victim)
    harness.run()
    waiting = harness.job(2, at=1.0, **{"resources": Resources(5, 1, 20), "job_class": "now", **job})
    harness.job(
        3,
        at=0.5,
        team="t1",
        resources=Resources(5, 1, 20),
        task_count=1,
        priority=victim.get("priority", Priority.NORMAL),
    )
    harness.run(1.0)
    if waiting.attempt_count:
        harness.job_table.record_attempt_lost(next(waiting.attempts()), 1.0)
    harness.inventory.machines["m1"].used = BOX.capacity
    harness.scheduler.run(1.0)
    if waiting.spec.priority is not Priority.PRODUCTION:
        # attempts that have not run for the minimum time are not preempted
        assert not harness.preemption.select_victims(waiting, 1.0)
        for attempt in harness.job_table.attempts_by_machine["m1"].values():
            attempt.running_since = -60.0
    assert bool(harness.preemption.select_victims(waiting, 1.0)) is preempted


def test_a_preempted_gang_stops_every_member():
    """Every member gets time to save and is stopped, also on machines that the preempting job doesn't use."""
    harness = SchedulerHarness([("m1", "a", False), ("m2", "a", False)])
    gang = harness.job(
        1,
        kind=JobKind.GANG,
        task_count=2,
        resources=Resources(10, 2, 50),
        team="t1",
        checkpoint_interval_s=5.0,
        checkpoint_save_s=3.0,
    )
    harness.run()
    for attempt in gang.attempts():
        attempt.state, attempt.reported = TaskState.RUNNING, True
    production_job = harness.job(2, priority=Priority.PRODUCTION, at=1.0)
    harness.run(1.0)
    victims = harness.preemption.select_victims(production_job, 1.0)
    assert {attempt.machine for attempt in victims} == {"m1", "m2"}
    for attempt in victims:
        stop_gracefully(attempt, 6.0)
    assert harness.preemption.is_stopping_victims_for(production_job)
    assert [attempt.stop_grace_s for attempt in gang.attempts()] == [6.0, 6.0]
    # no more victims are selected until the first ones have ended
    assert harness.preemption.select_victims(production_job, 2.0) == []


ELASTIC_WORK_CASES = [
    pytest.param("unguaranteed", Priority.LOW, JobKind.GANG, 1, True, id="low-priority work without a guarantee"),
    pytest.param("t1", Priority.LOW, JobKind.GANG, 1, False, id="work of a team with a guarantee"),
    pytest.param("unguaranteed", Priority.NORMAL, JobKind.GANG, 1, False, id="work of normal priority"),
    pytest.param(
        "unguaranteed", Priority.LOW, JobKind.GANG, 3, False, id="the waiting gang is beyond its team's guarantee"
    ),
    pytest.param("unguaranteed", Priority.LOW, JobKind.ARRAY, 1, False, id="the waiting job is an array, not a gang"),
]


@pytest.mark.parametrize(("team", "priority", "kind", "task_count", "revoked"), ELASTIC_WORK_CASES)
def test_elastic_work_is_revoked_at_once(team, priority, kind, task_count, revoked):
    """Elastic work of a team without a guarantee doesn't get the minimum run time of other victims.

    Otherwise guaranteed gangs waited for a minute although machines were full of elastic work.
    """
    harness = SchedulerHarness([(f"m{n}", "a", False) for n in range(task_count)], teams=TEAMS_WITH_UNGUARANTEED)
    harness.job(
        1,
        team=team,
        priority=priority,
        task_count=4 * task_count,
        resources=Resources(4, 0, 10),
        checkpoint_interval_s=30.0,
        checkpoint_save_s=3.0,
    )
    harness.run()
    gang = harness.job(
        2,
        at=1.0,
        kind=kind,
        task_count=task_count,
        resources=Resources(14, 2, 50),
        priority=Priority.HIGH,
        job_class="late",
    )
    assert harness.run(1.0) == []
    victims = harness.preemption.select_victims(gang, 1.0, elastic_only=True)
    assert (len(victims) == 4 * task_count) is revoked
    assert bool(victims) is revoked
    assert harness.preemption.is_stopping_victims_for(gang) is False  # since no victim has been asked to stop


def test_elastic_work_is_left_alone_when_its_capacity_is_not_enough():
    harness = SchedulerHarness([("m1", "a", False), ("m2", "a", False)], teams=TEAMS_WITH_UNGUARANTEED)
    harness.job(1, team="t1", priority=Priority.HIGH, task_count=1, resources=Resources(16, 2, 60))
    harness.run()
    harness.job(2, team="unguaranteed", priority=Priority.LOW, task_count=4, resources=Resources(4, 0, 10))
    harness.run()
    gang = harness.job(
        3, at=1.0, kind=JobKind.GANG, task_count=2, resources=Resources(14, 2, 50), priority=Priority.HIGH
    )
    assert harness.run(1.0) == []
    assert harness.preemption.select_victims(gang, 1.0) == []


@pytest.mark.parametrize(("limits", "zone"), [({"spread_zones": True}, "b"), ({"single_zone": True}, "a")])
def test_nothing_is_stopped_for_a_job_with_a_task_in_an_unknown_zone(limits, zone):
    """Regression: work was stopped for a replica that is not placed until the zone of the other one is known."""
    whole_machine = {"resources": Resources(10, 2, 50)}
    harness = SchedulerHarness([("m1", "a", False)])
    service = harness.job(
        1, kind=JobKind.SERVICE, task_count=2, priority=Priority.PRODUCTION, **whole_machine, **limits
    )
    assert harness.run() == [("wk-1", 0, "m1")]
    machine_of_known_zone = harness.inventory.machines.pop("m1")
    harness.add_machine("m2", zone)
    harness.job(2, team="t1", priority=Priority.LOW, estimated_run_s=1000.0, **whole_machine)
    assert harness.run() == [("wk-2", 0, "m2")]
    next(iter(harness.job_table.attempts_on("m2"))).running_since = -60.0
    assert harness.preemption.select_victims(service, 1.0) == []
    harness.inventory.machines["m1"] = machine_of_known_zone
    assert harness.run(1.0) == []
    assert [victim.machine for victim in harness.preemption.select_victims(service, 1.0)] == ["m2"]
