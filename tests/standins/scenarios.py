"""Scenarios in which two failures coincide, each on a cluster with work of every kind; it tells whether they did."""

import asyncio

import cbor2

from standins.simulated_cluster import SimulatedCluster


async def settled_cluster(seed, jobs=4, machines=6, service=True, **fields):
    """A cluster with some jobs running; its leader's name."""
    cluster = SimulatedCluster(seed, machines=machines)
    for number in range(jobs):
        kind = {"format": "service", "precedence": "prod", "loanS": 0.0} if service else {}
        cluster.spawn(cluster.user(cluster.job(number, **{**kind, **fields}), run_s=1e6, cancel_after=1e9))
    await asyncio.sleep(20.0)
    return cluster, await cluster.wait_for_leader()


def others(cluster, leader):
    """The controllers that don't lead."""
    return [name for name in cluster.nodes if name != leader]


# A scenario plays on a cluster with work of every kind and returns whether the failures did coincide. All is quiet
# afterwards for long enough that whatever waits must run.

LONG = 60.0


def started_work(cluster):
    """Replicas, arrays whose tasks end far apart, arrays and gangs bound to one zone."""
    service_fields = {"format": "service", "precedence": "prod", "loanS": 0.0, "spread": len(cluster.zones) > 1}
    jobs = [(cluster.job(n, volumes=2, **service_fields), 1e6) for n in (0, 1)]
    jobs += [(cluster.job(n, volumes=3), [4.0, LONG, LONG / 2]) for n in (2, 3)]
    jobs += [(cluster.job(n, volumes=2, samePlace=True), LONG) for n in (4, 5)]
    jobs += [(cluster.job(n, format="group", volumes=2, samePlace=True, precedence="high"), LONG) for n in (6, 7)]
    jobs += [(cluster.job(8, branch=cluster.zones[0]), LONG)]
    for spec, run_s in jobs:
        cluster.spawn(cluster.user(spec, run_s=run_s, cancel_after=1e9 if spec["format"] == "service" else None))


def on_machines(cluster, job):
    """The machines with tasks of a job."""
    return sorted({name for (one, _), places in cluster.checker.present.items() if one == job for name, _ in places})


def cut(cluster, kind, names, for_s):
    cluster.cuts += [(kind, name, cluster.now() + for_s) for name in names]


def newest(cluster, name):
    """A machine's report as it would send it now."""
    return cluster.workers[name].report()


async def all_controllers_down_longer_than_a_lease(cluster, leader):
    incarnations = {name: worker.incarnation for name, worker in cluster.workers.items()}
    await cluster.cancel("wk-000002")
    await cluster.crash(list(cluster.nodes), cluster.limits["lease_s"] * 1.5)
    return all(cluster.workers[name].incarnation > incarnation for name, incarnation in incarnations.items())


async def leader_ends_while_machines_are_cut(cluster, leader, kind="machine", for_s=8.0):
    names = on_machines(cluster, "wk-000004") + on_machines(cluster, "wk-000006")
    cut(cluster, kind, names, for_s)
    await cluster.crash([leader], 4.0)
    coincided = any(kind == one and until > cluster.now() for one, _, until in cluster.cuts)
    await asyncio.sleep(for_s)
    return coincided and bool(names)


async def machines_unreachable_from_the_new_leader(cluster, leader):
    return await leader_ends_while_machines_are_cut(cluster, leader, "unreachable_inbound", 25.0)


async def failover_and_back(cluster, leader):
    term = cluster.nodes[leader].node.leadership.term
    await cluster.elections(4)
    await cluster.crash(list(cluster.nodes), 0.3)
    for name in others(cluster, leader):
        cluster.nodes[name].kill()
    await asyncio.sleep(5.0)
    alone = cluster.nodes[leader].node.leadership
    coincided = alone.holds_lease() and alone.term > term
    for name in others(cluster, leader):
        cluster.spawn(cluster.crash([name], 0.5))
    return coincided


async def tasks_end_far_apart(cluster, leader):
    while cluster.checker.present.get(("wk-000002", 0)) or ("wk-000002", 0) not in cluster.completed:
        await asyncio.sleep(0.2)
    await cluster.crash([leader], 4.0)
    coincided = ("wk-000002", 1) not in cluster.completed
    await asyncio.sleep(LONG / 2)
    await cluster.crash([await cluster.wait_for_leader()], 0.2)
    return coincided and ("wk-000002", 2) in cluster.completed and ("wk-000002", 1) not in cluster.completed


async def slow_state_then_refused_then_out(cluster, leader):
    cluster.state_delay = 0.4
    await asyncio.sleep(5.0)
    cluster.spawn(cluster.refuse(leader, 12.0))
    confirmed = [await cluster.cancel("wk-000003", others(cluster, leader)[0])]
    cluster.spawn(cluster.cancel_until_confirmed("wk-000006"))
    await asyncio.sleep(0.2)
    await cluster.outage(cluster.limits["cancel_s"] * 1.2)
    cluster.state_delay = 0.0
    return confirmed == [True]


async def zone_bound_jobs_lose_machines(cluster, leader):
    names = on_machines(cluster, "wk-000004")[:1] + on_machines(cluster, "wk-000006")[:1]
    cluster.cloud.delete(names[0])
    cut(cluster, "machine", names[1:], 30.0)
    await asyncio.sleep(2.0)
    coincided = 0 < len(on_machines(cluster, "wk-000004")) <= 2
    await cluster.crash([await cluster.wait_for_leader()], 4.0)
    return coincided


async def old_reports_after_newer_ones(cluster, leader):
    """Of an earlier moment, of an earlier incarnation, and of an earlier attempt."""
    names = on_machines(cluster, "wk-000006") + on_machines(cluster, "wk-000002")
    held = {name: [newest(cluster, name)] for name in names}
    await cluster.crash(list(cluster.nodes), cluster.limits["lease_s"] * 1.2)
    await asyncio.sleep(6.0)
    coincided = True
    for name, bodies in held.items():
        bodies.append(newest(cluster, name))
        coincided = coincided and cbor2.loads(bodies[0])["shift"] < cbor2.loads(bodies[1])["shift"]
    await asyncio.sleep(8.0)
    for _ in range(2):
        for body in [body for bodies in held.values() for body in bodies]:
            for node in cluster.nodes:
                cluster.deliver_late_heartbeat(node, body)
        await asyncio.sleep(1.0)
    return coincided


async def isolated_leader(cluster, leader):
    cluster.spawn(cluster.isolate(leader, 25.0))
    while not [name for name in cluster.leaders() if name != leader]:
        await asyncio.sleep(0.1)
    confirmed = await cluster.cancel("wk-000003", cluster.leaders()[0])
    asked = await cluster.ask("GET", "/v2/runs/wk-000003", node=leader)
    await asyncio.sleep(25.0)
    return confirmed and asked[0] in (429, 503)  # the old one can't know, and says so


async def limit_and_a_new_leader(cluster, leader):
    """A team at its limit; its machines can't be asked by the next leader; one of its jobs is cancelled."""
    for number in (12, 15):
        cluster.spawn(cluster.user(cluster.job(number, volumes=6, desk="t0", loaners=True), run_s=LONG))
    await asyncio.sleep(25.0)
    mine = [
        key for key, places in cluster.checker.present.items() if places and cluster.specs[key[0]]["desk"] == "t0"
    ]
    cut(cluster, "machine", {name for key in mine for name, _ in cluster.checker.present[key]}, 20.0)
    await cluster.crash([leader], 4.0)
    await cluster.cancel_until_confirmed("wk-000012")
    await asyncio.sleep(25.0)
    return len(mine) >= cluster.limits["gpus_max"] - 1


async def late_transactions(cluster, leader):
    cluster.late_share = 0.3
    cluster.spawn(cluster.cancel_until_confirmed("wk-000003"))
    commits = cluster.state.commits
    await asyncio.sleep(30.0)
    cluster.late_share = 0.0
    await asyncio.sleep(20.0)
    return cluster.state.late_after_newer > 0 and cluster.state.commits > commits


async def more_work_than_capacity(cluster, leader):
    cut(cluster, "slow_answer", list(cluster.workers), 40.0)
    for number in range(20, 40):
        urgent = number % 3 == 0
        spec = cluster.job(number, volumes=3, precedence="prod" if urgent else "low", cards=1.0, imageGb=6.0)
        cluster.spawn(cluster.user(spec, run_s=10.0))
    await asyncio.sleep(20.0)
    return sum(job not in {j for j, _ in cluster.checker.present} for job in cluster.checker.accepted) > 3


async def requests_at_the_end_of_the_last_task(cluster, leader):
    """A question, a cancellation and a repeated submission, each around the moment of the end."""
    ended_jobs = []
    for number in range(50, 62):
        spec = cluster.job(number)
        cluster.spawn(cluster.user(spec, run_s=3.0))
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
                    cluster.spawn(cluster.user(cluster.specs[job], run_s=3.0))
    return len(ended_jobs) == 12


async def zone_cut_off(cluster, leader):
    """A zone with its workers and the leader; cancellations go through the others."""
    zone = cluster.nodes[leader].zone
    names = [name for name, worker in cluster.workers.items() if worker.zone == zone]
    for_s = cluster.limits["lease_s"] * 1.6
    cut(cluster, "outside", [zone], for_s)
    cluster.spawn(cluster.isolate(leader, for_s))
    await asyncio.sleep(6.0)
    new = await cluster.wait_for_leader()
    confirmed = await cluster.cancel("wk-000003", new)
    await asyncio.sleep(for_s)
    return confirmed and new != leader and bool(names)


async def held_up_commands(cluster, leader):
    names = on_machines(cluster, "wk-000004") + on_machines(cluster, "wk-000000")
    cut(cluster, "slow_answer", names, 30.0)
    await asyncio.sleep(2.0)
    for name in names:
        cluster.workers[name].hung_until = cluster.now() + 6.0
    await cluster.cancel("wk-000004")
    await cluster.crash([leader], 0.3)
    await asyncio.sleep(30.0)
    return bool(names)


async def ten_leaders(cluster, leader):
    terms = set()
    for step in range(12):
        if step == 5:
            cluster.spawn(cluster.outage(15.0))
        name = (cluster.leaders() or sorted(cluster.nodes))[0]
        await cluster.crash([name], 0.3 if step % 2 else 4.0)
        await asyncio.sleep(6.0)
        terms |= {sim.node.leadership.term for sim in cluster.nodes.values()}
        if step == 3:
            cluster.spawn(cluster.cancel_until_confirmed("wk-000004"))
    return len(terms - {0}) >= 10  # none is taken while the service is out


async def report_held_until_a_new_leader_acted(cluster, leader):
    names = on_machines(cluster, "wk-000006") + on_machines(cluster, "wk-000002")
    held = {name: newest(cluster, name) for name in names}
    cluster.spawn(cluster.cancel_until_confirmed("wk-000006"))
    await cluster.crash([leader], 4.0)
    new = await cluster.wait_for_leader()
    await asyncio.sleep(8.0)
    coincided = all(cbor2.loads(body)["warrant"] < cluster.nodes[new].node.leadership.term for body in held.values())
    for body in held.values():
        cluster.deliver_late_heartbeat(new, body)
        cluster.deliver_late_heartbeat(others(cluster, new)[0], body)
    return coincided


async def machines_unreachable_outbound(cluster, leader):
    names = sorted({name for job in ("wk-000000", "wk-000004", "wk-000006") for name in on_machines(cluster, job)})
    cut(cluster, "unreachable_outbound", names, 30.0)
    confirmed = await cluster.cancel("wk-000004")
    await asyncio.sleep(30.0)
    return confirmed and bool(names)


async def cancelled_while_machines_hang(cluster, leader, how_many=3):
    """Within the lease and beyond cancel_s, several at once, so that they look like a correlated outage."""
    names = sorted({name for (_, _), places in cluster.checker.present.items() for name, _ in places})[:how_many]
    jobs = {job for (job, _), places in cluster.checker.present.items() if set(dict(places)) & set(names)}
    for number, name in enumerate(names):
        cluster.workers[name].hung_until = cluster.now() + (8.0 if number % 2 else cluster.limits["cancel_s"] * 2)
    confirmed = [await cluster.cancel(job) for job in sorted(jobs)]
    await asyncio.sleep(cluster.limits["cancel_s"] * 1.2)
    return all(confirmed) and bool(confirmed)


async def most_machines_hang(cluster, leader):
    return await cancelled_while_machines_hang(cluster, leader, 7)


async def odd_requests(cluster, leader):
    cluster.spawn(cluster.refuse(leader, 10.0))
    good = cluster.job(70)
    bad = [
        ({**good, "desk": "nobody"}, 422),
        ({**good, "cards": 4.0}, 422),
        ({**good, "bindings": []}, 422),
        ({**good, "branch": "nowhere"}, 422),
        ({**good, "format": "group", "volumes": 9, "cards": 1.0}, 422),
        *(({key: value for key, value in good.items() if key != missing}, 400) for missing in REQUIRED),
    ]
    cluster.impossible = {good["ref"]}
    cluster.specs[good["ref"]] = good
    coincided = True
    for body, expected in bad:
        at = cluster.now()
        status, answer = await cluster.ask("POST", "/v2/runs", cbor2.dumps(body), 5.0)
        cluster.checker.answered(good["ref"], at, status, answer)
        coincided = coincided and status in (expected, 0)
    for number in range(9):
        at, job = cluster.now(), f"wk-{number:06d}"
        status, answer = await cluster.ask("POST", "/v2/runs", cbor2.dumps(cluster.specs[job]), 5.0)
        cluster.checker.answered(job, at, status, answer, submission=True)
    return coincided


REQUIRED = (
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
    leader_ends_while_machines_are_cut,
    machines_unreachable_from_the_new_leader,
    failover_and_back,
    tasks_end_far_apart,
    slow_state_then_refused_then_out,
    zone_bound_jobs_lose_machines,
    old_reports_after_newer_ones,
    isolated_leader,
    limit_and_a_new_leader,
    late_transactions,
    more_work_than_capacity,
    requests_at_the_end_of_the_last_task,
    zone_cut_off,
    held_up_commands,
    ten_leaders,
    report_held_until_a_new_leader_acted,
    machines_unreachable_outbound,
    cancelled_while_machines_hang,
    most_machines_hang,
    odd_requests,
]


async def run_scenario(scenario, seed, zones):
    cluster = SimulatedCluster(seed, zones=zones, machines=9, limit=8.0, capacity=(8, 4))
    cluster.checker.watch_waits = True
    cluster.disrupted_until = 1e9
    started_work(cluster)
    await asyncio.sleep(20.0)
    coincided = await scenario(cluster, await cluster.wait_for_leader())
    cluster.disrupted_until = cluster.now() + 10.0
    await asyncio.sleep(130.0)
    return cluster, coincided
