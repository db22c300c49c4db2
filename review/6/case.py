"""A controller that has just been restarted calls a job running or queued that its user was told is cancelled."""

import asyncio

from standins import Cluster, NotRunError, call, main, now

MACHINES, JOBS = 25, 300
BURSTS, JOBS_PER_BURST, BURST_EVERY_S, BURST_S = 10, 30, 8.0, 0.2  # users call off 30 jobs within a fifth of a second
RESTART_AFTER_S = 0.7  # after the begin of a burst; the two nodes that don't lead, by turns
ASK_EVERY_S, ASK_FOR_S = 0.03, 3.0
START_LIMIT_S = 28.0


class LoadBalancer:
    """The load balancer's probes: which nodes it considers healthy."""

    def __init__(self, cluster):
        self.cluster = cluster
        self.healthy = dict.fromkeys(cluster.names, True)

    async def probe(self, name):
        failures, in_a_row, successes, pause_s, removed_at = [], 0, 0, 3.0, -1e9
        while True:
            started_at = now()
            status, _ = await call(self.cluster.ports[name], "GET", "/up", timeout=1.0)
            failed = status != 200
            failures = [*failures[-5:], failed]
            in_a_row, successes = (in_a_row + 1, 0) if failed else (0, successes + 1)
            if self.healthy[name] and (in_a_row >= 2 or sum(failures) >= 3):
                pause_s = min(60.0, pause_s * 2) if now() - removed_at < 120.0 else 3.0
                self.healthy[name], removed_at, successes, failures = False, now(), 0, []
                self.cluster.record("load balancer:", name, "is unhealthy")
            elif not self.healthy[name] and successes >= 2 and now() - removed_at >= pause_s:
                self.healthy[name], failures = True, []
                self.cluster.record("load balancer:", name, "is healthy again")
            await asyncio.sleep(max(0.05, 1.0 - (now() - started_at)))


async def case(folder, record, trouble):
    cluster = Cluster(
        folder,
        record,
        zones=["city-hall-dc"],
        node_zones=["city-hall-dc"] * 3,
        teams=[
            {"name": f"catalogue-unit-{n:02d}", "cpus": 0.0, "cpus_max": 0.0, "gpus": 12.0, "gpus_max": 36.0}
            for n in range(12)
        ],
        workers={"report_s": 1.5, "lease_s": 14.0, "gang_wait_s": 30.0, "gang_peer_s": 6.0, "cancel_s": 44.0},
        state={"rps": 200.0, "write_rps": 80.0, "value_kb": 16.0, "txn_ops": 24},
        cloud={"rps": 5.0, "list_lag_s": 6.0},
        machine_type={
            "sku": "stack-node", "cores": 16.0, "cards": 2.0, "ramGb": 64.0, "localGb": 100.0, "fetchGbPerS": 1.0,
            "price": 5.66, "spotPrice": 1.19, "bootS": 25.0, "branches": ["city-hall-dc"],
        },
        seed=1,
        slow_share=0.05,
    )  # fmt: skip
    violations = []
    answers = {}
    await cluster.serve()
    for _ in range(MACHINES):
        cluster.cloud.add("city-hall-dc", False, 0.1)
    try:
        for name in cluster.names:
            await cluster.start(name)
        leader = await cluster.wait_ready()
        started_at = now()
        running = set()
        cluster.on_start = lambda worker, task: running.add(task.key[0])
        cluster.on_end = lambda worker, task, why, detail: running.discard(task.key[0])
        specs = [
            cluster.job(n, desk=f"catalogue-unit-{n % 12:02d}", precedence="low", cores=1.0, ramGb=3.2)
            for n in range(JOBS)
        ]
        balancer = LoadBalancer(cluster)
        for name in cluster.names:
            cluster.spawn(balancer.probe(name))

        async def submit_some(some):
            for spec in some:
                await cluster.submit(spec)

        await asyncio.gather(*(submit_some(specs[n::20]) for n in range(20)))
        record("accepted", JOBS, "jobs")
        while len(running) < JOBS * 0.9 and now() - started_at < START_LIMIT_S:
            await asyncio.sleep(0.2)
        record("tasks that run:", len(running))
        if len(running) < JOBS * 0.5:
            raise NotRunError("too few tasks run")
        leader = cluster.leader()
        others = [name for name in cluster.names if name != leader]
        record("the leader is", leader)

        async def ask(job, told_at, node):
            """Ask one node through the load balancer, again and again."""
            while now() - told_at < ASK_FOR_S:
                if balancer.healthy[node]:
                    asked_at = now()
                    status, body = await call(cluster.ports[node], "GET", f"/v2/runs/{job}", timeout=2.0)
                    answer = body.get("status", status)
                    answers[answer] = answers.get(answer, 0) + 1
                    if (status == 200 and answer != "cancelled") or status == 404:
                        text = (
                            f"{job}: told cancelled at {told_at - record.started_at:.3f}, asked {node} at "
                            f"{asked_at - record.started_at:.3f}: {status} {body}"
                        )
                        record(text)
                        violations.append(text)
                await asyncio.sleep(ASK_EVERY_S)

        async def cancel(spec, delay_s, node):
            job = spec["ref"]
            await asyncio.sleep(delay_s)
            for _ in range(10):
                status, body = await call(cluster.ports[leader], "POST", f"/v2/runs/{job}/withdraw", timeout=5.0)
                if status == 200 and body["status"] == "cancelled":
                    record(job, "cancelled, answered by", leader)
                    await ask(job, now(), node)
                    return
                await asyncio.sleep(1.0)

        for burst in range(BURSTS):
            began_at = now()
            node = others[burst % 2]
            some = specs[burst * JOBS_PER_BURST : (burst + 1) * JOBS_PER_BURST]
            for number, spec in enumerate(some):
                cluster.spawn(cancel(spec, BURST_S * number / len(some), node))
            await asyncio.sleep(RESTART_AFTER_S)
            if trouble:
                await cluster.kill(node)
                await cluster.start(node)
                record(node, "killed and started again")
            await asyncio.sleep(began_at + BURST_EVERY_S - now())
        record("answers:", answers)
        for line in cluster.log_lines(["replica_loaded", "leadership_"]):
            record(line)
    finally:
        await cluster.kill_all()
    return violations


main(case)
