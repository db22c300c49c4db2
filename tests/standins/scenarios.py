"""Scenarios in which two failures coincide, each on a cluster with jobs of every kind."""

import asyncio

import cbor2

from standins.simulated_cluster import SimulatedCluster


async def cluster_with_running_jobs(seed, jobs=4, machines=6, service=True, **fields):
    """Return a cluster on which jobs have been running for a while, and the name of its leader."""
    cluster = SimulatedCluster(seed, machines=machines)
    for number in range(jobs):
        kind = {"format": "service", "precedence": "prod", "loanS": 0.0} if service else {}
        cluster.spawn(cluster.simulate_user(cluster.job(number, **{**kind, **fields}), run_s=1e6, cancel_after_s=1e9))
    await asyncio.sleep(20.0)
    return cluster, await cluster.wait_for_leader()


def followers(cluster, leader):
    """Return the names of all controllers other than the leader."""
    return [name for name in cluster.nodes if name != leader]


# A scenario gets a cluster with jobs of every kind and the name of its leader; it returns whether the failures did
# coincide. Afterwards no fault is injected for long enough that each schedulable job must have started.

LONG_RUN_S = 60.0


def start_workload(cluster):
    """Submit services, arrays whose tasks end far apart, and arrays and gangs bound to one zone."""
    service_fields = {"format": "service", "precedence": "prod", "loanS": 0.0, "spread": len(cluster.zones) > 1}
    jobs = [(cluster.job(n, volumes=2, **service_fields), 1e6) for n in (0, 1)]
    jobs += [(cluster.job(n, volumes=3), [4.0, LONG_RUN_S, LONG_RUN_S / 2]) for n in (2, 3)]
    jobs += [(cluster.job(n, volumes=2, samePlace=True), LONG_RUN_S) for n in (4, 5)]
    jobs += [
        (cluster.job(n, format="group", volumes=2, samePlace=True, precedence="high"), LONG_RUN_S) for n in (6, 7)
    ]
    jobs += [(cluster.job(8, branch=cluster.zones[0]), LONG_RUN_S)]
    for spec, run_s in jobs:
        cluster.spawn(
            cluster.simulate_user(spec, run_s=run_s, cancel_after_s=1e9 if spec["format"] == "service" else None)
        )


def machines_of(cluster, job):
    """Return the names of the machines that have tasks of a job."""
    return sorted(
        {
            name
            for (placed_job, _), places in cluster.checker.placements.items()
            if placed_job == job
            for name, _ in places
        }
    )


def add_network_faults(cluster, kind, names, for_s):
    cluster.network_faults += [(kind, name, cluster.now() + for_s) for name in names]


def current_heartbeat(cluster, name):
    """Return the heartbeat that a machine's worker would send now."""
    return cluster.workers[name].encode_heartbeat()


async def all_controllers_down_longer_than_a_lease(cluster, leader):
    incarnations = {name: worker.incarnation for name, worker in cluster.workers.items()}
    await cluster.cancel("wk-000002")
    await cluster.crash(list(cluster.nodes), cluster.limits["lease_s"] * 1.5)
    return all(cluster.workers[name].incarnation > incarnation for name, incarnation in incarnations.items())


async def leader_crashes_while_machines_are_partitioned(cluster, leader, kind="machine", for_s=8.0):
    names = machines_of(cluster, "wk-000004") + machines_of(cluster, "wk-000006")
    add_network_faults(cluster, kind, names, for_s)
    await cluster.crash([leader], 4.0)
    coincided = any(active_kind == kind and until > cluster.now() for active_kind, _, until in cluster.network_faults)
    await asyncio.sleep(for_s)
    return coincided and bool(names)


async def machines_unreachable_from_the_new_leader(cluster, leader):
    return await leader_crashes_while_machines_are_partitioned(cluster, leader, "unreachable_inbound", 25.0)


async def failover_and_back(cluster, leader):
    term = cluster.nodes[leader].node.leadership.term
    await cluster.force_elections(4)
    await cluster.crash(list(cluster.nodes), 0.3)
    for name in followers(cluster, leader):
        cluster.nodes[name].kill()
    await asyncio.sleep(5.0)
    leadership = cluster.nodes[leader].node.leadership
    coincided = leadership.holds_lease() and leadership.term > term
    for name in followers(cluster, leader):
        cluster.spawn(cluster.crash([name], 0.5))
    return coincided


async def leader_crashes_while_array_tasks_end_far_apart(cluster, leader):
    while cluster.checker.placements.get(("wk-000002", 0)) or ("wk-000002", 0) not in cluster.completed:
        await asyncio.sleep(0.2)
    await cluster.crash([leader], 4.0)
    coincided = ("wk-000002", 1) not in cluster.completed
    await asyncio.sleep(LONG_RUN_S / 2)
    await cluster.crash([await cluster.wait_for_leader()], 0.2)
    return coincided and ("wk-000002", 2) in cluster.completed and ("wk-000002", 1) not in cluster.completed


async def slow_store_then_refusal_then_outage(cluster, leader):
    cluster.store_delay_s = 0.4
    await asyncio.sleep(5.0)
    cluster.spawn(cluster.refuse_store_access(leader, 12.0))
    confirmed = [await cluster.cancel("wk-000003", followers(cluster, leader)[0])]
    cluster.spawn(cluster.cancel_until_confirmed("wk-000006"))
    await asyncio.sleep(0.2)
    await cluster.store_outage(cluster.limits["cancel_s"] * 1.2)
    cluster.store_delay_s = 0.0
    return confirmed == [True]


async def zone_bound_jobs_lose_machines(cluster, leader):
    names = machines_of(cluster, "wk-000004")[:1] + machines_of(cluster, "wk-000006")[:1]
    cluster.cloud.delete(names[0])
    add_network_faults(cluster, "machine", names[1:], 30.0)
    await asyncio.sleep(2.0)
    coincided = 0 < len(machines_of(cluster, "wk-000004")) <= 2
    await cluster.crash([await cluster.wait_for_leader()], 4.0)
    return coincided


async def stale_heartbeats_after_newer_ones(cluster, leader):
    """Deliver stale heartbeats: of an earlier time, of an earlier incarnation and with an earlier attempt."""
    names = machines_of(cluster, "wk-000006") + machines_of(cluster, "wk-000002")
    delayed = {name: [current_heartbeat(cluster, name)] for name in names}
    await cluster.crash(list(cluster.nodes), cluster.limits["lease_s"] * 1.2)
    await asyncio.sleep(6.0)
    coincided = True
    for name, bodies in delayed.items():
        bodies.append(current_heartbeat(cluster, name))
        coincided = coincided and cbor2.loads(bodies[0])["shift"] < cbor2.loads(bodies[1])["shift"]
    await asyncio.sleep(8.0)
    for _ in range(2):
        for body in [body for bodies in delayed.values() for body in bodies]:
            for node in cluster.nodes:
                cluster.deliver_late_heartbeat(node, body)
        await asyncio.sleep(1.0)
    return coincided


async def isolated_leader(cluster, leader):
    cluster.spawn(cluster.isolate(leader, 25.0))
    while not [name for name in cluster.leaders() if name != leader]:
        await asyncio.sleep(0.1)
    confirmed = await cluster.cancel("wk-000003", cluster.leaders()[0])
    answer = await cluster.request("GET", "/v2/runs/wk-000003", node=leader)
    await asyncio.sleep(25.0)
    # the old leader has not received the cancellation and must refuse to answer
    return confirmed and answer[0] in (429, 503)


async def team_at_its_quota_and_a_new_leader(cluster, leader):
    """A team is at its quota, its machines are unreachable from the new leader, and one of its jobs is cancelled."""
    for number in (12, 15):
        cluster.spawn(
            cluster.simulate_user(cluster.job(number, volumes=6, desk="t0", loaners=True), run_s=LONG_RUN_S)
        )
    await asyncio.sleep(25.0)
    keys_of_team = [
        key for key, places in cluster.checker.placements.items() if places and cluster.specs[key[0]]["desk"] == "t0"
    ]
    add_network_faults(
        cluster, "machine", {name for key in keys_of_team for name, _ in cluster.checker.placements[key]}, 20.0
    )
    await cluster.crash([leader], 4.0)
    await cluster.cancel_until_confirmed("wk-000012")
    await asyncio.sleep(25.0)
    return len(keys_of_team) >= cluster.limits["gpus_max"] - 1


async def late_transactions(cluster, leader):
    cluster.late_request_share = 0.3
    cluster.spawn(cluster.cancel_until_confirmed("wk-000003"))
    commits = cluster.store.commits
    await asyncio.sleep(30.0)
    cluster.late_request_share = 0.0
    await asyncio.sleep(20.0)
    return cluster.store.reordered_requests > 0 and cluster.store.commits > commits


async def more_work_than_capacity(cluster, leader):
    add_network_faults(cluster, "slow_answer", list(cluster.workers), 40.0)
    for number in range(20, 40):
        is_urgent = number % 3 == 0
        spec = cluster.job(number, volumes=3, precedence="prod" if is_urgent else "low", cards=1.0, imageGb=6.0)
        cluster.spawn(cluster.simulate_user(spec, run_s=10.0))
    await asyncio.sleep(20.0)
    return (
        sum(job not in {placed for placed, _ in cluster.checker.placements} for job in cluster.checker.accepted) > 3
    )


async def requests_at_the_end_of_the_last_task(cluster, leader):
    """Queries, cancellations and repeated submissions arrive around the end of a job's last task."""
    ended_jobs = []
    for number in range(50, 62):
        spec = cluster.job(number)
        cluster.spawn(cluster.simulate_user(spec, run_s=3.0))
        await asyncio.sleep(0.4)
    for _ in range(400):
        await asyncio.sleep(0.05)
        for number in range(50, 62):
            job = f"wk-{number:06d}"
            if (job, 0) in cluster.completed and job not in ended_jobs:
                ended_jobs.append(job)
                if number % 3 == 0:
                    cluster.spawn(cluster.cancel_until_confirmed(job))
                elif number % 3 == 1:
                    cluster.spawn(cluster.simulate_user(cluster.specs[job], run_s=3.0))
    return len(ended_jobs) == 12


async def zone_partitioned(cluster, leader):
    """The zone of the leader is partitioned with its workers; another controller confirms a cancellation."""
    zone = cluster.nodes[leader].zone
    names = [name for name, worker in cluster.workers.items() if worker.zone == zone]
    for_s = cluster.limits["lease_s"] * 1.6
    add_network_faults(cluster, "zone", [zone], for_s)
    cluster.spawn(cluster.isolate(leader, for_s))
    await asyncio.sleep(6.0)
    new_leader = await cluster.wait_for_leader()
    confirmed = await cluster.cancel("wk-000003", new_leader)
    await asyncio.sleep(for_s)
    return confirmed and new_leader != leader and bool(names)


async def delayed_commands(cluster, leader):
    names = machines_of(cluster, "wk-000004") + machines_of(cluster, "wk-000000")
    add_network_faults(cluster, "slow_answer", names, 30.0)
    await asyncio.sleep(2.0)
    for name in names:
        cluster.workers[name].hung_until = cluster.now() + 6.0
    await cluster.cancel("wk-000004")
    await cluster.crash([leader], 0.3)
    await asyncio.sleep(30.0)
    return bool(names)


async def ten_leader_terms(cluster, leader):
    terms = set()
    for step in range(12):
        if step == 5:
            cluster.spawn(cluster.store_outage(15.0))
        name = (cluster.leaders() or sorted(cluster.nodes))[0]
        await cluster.crash([name], 0.3 if step % 2 else 4.0)
        await asyncio.sleep(6.0)
        terms |= {controller.node.leadership.term for controller in cluster.nodes.values()}
        if step == 3:
            cluster.spawn(cluster.cancel_until_confirmed("wk-000004"))
    return len(terms - {0}) >= 10  # no term is taken while the store is out


async def heartbeat_delayed_until_a_new_leader_acted(cluster, leader):
    names = machines_of(cluster, "wk-000006") + machines_of(cluster, "wk-000002")
    delayed = {name: current_heartbeat(cluster, name) for name in names}
    cluster.spawn(cluster.cancel_until_confirmed("wk-000006"))
    await cluster.crash([leader], 4.0)
    new_leader = await cluster.wait_for_leader()
    await asyncio.sleep(8.0)
    coincided = all(
        cbor2.loads(body)["warrant"] < cluster.nodes[new_leader].node.leadership.term for body in delayed.values()
    )
    for body in delayed.values():
        cluster.deliver_late_heartbeat(new_leader, body)
        cluster.deliver_late_heartbeat(followers(cluster, new_leader)[0], body)
    return coincided


async def machines_unreachable_outbound(cluster, leader):
    names = sorted({name for job in ("wk-000000", "wk-000004", "wk-000006") for name in machines_of(cluster, job)})
    add_network_faults(cluster, "unreachable_outbound", names, 30.0)
    confirmed = await cluster.cancel("wk-000004")
    await asyncio.sleep(30.0)
    return confirmed and bool(names)


async def cancelled_while_machines_hang(cluster, leader, count=3):
    """Several machines hang at once, for less than a lease or for longer than cancel_s, as in a correlated outage."""
    names = sorted({name for (_, _), places in cluster.checker.placements.items() for name, _ in places})[:count]
    jobs = {job for (job, _), places in cluster.checker.placements.items() if set(dict(places)) & set(names)}
    for number, name in enumerate(names):
        cluster.workers[name].hung_until = cluster.now() + (8.0 if number % 2 else cluster.limits["cancel_s"] * 2)
    confirmed = [await cluster.cancel(job) for job in sorted(jobs)]
    await asyncio.sleep(cluster.limits["cancel_s"] * 1.2)
    return all(confirmed) and bool(confirmed)


async def most_machines_hang(cluster, leader):
    return await cancelled_while_machines_hang(cluster, leader, 7)


async def invalid_requests(cluster, leader):
    cluster.spawn(cluster.refuse_store_access(leader, 10.0))
    valid = cluster.job(70)
    invalid = [
        ({**valid, "desk": "nobody"}, 422),
        ({**valid, "cards": 4.0}, 422),
        ({**valid, "bindings": []}, 422),
        ({**valid, "branch": "nowhere"}, 422),
        ({**valid, "format": "group", "volumes": 9, "cards": 1.0}, 422),
        ({**valid, "format": "group", "volumes": 2, "spread": True, "branch": cluster.zones[0]}, 422),
        ({**valid, "format": "service", "volumes": 2, "spread": True, "samePlace": True}, 422),
        *(({key: value for key, value in valid.items() if key != missing}, 400) for missing in REQUIRED_FIELDS),
    ]
    cluster.invalid_jobs = {valid["ref"]}
    cluster.specs[valid["ref"]] = valid
    coincided = True
    for body, expected in invalid:
        sent_at = cluster.now()
        status, answer = await cluster.request("POST", "/v2/runs", cbor2.dumps(body), 5.0)
        cluster.checker.on_answer(valid["ref"], sent_at, status, answer)
        coincided = coincided and status in (expected, 0)
    for number in range(9):
        sent_at, job = cluster.now(), f"wk-{number:06d}"
        status, answer = await cluster.request("POST", "/v2/runs", cbor2.dumps(cluster.specs[job]), 5.0)
        cluster.checker.on_answer(job, sent_at, status, answer, submission=True)
    return coincided


REQUIRED_FIELDS = (
    "ref",
    "shelfmark",
    "desk",
    "format",
    "precedence",
    "volumes",
    "cores",
    "cards",
    "ramGb",
    "edition",
    "imageGb",
)

SCENARIOS = [
    all_controllers_down_longer_than_a_lease,
    leader_crashes_while_machines_are_partitioned,
    machines_unreachable_from_the_new_leader,
    failover_and_back,
    leader_crashes_while_array_tasks_end_far_apart,
    slow_store_then_refusal_then_outage,
    zone_bound_jobs_lose_machines,
    stale_heartbeats_after_newer_ones,
    isolated_leader,
    team_at_its_quota_and_a_new_leader,
    late_transactions,
    more_work_than_capacity,
    requests_at_the_end_of_the_last_task,
    zone_partitioned,
    delayed_commands,
    ten_leader_terms,
    heartbeat_delayed_until_a_new_leader_acted,
    machines_unreachable_outbound,
    cancelled_while_machines_hang,
    most_machines_hang,
    invalid_requests,
]


async def run_scenario(scenario, seed, zones):
    cluster = SimulatedCluster(seed, zones=zones, machines=9, quota=8.0, capacity=(8, 4))
    cluster.checker.check_waiting = True
    cluster.disrupted_until = 1e9
    start_workload(cluster)
    await asyncio.sleep(20.0)
    coincided = await scenario(cluster, await cluster.wait_for_leader())
    cluster.disrupted_until = cluster.now() + 10.0
    await asyncio.sleep(130.0)
    return cluster, coincided
