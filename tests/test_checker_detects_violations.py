"""The checker detects violations: each rule fails on a controller that is made to break it."""

import pytest

from passrock.controller.failure_detector import FailureDetector
from passrock.controller.renewal_policy import RenewalPolicy
from passrock.controller.user_api import UnavailableError, UserApi
from passrock.core.cancellations import PeerLogProgress
from passrock.core.scheduler import Scheduler
from passrock.io.clock import monotonic_time
from standins import virtual_time
from standins.scenarios import (
    failover_and_back,
    most_machines_hang,
    odd_requests,
    run_scenario,
    slow_state_then_refused_then_out,
    zone_bound_jobs_lose_machines,
)
from test_cancellation_across_outage import outage_after_refusal


def believes_that_it_knows(monkeypatch):
    monkeypatch.setattr(RenewalPolicy, "knows_cancellations", lambda self, within_s: True)


def applies_no_peer_cancellations(monkeypatch):
    apply = PeerLogProgress.apply

    def apply_and_forget(self, *answer):
        apply(self, *answer)
        return []

    monkeypatch.setattr(PeerLogProgress, "apply", apply_and_forget)


def waits_out_a_correlated_outage_with_cancelled_tasks(monkeypatch):
    monkeypatch.setattr(FailureDetector, "delete_with_cancelled_tasks", lambda self, now: None)


def accepts_every_submission(monkeypatch):
    monkeypatch.setattr("passrock.controller.user_api.rejection_reason", lambda spec, teams, types: None)


def stops_scheduling(monkeypatch):
    run = Scheduler.run
    monkeypatch.setattr(Scheduler, "run", lambda self, now: [] if now > 26.0 else run(self, now))


def leaves_a_query_unanswered(monkeypatch):
    query = UserApi._query

    async def _query(self, job_id):
        if job_id == "wk-000000" and monotonic_time() > 30.0:
            raise UnavailableError("injected by the test")
        return await query(self, job_id)

    monkeypatch.setattr(UserApi, "_query", _query)


@pytest.mark.parametrize(
    "fault", ["confirming node crashes and restarts at once", "confirming node loses its peers", "all restart"]
)
def test_checker_catches_renewals_without_knowledge(monkeypatch, fault):
    """Announcing cancellations to peers is not enough if the announcing node is lost: the bound is needed too."""
    believes_that_it_knows(monkeypatch)
    cluster = virtual_time.run(outage_after_refusal(201, fault, 0.0))[0]
    assert "cancelled_job_ran" in {broken_rule for _, broken_rule, _ in cluster.checker.violations}


@pytest.mark.parametrize(
    ("unsafe", "scenario", "rule"),
    [
        (applies_no_peer_cancellations, slow_state_then_refused_then_out, "cancelled_job_ran"),
        (waits_out_a_correlated_outage_with_cancelled_tasks, most_machines_hang, "cancelled_job_ran"),
        (accepts_every_submission, odd_requests, "invalid_job_accepted"),
        (stops_scheduling, zone_bound_jobs_lose_machines, "schedulable_job_waited"),
        (leaves_a_query_unanswered, failover_and_back, "job_lost_or_unanswered"),
    ],
    ids=lambda value: getattr(value, "__name__", value),
)
def test_checker_catches(monkeypatch, unsafe, scenario, rule):
    """Each check that the scenarios rest on fails on a controller that breaks it."""
    unsafe(monkeypatch)
    cluster, _ = virtual_time.run(run_scenario(scenario, 300, ("a", "b", "c")))
    assert rule in {broken_rule for _, broken_rule, _ in cluster.checker.violations}
