"""Tests of the checker: the controllers are made to violate a rule, and the checker must report it."""

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
    invalid_requests,
    most_machines_hang,
    run_scenario,
    slow_store_then_refusal_then_outage,
    zone_bound_jobs_lose_machines,
)
from test_cancellation_across_outage import outage_after_refusal


def assume_all_cancellations_known(monkeypatch):
    monkeypatch.setattr(RenewalPolicy, "has_all_cancellations", lambda self, older_than_s: True)


def ignore_cancellations_of_peers(monkeypatch):
    apply = PeerLogProgress.apply

    def apply_and_discard(self, *answer):
        apply(self, *answer)
        return []

    monkeypatch.setattr(PeerLogProgress, "apply", apply_and_discard)


def keep_machines_with_cancelled_tasks_in_a_correlated_outage(monkeypatch):
    monkeypatch.setattr(FailureDetector, "delete_machines_with_cancelled_tasks", lambda self, now: None)


def accept_every_submission(monkeypatch):
    monkeypatch.setattr("passrock.controller.user_api.rejection_reason", lambda spec, teams, types: None)


def stop_scheduling(monkeypatch):
    run = Scheduler.run
    monkeypatch.setattr(Scheduler, "run", lambda self, now: [] if now > 26.0 else run(self, now))


def leave_a_query_unanswered(monkeypatch):
    query = UserApi._query

    async def _query(self, job_id):
        if job_id == "wk-000000" and monotonic_time() > 30.0:
            raise UnavailableError("injected by the test")
        return await query(self, job_id)

    monkeypatch.setattr(UserApi, "_query", _query)


@pytest.mark.parametrize(
    "fault", ["confirming node crashes and restarts at once", "confirming node loses its peers", "all restart"]
)
def test_checker_catches_renewals_with_unknown_cancellations(monkeypatch, fault):
    """Sending cancellations to peers is not enough if the sending node is lost: renewals need the time bound too."""
    assume_all_cancellations_known(monkeypatch)
    cluster = virtual_time.run(outage_after_refusal(201, fault, 0.0))[0]
    assert "cancelled_job_ran" in {violated_rule for _, violated_rule, _ in cluster.checker.violations}


@pytest.mark.parametrize(
    ("make_unsafe", "scenario", "rule"),
    [
        (ignore_cancellations_of_peers, slow_store_then_refusal_then_outage, "cancelled_job_ran"),
        (keep_machines_with_cancelled_tasks_in_a_correlated_outage, most_machines_hang, "cancelled_job_ran"),
        (accept_every_submission, invalid_requests, "invalid_job_accepted"),
        (stop_scheduling, zone_bound_jobs_lose_machines, "schedulable_job_waited"),
        (leave_a_query_unanswered, failover_and_back, "job_lost_or_unanswered"),
    ],
    ids=lambda value: getattr(value, "__name__", value),
)
def test_checker_catches(monkeypatch, make_unsafe, scenario, rule):
    """Each rule that the scenarios rely on is reported when the controllers violate it."""
    make_unsafe(monkeypatch)
    cluster, _ = virtual_time.run(run_scenario(scenario, 300, ("a", "b", "c")))
    assert rule in {violated_rule for _, violated_rule, _ in cluster.checker.violations}
