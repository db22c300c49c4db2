"""Failover from a leader that only its workers cannot reach, with a deadline for each step within their lease."""

import asyncio

import pytest

from standins import virtual_time
from standins.simulated_cluster import SimulatedCluster

# Deadlines as shares of lease_s, measured from the cut: the old leader has stepped down, a new one leads, it has
# loaded the records, and the last worker's lease is renewed. A worker waits 4 s for an answer and 1 s before its next
# attempt, of a lease of 10 s here; the remainder allows for one lost message.
STEPPED_DOWN_SHARE, LEADING_SHARE, LOADED_SHARE, RENEWED_SHARE = 0.66, 0.70, 0.74, 0.85


async def cut_off_workers(seed, cut_share, machines=12):
    """Make the links of a share of the workers to the leader hang; returns the time of each step of the failover."""
    cluster = SimulatedCluster(seed, machines=machines, capacity=(machines, 3), guarantee=8.0, quota=24.0)
    for number in range(6):
        spec = cluster.job(number, format="service", precedence="prod", loanS=0.0, volumes=2)
        cluster.spawn(cluster.simulate_user(spec, cancel_after_s=1e9))
    await asyncio.sleep(25.0)
    old_leader = await cluster.wait_for_leader()
    workers = sorted(cluster.workers.values(), key=lambda worker: worker.name)
    cut_workers = workers[: round(len(workers) * cut_share)]
    cut_at = cluster.now()
    cluster.network_faults += [("worker_link", (worker.name, old_leader), cut_at + 40.0) for worker in cut_workers]
    incarnations = {worker.name: worker.incarnation for worker in workers}
    steps = {}
    terms = []
    while cluster.now() < cut_at + 40.0:
        await asyncio.sleep(0.02)
        leading = [sim.node for sim in cluster.nodes.values() if sim.node.leadership.leading]
        if not leading:
            steps.setdefault("stepped down", cluster.now() - cut_at)
        for node in leading:
            if node.settings.node != old_leader:
                steps.setdefault("leading", cluster.now() - cut_at)
                if node.leader_term.ready:
                    steps.setdefault("loaded", cluster.now() - cut_at)
        if all(worker.lease_renewed_at > cut_at for worker in workers):
            steps.setdefault("renewed", cluster.now() - cut_at)
        terms = [sim.node.leadership.highest_term for sim in cluster.nodes.values()]
    expired_workers = [worker.name for worker in workers if worker.incarnation != incarnations[worker.name]]
    return cluster, (old_leader, cluster.leaders()), steps, expired_workers, max(terms)


@pytest.mark.parametrize("seed", range(300, 310))
def test_workers_reach_the_next_leader_within_their_leases(seed):
    """Followers redirected workers to the old leader, also by the order of their ring, when another already led."""
    cluster, (old_leader, leaders), steps, expired_workers, term = virtual_time.run(cut_off_workers(seed, 1.0))
    lease_s = cluster.limits["lease_s"]
    assert leaders != [old_leader]
    assert term == 2  # there was only one change of leadership
    assert expired_workers == []
    assert steps["stepped down"] <= STEPPED_DOWN_SHARE * lease_s
    assert steps["leading"] <= LEADING_SHARE * lease_s
    assert steps["loaded"] <= LOADED_SHARE * lease_s
    assert steps["renewed"] <= RENEWED_SHARE * lease_s
    assert cluster.checker.violations == []


@pytest.mark.parametrize("seed", range(310, 313))
def test_a_leader_stays_when_few_workers_are_cut_off(seed):
    """A single cut-off machine of twelve must not make the leader resign, however often it contacts followers."""
    cluster, (old_leader, leaders), steps, _, term = virtual_time.run(cut_off_workers(seed, 1 / 12))
    assert leaders == [old_leader]
    assert term == 1
    assert steps.get("leading") is None
    assert cluster.checker.violations == []
