"""A leader that loses its workers alone: the lease is a budget, and every step of the failover has its share."""

import asyncio

import pytest

from standins import virtual_time
from standins.simulated_cluster import SimulatedCluster

# Shares of lease_s from the moment of the cut until: the leader has noticed and stepped down, another leads, its
# records are loaded, the last worker's lease is renewed. A worker waits 4 s for an answer and 1 s before its next
# attempt, of a lease of 10 s here; what is left allows for one lost message.
STEPPED_DOWN, LEADING, LOADED, RENEWED = 0.66, 0.70, 0.74, 0.85


async def lose_workers(seed, cut_share, machines=12):
    """The leader's links to some of its workers hang; when each step of the failover was reached."""
    cluster = SimulatedCluster(seed, machines=machines, capacity=(machines, 3), guarantee=8.0, quota=24.0)
    for number in range(6):
        spec = cluster.job(number, format="service", precedence="prod", loanS=0.0, volumes=2)
        cluster.spawn(cluster.simulate_user(spec, cancel_after_s=1e9))
    await asyncio.sleep(25.0)
    old = await cluster.wait_for_leader()
    workers = sorted(cluster.workers.values(), key=lambda worker: worker.name)
    lost = workers[: round(len(workers) * cut_share)]
    began = cluster.now()
    cluster.network_faults += [("worker_link", (worker.name, old), began + 40.0) for worker in lost]
    incarnations = {worker.name: worker.incarnation for worker in workers}
    steps = {}
    terms = []
    while cluster.now() < began + 40.0:
        await asyncio.sleep(0.02)
        leading = [sim.node for sim in cluster.nodes.values() if sim.node.leadership.leading]
        if not leading:
            steps.setdefault("stepped down", cluster.now() - began)
        for node in leading:
            if node.settings.node != old:
                steps.setdefault("leading", cluster.now() - began)
                if node.leader_term.ready:
                    steps.setdefault("loaded", cluster.now() - began)
        if all(worker.lease_renewed_at > began for worker in workers):
            steps.setdefault("renewed", cluster.now() - began)
        terms = [sim.node.leadership.known_term for sim in cluster.nodes.values()]
    ended = [worker.name for worker in workers if worker.incarnation != incarnations[worker.name]]
    return cluster, (old, cluster.leaders()), steps, ended, max(terms)


@pytest.mark.parametrize("seed", range(300, 310))
def test_workers_find_the_next_leader_within_their_leases(seed):
    """Followers once sent workers back to the old leader, or on to it by their order, after another led already."""
    cluster, (old, now), steps, ended, term = virtual_time.run(lose_workers(seed, 1.0))
    lease = cluster.limits["lease_s"]
    assert now != [old]
    assert term == 2  # the leadership changed hands once only
    assert ended == []
    assert steps["stepped down"] <= STEPPED_DOWN * lease
    assert steps["leading"] <= LEADING * lease
    assert steps["loaded"] <= LOADED * lease
    assert steps["renewed"] <= RENEWED * lease
    assert cluster.checker.violations == []


@pytest.mark.parametrize("seed", range(310, 313))
def test_a_leader_stays_when_few_workers_are_cut_off(seed):
    """One machine of twelve is no reason to resign, however often it comes to the others."""
    cluster, (old, now), steps, _, term = virtual_time.run(lose_workers(seed, 1 / 12))
    assert now == [old]
    assert term == 1
    assert steps.get("leading") is None
    assert cluster.checker.violations == []
