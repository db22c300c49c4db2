"""Claims of docs/safety.md that need a sequence of events, each in the simulated cluster."""

import asyncio

import cbor2
import pytest

from passrock.controller.leadership import Leadership
from passrock.controller.replica import Replica
from passrock.core.cancellations import CancellationLog
from passrock.core.inventory import DELETED_NAMES_KEPT, MachineInventory
from passrock.core.machine_health import MachineHealth
from passrock.io.http_server import Request
from passrock.io.store import TransactionConflict
from passrock.wire.store import Put
from standins import virtual_time
from standins.simulated_cluster import SimulatedCluster


def leaders(cluster):
    """Names of the nodes that hold the leader lease at this moment."""
    return [name for name, sim in cluster.nodes.items() if sim.alive and sim.node.leadership.holds_lease()]


async def settled_cluster(seed, jobs=2, machines=6, **fields):
    """A cluster with some replicas running; its leader's name."""
    cluster = SimulatedCluster(seed, machines=machines)
    for number in range(jobs):
        spec = cluster.job(number, format="service", precedence="prod", loanS=0.0, **fields)
        cluster.spawn(cluster.simulate_user(spec, cancel_after_s=1e9))
    await asyncio.sleep(20.0)
    return cluster, leaders(cluster)[0]


def test_never_two_leaders_hold_the_lease_and_late_writes_fail():
    async def main():
        cluster, old = await settled_cluster(60)
        sim = cluster.nodes[old]
        leader_revision = sim.node.leadership.leader_revision
        cluster.spawn(cluster.refuse_store_access(old, 30.0))
        most, changed_at = 0, None
        for step in range(600):
            await asyncio.sleep(0.05)
            now = leaders(cluster)
            most = max(most, len(now))
            if changed_at is None and now and now[0] != old:
                changed_at = step * 0.05
        other = next(s for name, s in cluster.nodes.items() if name != old)
        late = await other.node.store.commit({"p/lead": leader_revision}, [Put("p/j/wk-1", {})])
        return cluster, most, changed_at, late

    cluster, most, changed_at, late = virtual_time.run(main())
    assert most == 1
    assert changed_at < cluster.limits["lease_s"] / 2
    assert isinstance(late, TransactionConflict)
    assert late.conflicting_keys == ("p/lead",)
    assert cluster.checker.violations == []


def test_restarted_leader_takes_over_its_own_key_at_once():
    async def main():
        cluster, old = await settled_cluster(61)
        term = cluster.nodes[old].node.leadership.term
        await cluster.crash([old], 0.1)
        await asyncio.sleep(1.0)
        return cluster, old, leaders(cluster), cluster.nodes[old].node.leadership.term, term

    cluster, old, now, new_term, term = virtual_time.run(main())
    assert now == [old]
    assert new_term == term + 1
    assert cluster.checker.violations == []


def test_cancellation_reaches_tasks_though_the_leader_is_refused():
    async def main():
        cluster, old = await settled_cluster(62)
        cluster.spawn(cluster.refuse_store_access(old, 30.0))
        other = next(name for name in cluster.nodes if name != old)
        cluster.checker.cancel_requested.add("wk-000000")
        asked = cluster.now()
        status, answer = await cluster.request("POST", "/v2/runs/wk-000000/withdraw", node=other)
        cluster.checker.on_answer("wk-000000", asked, status, answer)
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
        again = await cluster.request("POST", "/v2/runs", cbor2.dumps(cluster.job(1)), 5.0)
        return status, answer["status"], again[0], again[1]["status"], sorted(cluster.store.data)

    status, answered_status, again, state, left = virtual_time.run(main())
    assert (status, answered_status, again, state) == (200, "done", 200, "done")
    assert "p/f/wk-000001" in left
    assert not any(key.startswith(("p/j/", "p/c/")) for key in left)


def test_a_node_whose_replica_lags_gives_no_older_answer():
    async def main():
        cluster, old = await settled_cluster(64)
        behind = next(name for name in cluster.nodes if name != old)
        cluster.spawn(cluster.refuse_store_access(behind, 20.0))
        await asyncio.sleep(0.5)
        status, _ = await cluster.request("POST", "/v2/runs", cbor2.dumps(cluster.job(9)), 5.0, node=old)
        stale = await cluster.request("GET", "/v2/runs/wk-000009", node=behind)
        fresh = await cluster.request("GET", "/v2/runs/wk-000009", node=old)
        unknown = await cluster.request("GET", "/v2/runs/wk-777777", node=old)
        return status, stale[0], fresh[0], unknown[0]

    assert virtual_time.run(main()) == (201, 503, 200, 404)


def test_a_machine_unreachable_inbound_is_replaced_after_its_lease_expires():
    """Its heartbeats look healthy: only the fencing token, which comes with an answer, distinguishes it."""

    async def main():
        cluster, _ = await settled_cluster(65, jobs=3)
        unreachable = next(iter(dict(cluster.checker.placements[("wk-000000", 0)])))
        cluster.network_faults.append(("unreachable_inbound", unreachable, cluster.now() + 300.0))
        cluster.cloud.outage = True  # no deletion helps at first: the unanswered lease has to end
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


def test_a_new_machine_gets_nothing_before_it_shows_the_token():
    """One that no answer ever reached, and late copies of heartbeats of a machine that is deleted."""

    async def main():
        cluster, leader = await settled_cluster(66)
        held = cluster.workers.copy()
        ghost = cbor2.loads(next(iter(held.values())).encode_heartbeat()) | {"stack": "host-999999", "volumes": []}
        node = cluster.nodes[leader].node
        answer = node.handle(Request("POST", "/checkin", cbor2.dumps(ghost | {"warrant": 0})))
        for number in range(20, 26):
            spec = cluster.job(number, format="service", precedence="prod", loanS=0.0)
            cluster.spawn(cluster.simulate_user(spec, cancel_after_s=1e9))
        await asyncio.sleep(8.0)
        placed = node.leader_term.job_table.attempts_by_machine.get("host-999999")
        await asyncio.sleep(30.0)
        again = node.handle(Request("POST", "/checkin", cbor2.dumps(ghost | {"accession": 10**6})))
        return cluster, answer.status, placed, again.status, "host-999999" in node.leader_term.inventory.machines

    cluster, first, placed, later, known = virtual_time.run(main())
    assert (first, placed, later, known) == (200, None, 503, False)
    assert cluster.checker.violations == []


def test_an_isolated_leader_steps_down_and_redirects_nobody_to_itself():
    async def main():
        cluster, old = await settled_cluster(67, jobs=4)
        starts = cluster.checker.starts
        cluster.spawn(cluster.isolate(old, 40.0))
        node = cluster.nodes[old].node
        last_200 = 0.0
        redirects, health = set(), set()
        for _ in range(300):
            await asyncio.sleep(0.1)
            body = cbor2.dumps(
                {**cbor2.loads(next(iter(cluster.workers.values())).encode_heartbeat()), "stack": "host-888888"}
            )
            answer = node.handle(Request("POST", "/checkin", body))
            if answer.status == 200:
                last_200 = cluster.now()
            elif cluster.now() > 32.0:
                redirects.add(answer.body and cbor2.loads(answer.body).get("returnDesk"))
                health.add(node.handle(Request("GET", "/up", b"")).status)
        return cluster, old, starts, last_200, redirects, health, leaders(cluster)

    cluster, old, starts, last_200, redirects, health, now = virtual_time.run(main())
    assert last_200 < 20.0 + cluster.limits["lease_s"] / 2
    assert redirects == {None}
    assert health == {503}
    assert now
    assert now != [old]
    assert cluster.checker.starts == starts  # its workers found the new leader in time
    assert cluster.checker.violations == []


def test_a_leader_that_its_workers_no_longer_reach_resigns():
    """Key-value store and peers see nothing wrong with it, and every task would end with its lease."""

    async def main():
        cluster, old = await settled_cluster(69, jobs=12, machines=24, cards=2.0)
        starts = cluster.checker.starts
        before = set(cluster.workers)
        cluster.network_faults.append(("workers", old, cluster.now() + 60.0))
        await asyncio.sleep(9.0)
        now = leaders(cluster)
        await asyncio.sleep(8.0)
        kept = before & set(cluster.workers)
        await asyncio.sleep(32.0)
        return cluster, old, starts, now, leaders(cluster), len(before), len(kept)

    cluster, old, starts, now, later, before, kept = virtual_time.run(main())
    assert before >= 24
    assert kept > before - 5  # machines are not given up together for a fault of one leader
    assert len(now) == 1
    assert now != [old]
    assert later == now
    assert cluster.checker.starts <= starts + 6  # a few workers had been sent back to the old leader
    assert cluster.checker.violations == []


def test_restarts_within_a_fraction_of_a_second_also_during_campaigns():
    async def main():
        cluster, _ = await settled_cluster(68, jobs=4)
        starts = cluster.checker.starts
        await cluster.force_elections(25)
        await asyncio.sleep(5.0)
        return cluster, starts, leaders(cluster)

    cluster, starts, now = virtual_time.run(main())
    # one worker may try crashed controllers for the length of its lease while nineteen terms pass in twelve seconds
    assert len(now) == 1
    assert cluster.checker.starts <= starts + 2
    assert cluster.checker.violations == []


def test_replicas_preempt_unlaunched_attempts_at_once():
    """After a mass restart jobs arrive in no order; replicas waited for machines that had nothing to stop yet."""

    async def main():
        cluster = SimulatedCluster(72, machines=2, zones=("a",), capacity=(0, 0))
        await asyncio.sleep(5.0)
        gang = cluster.job(1, format="group", volumes=2, cards=2.0, cores=14.0, ramGb=50.0, precedence="high")
        cluster.spawn(cluster.simulate_user(gang, run_s=60.0))
        await asyncio.sleep(0.25)
        service = cluster.job(2, format="service", volumes=2, precedence="prod", loanS=0.0, imageGb=0.1)
        cluster.spawn(cluster.simulate_user(service, cancel_after_s=1e9))
        began = cluster.now()
        while ("wk-000002", 1) not in cluster.checker.placements and cluster.now() < began + 30.0:
            await asyncio.sleep(0.1)
        return cluster, cluster.now() - began

    cluster, took = virtual_time.run(main())
    assert ("wk-000001", 0) not in cluster.checker.placements
    assert cluster.checker.violations == []
    assert took < 4.0  # a heartbeat, the image, and no stop before it


async def pause_the_leader(seed, for_s):
    """A leader process is paused while heartbeats and users' queries wait in its sockets."""
    cluster, old = await settled_cluster(seed, jobs=6, machines=12, cards=2.0)
    before = {name for places in cluster.checker.placements.values() for name, _ in places}
    starts = cluster.checker.starts
    cluster.nodes[old].frozen_until = cluster.now() + for_s
    query = cluster.spawn(cluster.nodes[old].answer(Request("GET", "/v2/runs/wk-000001", b"")))
    await asyncio.sleep(min(for_s, cluster.limits["lease_s"] / 2))
    new = leaders(cluster)
    await asyncio.sleep(for_s + 20.0)
    lost, started = len(before - set(cluster.workers)), cluster.checker.starts - starts
    return cluster, new, leaders(cluster), lost, started, query.result(), old


@pytest.mark.parametrize("for_s", [3.0, 12.0, 25.0])
def test_a_leader_that_was_paused_leads_no_longer_and_deletes_no_machine(for_s):
    """Its clocks ran on: by them every machine had missed heartbeats and every lease had expired when it resumed."""
    cluster, new, later, lost, started, answer, old = virtual_time.run(pause_the_leader(75, for_s))
    assert len(later) == 1
    assert cluster.checker.violations == []
    assert for_s < 5.0 or (len(new) == 1 and new != [old])
    assert (lost, started) == (0, 0)
    assert answer.status in (200, 429, 503)


def test_a_leader_that_trusts_its_role_after_a_pause_is_seen_to_lose_machines(monkeypatch):
    """The unsafe variant: it leads by what it remembers, and its own pause counts against the machines."""
    monkeypatch.setattr(Leadership, "holds_lease", lambda self: self.leading)
    monkeypatch.setattr(
        MachineHealth, "observing_since", property(lambda self: 0.0, lambda self, value: None), raising=False
    )
    lost = virtual_time.run(pause_the_leader(75, 25.0))[3]
    assert lost > 0


def test_machines_cut_off_together_come_back_and_are_not_replaced_twice():
    """Given up as their leases expired, cut machines were deleted just before they came back, warm, and replaced."""

    async def main():
        cluster = SimulatedCluster(76, machines=24, zones=("a",), quota=60.0, capacity=(24, 0))
        for number in range(24):
            spec = cluster.job(number, volumes=2, cores=7.0, ramGb=30.0)
            cluster.spawn(cluster.simulate_user(spec, run_s=60.0))
        replicas = cluster.job(30, format="service", volumes=4, precedence="prod", loanS=0.0)
        cluster.spawn(cluster.simulate_user(replicas, cancel_after_s=1e9))
        await asyncio.sleep(20.0)
        holding = {key: name for key, places in cluster.checker.placements.items() for name, _ in places}
        with_replicas = {name for (job, _), name in holding.items() if job == "wk-000030"}
        cut = sorted(set(cluster.workers) - with_replicas)[:8] + sorted(with_replicas)[:1]
        for name in cut:
            cluster.network_faults.append(("machine", name, cluster.now() + 18.0))
        before = set(cluster.workers)
        await asyncio.sleep(14.0)
        up = sum(bool(cluster.checker.placements.get(("wk-000030", index))) for index in range(4))
        await asyncio.sleep(30.0)
        return cluster, before - set(cluster.workers), set(cut), with_replicas, up

    cluster, lost, cut, with_replicas, up = virtual_time.run(main())
    assert cluster.checker.violations == []
    assert not lost & (cut - with_replicas)  # all back
    assert lost & with_replicas  # but the replica's machine was given up
    assert up == 4  # and the replica runs elsewhere


def test_caches_for_answers_are_bounded():
    """Final states by a share of the memory, deleted machines by a number: a long-lived process doesn't grow them."""
    replica = Replica(None, finals_kept=50)
    for number in range(500):
        replica.note_final(f"wk-{number}", "done")
    assert len(replica.finals) == 50
    assert "wk-499" in replica.finals
    inventory = MachineInventory(MachineHealth(1.0, 10.0, 0.36, 0.0), 1)
    for number in range(DELETED_NAMES_KEPT + 500):
        inventory.record_deleted(f"host-{number:06d}", float(number))
    assert len(inventory.deleted) == DELETED_NAMES_KEPT
    assert "host-000000" not in inventory.deleted
    log = CancellationLog(keep_s=60.0)
    for second in range(1000):
        log.learn(f"wk-{second}", float(second))
    assert log.total == 1000
    assert len(log.entries_since(0, 1000).job_ids) == 61
