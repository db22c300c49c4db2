"""Properties stated in docs/safety.md that depend on a sequence of events, tested in the simulated cluster."""

import asyncio

import cbor2
import pytest

from passrock.controller.leadership import Leadership
from passrock.controller.replica import Replica
from passrock.core.cancellations import CancellationLog
from passrock.core.inventory import MAX_DELETED_NAMES, MachineInventory
from passrock.core.machine_health import MachineHealth
from passrock.io.http_server import Request
from passrock.io.store import TransactionConflict
from passrock.wire.store import Put
from standins import virtual_time
from standins.simulated_cluster import SimulatedCluster


def leaders(cluster):
    """Return the names of the running nodes that hold the leader lease now."""
    return [name for name, sim in cluster.nodes.items() if sim.alive and sim.node.leadership.holds_lease()]


async def settled_cluster(seed, jobs=2, machines=6, **fields):
    """Return a cluster that runs some services, and its leader's name."""
    cluster = SimulatedCluster(seed, machines=machines)
    for number in range(jobs):
        spec = cluster.job(number, format="service", precedence="prod", loanS=0.0, **fields)
        cluster.spawn(cluster.simulate_user(spec, cancel_after_s=1e9))
    await asyncio.sleep(20.0)
    return cluster, leaders(cluster)[0]


def test_never_two_leaders_hold_the_lease_and_late_writes_fail():
    async def main():
        cluster, old_leader = await settled_cluster(60)
        sim = cluster.nodes[old_leader]
        leader_revision = sim.node.leadership.leader_revision
        cluster.spawn(cluster.refuse_store_access(old_leader, 30.0))
        max_leaders, changed_at = 0, None
        for step in range(600):
            await asyncio.sleep(0.05)
            current_leaders = leaders(cluster)
            max_leaders = max(max_leaders, len(current_leaders))
            if changed_at is None and current_leaders and current_leaders[0] != old_leader:
                changed_at = step * 0.05
        follower = next(peer for name, peer in cluster.nodes.items() if name != old_leader)
        late_commit = await follower.node.store.commit({"p/lead": leader_revision}, [Put("p/j/wk-1", {})])
        return cluster, max_leaders, changed_at, late_commit

    cluster, max_leaders, changed_at, late_commit = virtual_time.run(main())
    assert max_leaders == 1
    assert changed_at < cluster.limits["lease_s"] / 2
    assert isinstance(late_commit, TransactionConflict)
    assert late_commit.conflicting_keys == ("p/lead",)
    assert cluster.checker.violations == []


def test_restarted_leader_takes_over_its_own_key_at_once():
    async def main():
        cluster, old_leader = await settled_cluster(61)
        term = cluster.nodes[old_leader].node.leadership.term
        await cluster.crash([old_leader], 0.1)
        await asyncio.sleep(1.0)
        return cluster, old_leader, leaders(cluster), cluster.nodes[old_leader].node.leadership.term, term

    cluster, old_leader, current_leaders, new_term, term = virtual_time.run(main())
    assert current_leaders == [old_leader]
    assert new_term == term + 1
    assert cluster.checker.violations == []


def test_cancellation_reaches_tasks_though_the_leader_is_refused():
    async def main():
        cluster, old_leader = await settled_cluster(62)
        cluster.spawn(cluster.refuse_store_access(old_leader, 30.0))
        follower = next(name for name in cluster.nodes if name != old_leader)
        cluster.checker.cancel_requested.add("wk-000000")
        sent_at = cluster.now()
        status, answer = await cluster.request("POST", "/v2/runs/wk-000000/withdraw", node=follower)
        cluster.checker.on_answer("wk-000000", sent_at, status, answer)
        await asyncio.sleep(cluster.limits["cancel_s"])
        return cluster, status, answer["status"]

    cluster, status, answered_status = virtual_time.run(main())
    assert (status, answered_status) == (200, "cancelled")
    assert not cluster.checker.placements[("wk-000000", 0)]
    assert cluster.checker.violations == []


def test_done_and_cancelled_exclude_each_other():
    async def main():
        cluster = SimulatedCluster(63)
        cluster.spawn(cluster.simulate_user(cluster.job(1), run_s=1.0))
        while cluster.done_users < 1:
            await asyncio.sleep(0.1)
        status, answer = await cluster.request("POST", "/v2/runs/wk-000001/withdraw")
        resubmitted = await cluster.request("POST", "/v2/runs", cbor2.dumps(cluster.job(1)), 5.0)
        return status, answer["status"], resubmitted[0], resubmitted[1]["status"], sorted(cluster.store.data)

    status, answered_status, resubmission_status, resubmitted_job_status, stored_keys = virtual_time.run(main())
    assert (status, answered_status, resubmission_status, resubmitted_job_status) == (200, "done", 200, "done")
    assert "p/f/wk-000001" in stored_keys
    assert not any(key.startswith(("p/j/", "p/c/")) for key in stored_keys)


def test_a_lagging_replica_gives_no_stale_answer():
    async def main():
        cluster, old_leader = await settled_cluster(64)
        lagging = next(name for name in cluster.nodes if name != old_leader)
        cluster.spawn(cluster.refuse_store_access(lagging, 20.0))
        await asyncio.sleep(0.5)
        status, _ = await cluster.request("POST", "/v2/runs", cbor2.dumps(cluster.job(9)), 5.0, node=old_leader)
        stale = await cluster.request("GET", "/v2/runs/wk-000009", node=lagging)
        fresh = await cluster.request("GET", "/v2/runs/wk-000009", node=old_leader)
        unknown = await cluster.request("GET", "/v2/runs/wk-777777", node=old_leader)
        return status, stale[0], fresh[0], unknown[0]

    assert virtual_time.run(main()) == (201, 503, 200, 404)


def test_a_machine_unreachable_inbound_is_replaced_after_its_lease_expires():
    """Its heartbeats arrive as usual: only the fencing token, which an answer would have delivered, is outdated."""

    async def main():
        cluster, _ = await settled_cluster(65, jobs=3)
        unreachable = next(iter(dict(cluster.checker.placements[("wk-000000", 0)])))
        cluster.network_faults.append(("unreachable_inbound", unreachable, cluster.now() + 300.0))
        cluster.cloud.outage = True  # deletion fails at first: only the expiry of the lease releases the tasks
        await asyncio.sleep(2.5 * cluster.limits["lease_s"])
        moved = dict(cluster.checker.placements[("wk-000000", 0)])
        cluster.cloud.outage = False
        await asyncio.sleep(30.0)
        return cluster, unreachable, moved

    cluster, unreachable, moved = virtual_time.run(main())
    assert moved
    assert unreachable not in moved
    assert unreachable not in cluster.workers
    assert cluster.checker.violations == []


def test_nothing_is_placed_before_a_heartbeat_carries_the_token():
    """Nothing is placed on a machine that no answer has reached, nor on a deleted one by a late heartbeat."""

    async def main():
        cluster, leader = await settled_cluster(66)
        workers = cluster.workers.copy()
        ghost_heartbeat = cbor2.loads(next(iter(workers.values())).encode_heartbeat()) | {
            "stack": "host-999999",
            "volumes": [],
        }
        node = cluster.nodes[leader].node
        answer = node.handle(Request("POST", "/checkin", cbor2.dumps(ghost_heartbeat | {"warrant": 0})))
        for number in range(20, 26):
            spec = cluster.job(number, format="service", precedence="prod", loanS=0.0)
            cluster.spawn(cluster.simulate_user(spec, cancel_after_s=1e9))
        await asyncio.sleep(8.0)
        placed = node.leader_term.job_table.attempts_by_machine.get("host-999999")
        await asyncio.sleep(30.0)
        late_answer = node.handle(Request("POST", "/checkin", cbor2.dumps(ghost_heartbeat | {"accession": 10**6})))
        return (
            cluster,
            answer.status,
            placed,
            late_answer.status,
            "host-999999" in node.leader_term.inventory.machines,
        )

    cluster, first_status, placed, late_status, in_inventory = virtual_time.run(main())
    assert (first_status, placed, late_status, in_inventory) == (200, None, 503, False)
    assert cluster.checker.violations == []


def test_an_isolated_leader_steps_down_and_redirects_nobody_to_itself():
    async def main():
        cluster, old_leader = await settled_cluster(67, jobs=4)
        starts = cluster.checker.starts
        cluster.spawn(cluster.isolate(old_leader, 40.0))
        node = cluster.nodes[old_leader].node
        last_200_at = 0.0
        redirect_targets, health_statuses = set(), set()
        for _ in range(300):
            await asyncio.sleep(0.1)
            body = cbor2.dumps(
                {**cbor2.loads(next(iter(cluster.workers.values())).encode_heartbeat()), "stack": "host-888888"}
            )
            answer = node.handle(Request("POST", "/checkin", body))
            if answer.status == 200:
                last_200_at = cluster.now()
            elif cluster.now() > 32.0:
                redirect_targets.add(answer.body and cbor2.loads(answer.body).get("returnDesk"))
                health_statuses.add(node.handle(Request("GET", "/up", b"")).status)
        return cluster, old_leader, starts, last_200_at, redirect_targets, health_statuses, leaders(cluster)

    cluster, old_leader, starts, last_200_at, redirect_targets, health_statuses, current_leaders = virtual_time.run(
        main()
    )
    assert last_200_at < 20.0 + cluster.limits["lease_s"] / 2
    assert redirect_targets == {None}
    assert health_statuses == {503}
    assert current_leaders
    assert current_leaders != [old_leader]
    assert cluster.checker.starts == starts  # its workers found the new leader before their leases expired
    assert cluster.checker.violations == []


def test_a_leader_that_its_workers_no_longer_reach_resigns():
    """The store and the peers still reach the leader; without a resignation all tasks would end with their leases."""

    async def main():
        cluster, old_leader = await settled_cluster(69, jobs=12, machines=24, cards=2.0)
        starts = cluster.checker.starts
        before = set(cluster.workers)
        cluster.network_faults.append(("workers", old_leader, cluster.now() + 60.0))
        await asyncio.sleep(9.0)
        current_leaders = leaders(cluster)
        await asyncio.sleep(8.0)
        kept = before & set(cluster.workers)
        await asyncio.sleep(32.0)
        return cluster, old_leader, starts, current_leaders, leaders(cluster), len(before), len(kept)

    cluster, old_leader, starts, current_leaders, later, before, kept = virtual_time.run(main())
    assert before >= 24
    assert kept > before - 5  # the leader's fault must not make it delete the machines
    assert len(current_leaders) == 1
    assert current_leaders != [old_leader]
    assert later == current_leaders
    assert cluster.checker.starts <= starts + 6  # allows for a few workers that were redirected to the old leader
    assert cluster.checker.violations == []


def test_restarts_within_a_fraction_of_a_second_also_during_campaigns():
    async def main():
        cluster, _ = await settled_cluster(68, jobs=4)
        starts = cluster.checker.starts
        await cluster.force_elections(25)
        await asyncio.sleep(5.0)
        return cluster, starts, leaders(cluster)

    cluster, starts, current_leaders = virtual_time.run(main())
    # over nineteen terms in twelve seconds, a worker may contact crashed controllers until its lease expires
    assert len(current_leaders) == 1
    assert cluster.checker.starts <= starts + 2
    assert cluster.checker.violations == []


def test_services_preempt_unlaunched_attempts_at_once():
    """Jobs arrive in any order after a mass restart; services waited for machines whose attempts had not launched."""

    async def main():
        cluster = SimulatedCluster(72, machines=2, zones=("a",), capacity=(0, 0))
        await asyncio.sleep(5.0)
        gang = cluster.job(1, format="group", volumes=2, cards=2.0, cores=14.0, ramGb=50.0, precedence="high")
        cluster.spawn(cluster.simulate_user(gang, run_s=60.0))
        await asyncio.sleep(0.25)
        service = cluster.job(2, format="service", volumes=2, precedence="prod", loanS=0.0, imageGb=0.1)
        cluster.spawn(cluster.simulate_user(service, cancel_after_s=1e9))
        submitted_at = cluster.now()
        while ("wk-000002", 1) not in cluster.checker.placements and cluster.now() < submitted_at + 30.0:
            await asyncio.sleep(0.1)
        return cluster, cluster.now() - submitted_at

    cluster, took_s = virtual_time.run(main())
    assert ("wk-000001", 0) not in cluster.checker.placements
    assert cluster.checker.violations == []
    assert took_s < 4.0  # a heartbeat and the image download, without a stop before them


async def pause_leader(seed, for_s):
    """Pause the leader's process for ``for_s`` while heartbeats and a query wait in its sockets."""
    cluster, old_leader = await settled_cluster(seed, jobs=6, machines=12, cards=2.0)
    busy_machines = {name for places in cluster.checker.placements.values() for name, _ in places}
    starts = cluster.checker.starts
    cluster.nodes[old_leader].frozen_until = cluster.now() + for_s
    query = cluster.spawn(cluster.nodes[old_leader].answer(Request("GET", "/v2/runs/wk-000001", b"")))
    await asyncio.sleep(min(for_s, cluster.limits["lease_s"] / 2))
    leaders_during_pause = leaders(cluster)
    await asyncio.sleep(for_s + 20.0)
    lost_machines, new_starts = len(busy_machines - set(cluster.workers)), cluster.checker.starts - starts
    return cluster, leaders_during_pause, leaders(cluster), lost_machines, new_starts, query.result(), old_leader


@pytest.mark.parametrize("for_s", [3.0, 12.0, 25.0])
def test_a_leader_that_was_paused_leads_no_longer_and_deletes_no_machine(for_s):
    """On resumption, by its clock, every machine has missed heartbeats and every lease has expired."""
    cluster, during_pause, later, lost_machines, new_starts, answer, old_leader = virtual_time.run(
        pause_leader(75, for_s)
    )
    assert len(later) == 1
    assert cluster.checker.violations == []
    assert for_s < 5.0 or (len(during_pause) == 1 and during_pause != [old_leader])
    assert (lost_machines, new_starts) == (0, 0)
    assert answer.status in (200, 429, 503)


def test_a_leader_that_ignores_its_lease_after_a_pause_loses_machines(monkeypatch):
    """An unsafe variant that does not check its lease and counts its own pause as missed heartbeats."""
    monkeypatch.setattr(Leadership, "holds_lease", lambda self: self.leading)
    monkeypatch.setattr(
        MachineHealth, "observing_since", property(lambda self: 0.0, lambda self, value: None), raising=False
    )
    lost_machines = virtual_time.run(pause_leader(75, 25.0))[3]
    assert lost_machines > 0


def test_machines_cut_off_together_return_and_are_not_replaced_twice():
    """Cut-off machines were deleted when their leases expired, just before they returned with cached images."""

    async def main():
        cluster = SimulatedCluster(76, machines=24, zones=("a",), quota=60.0, capacity=(24, 0))
        for number in range(24):
            spec = cluster.job(number, volumes=2, cores=7.0, ramGb=30.0)
            cluster.spawn(cluster.simulate_user(spec, run_s=60.0))
        service = cluster.job(30, format="service", volumes=4, precedence="prod", loanS=0.0)
        cluster.spawn(cluster.simulate_user(service, cancel_after_s=1e9))
        await asyncio.sleep(20.0)
        machine_by_task = {key: name for key, places in cluster.checker.placements.items() for name, _ in places}
        with_service_tasks = {name for (job, _), name in machine_by_task.items() if job == "wk-000030"}
        cut = sorted(set(cluster.workers) - with_service_tasks)[:8] + sorted(with_service_tasks)[:1]
        for name in cut:
            cluster.network_faults.append(("machine", name, cluster.now() + 18.0))
        before = set(cluster.workers)
        await asyncio.sleep(14.0)
        up = sum(bool(cluster.checker.placements.get(("wk-000030", index))) for index in range(4))
        await asyncio.sleep(30.0)
        return cluster, before - set(cluster.workers), set(cut), with_service_tasks, up

    cluster, lost, cut, with_service_tasks, up = virtual_time.run(main())
    assert cluster.checker.violations == []
    assert not lost & (cut - with_service_tasks)  # all cut-off machines without service tasks returned
    assert lost & with_service_tasks  # the machine with a service task was deleted
    assert up == 4  # and its task runs elsewhere


def test_caches_for_answers_are_bounded():
    """Cached final statuses, names of deleted machines and cancellations are bounded in a long-running process."""
    replica = Replica(None, max_final_statuses=50)
    for number in range(500):
        replica.cache_final_status(f"wk-{number}", "done")
    assert len(replica.final_statuses) == 50
    assert "wk-499" in replica.final_statuses
    inventory = MachineInventory(MachineHealth(1.0, 10.0, 0.36, 0.0), 1)
    for number in range(MAX_DELETED_NAMES + 500):
        inventory.record_deleted(f"host-{number:06d}", float(number))
    assert len(inventory.deleted) == MAX_DELETED_NAMES
    assert "host-000000" not in inventory.deleted
    cancellation_log = CancellationLog(retention_s=60.0)
    for second in range(1000):
        cancellation_log.add(f"wk-{second}", float(second))
    assert cancellation_log.total == 1000
    assert len(cancellation_log.entries_since(0, 1000).job_ids) == 61
