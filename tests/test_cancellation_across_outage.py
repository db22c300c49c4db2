"""Cancellations confirmed while the key-value store refuses only the leader, and then every controller."""

import asyncio

import pytest

from standins import virtual_time
from standins.scenarios import cluster_with_running_jobs, followers

# (additional fault during the outage; whether the tasks of jobs that are not cancelled must survive it)
FAULTS = [
    ("nothing", True),
    ("confirming node crashes", False),
    ("confirming node crashes and restarts at once", False),
    ("confirming node pauses", False),
    ("confirming node loses its peers", False),
    ("all restart", False),
    ("leader restarts", False),
    ("workers reach the leader only", False),
    ("machine hangs", True),
]


async def outage_after_refusal(seed, fault, pause=0.3):
    """Refuse the leader alone, cancel a job at another node, then begin an outage for all controllers."""
    cluster, leader = await cluster_with_running_jobs(seed)
    confirming, third = followers(cluster, leader)
    if fault == "workers reach the leader only":
        cluster.network_faults += [("workers", name, cluster.now() + 1e6) for name in (confirming, third)]
        await asyncio.sleep(15.0)
    ((machine, _),) = cluster.checker.placements[("wk-000000", 0)]
    cancel_s = cluster.limits["cancel_s"]
    cluster.spawn(cluster.refuse_store_access(leader, 14.0))
    await asyncio.sleep(1.5)
    if not pause:
        cluster.spawn(cluster.refuse_store_access(third, 1.0))  # no other node can receive the cancellation
        await asyncio.sleep(0.5)
    confirmed = await cluster.cancel("wk-000000", confirming)
    in_leader_replica = cluster.nodes[leader].node.replica.get("p/c/wk-000000") is not None
    if fault == "confirming node crashes":
        cluster.nodes[confirming].kill()
    elif fault == "confirming node crashes and restarts at once":
        cluster.spawn(cluster.crash([confirming], 0.1))
    elif fault == "confirming node pauses":
        cluster.nodes[confirming].frozen_until = cluster.now() + cancel_s * 1.5
    elif fault == "confirming node loses its peers":
        cluster.network_faults.append(("peers", confirming, cluster.now() + cancel_s * 1.5))
    elif fault == "machine hangs":
        cluster.workers[machine].hung_until = cluster.now() + cancel_s * 3
    await asyncio.sleep(pause)
    cluster.spawn(cluster.store_outage(cancel_s * 1.4))
    if fault == "all restart":
        await asyncio.sleep(10 * pause)
        await cluster.crash(list(cluster.nodes), 1.0)
    elif fault == "leader restarts":
        await asyncio.sleep(10 * pause)
        await cluster.crash([leader], 1.0)
    other_jobs = {
        job
        for (job, _), places in cluster.checker.placements.items()
        if job != "wk-000000" and (fault != "machine hangs" or machine not in dict(places))
    }
    await asyncio.sleep(cancel_s)
    survived = other_jobs <= {job for (job, _), places in cluster.checker.placements.items() if places}
    still_leading = cluster.nodes[leader].node.leadership.leading
    starts = cluster.checker.starts
    await asyncio.sleep(cancel_s)
    return cluster, confirmed, in_leader_replica, survived, still_leading, starts


@pytest.mark.parametrize(("fault", "tasks_survive"), FAULTS)
@pytest.mark.parametrize(("seed", "pause"), [(200, 0.3), (201, 0.0)])
def test_cancellation_between_a_refusal_of_the_leader_and_an_outage(seed, pause, fault, tasks_survive):
    """A leader that renews leases through an outage must have each cancellation confirmed by another controller.

    A leader that relied only on the term and on a majority that found the store down kept cancelled tasks running.
    """
    cluster, confirmed, in_leader_replica, survived, still_leading, starts = virtual_time.run(
        outage_after_refusal(seed, fault, pause)
    )
    assert confirmed  # by another controller
    assert not in_leader_replica
    assert cluster.checker.violations == []
    assert not cluster.checker.placements[("wk-000000", 0)]
    if tasks_survive:
        assert still_leading
        assert survived
        assert starts == 4  # no other task was restarted


def test_cancellation_confirmed_by_the_leader_before_it_is_refused():
    """The store refuses the leader right after its commit, so that only its cancellation log has the cancellation."""

    async def main():
        cluster, leader = await cluster_with_running_jobs(202)
        sim, handle = cluster.nodes[leader], cluster.store.handle

        async def refuse_after_commit(method, path, body):
            if path == "/commit" and b"p/c/wk-000000" in body:
                sim.store_refused = True
            return await handle(method, path, body)

        cluster.store.handle = refuse_after_commit
        confirmed = await cluster.cancel("wk-000000", leader)
        cluster.store.handle = handle
        in_replica = sim.node.replica.get("p/c/wk-000000") is not None
        await cluster.store_outage(cluster.limits["cancel_s"] * 1.4)
        sim.store_refused = False
        still_leading = sim.node.leadership.leading
        await asyncio.sleep(20.0)
        return cluster, confirmed, in_replica, still_leading

    cluster, confirmed, in_replica, still_leading = virtual_time.run(main())
    assert confirmed
    assert not in_replica
    assert still_leading
    assert cluster.checker.violations == []
    assert not cluster.checker.placements[("wk-000000", 0)]
    assert cluster.checker.starts == 4
