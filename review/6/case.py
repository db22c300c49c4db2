"""After the loss of one machine a gang that has to be spread starts with more than half of its tasks in one zone."""

import asyncio

from standins import Cluster, NotRunError, main, now

ZONES = ["leicester-dc", "loughborough-lab"]
TASKS = 4
BOOT_S = 36.0  # 0.6 times bootS
LOSS_AFTER_S = 8.0


async def case(folder, record, trouble):
    cluster = Cluster(
        folder,
        record,
        zones=ZONES,
        node_zones=[ZONES[0], ZONES[1], ZONES[0]],
        teams=[{"name": "membership-ops-00", "cpus": 0.0, "cpus_max": 0.0, "gpus": 12.0, "gpus_max": 18.0}],
        workers={"report_s": 1.0, "lease_s": 11.0, "gang_wait_s": 30.0, "gang_peer_s": 6.0, "cancel_s": 31.0},
        state={"rps": 60.0, "write_rps": 15.0, "value_kb": 4.0, "txn_ops": 12},
        cloud={"rps": 6.0, "list_lag_s": 4.0},
        machine_type={
            "sku": "turnstile-box", "cores": 12.0, "cards": 2.0, "ramGb": 72.0, "localGb": 120.0, "fetchGbPerS": 2.0,
            "price": 5.93, "spotPrice": 2.1, "bootS": 60.0, "branches": ZONES,
        },
        seed=None,
    )  # fmt: skip
    violations, on = [], {}  # on: (job, index) -> zone
    cluster.cloud.capacity = {(zone, False): 4 for zone in ZONES}
    cluster.cloud.boot_s = lambda name: BOOT_S
    cluster.cloud.on_delete = lambda node, name: record(name, "is deleted")

    def on_start(worker, task):
        record("task", *task.key, "has its image on", worker.name, "in", worker.zone)
        others = [zone for key, zone in on.items() if key[0] == task.key[0] and key[1] != task.key[1]]
        on[task.key[:2]] = worker.zone
        limit = (task.spec["volumes"] + 1) // 2
        if task.spec["spread"] and others.count(worker.zone) + 1 > limit:
            violations.append(
                f"wrong_place: task {task.key} starts in {worker.zone} beside {others.count(worker.zone)} other tasks "
                f"of the job there; at most {limit} of {task.spec['volumes']} may be in one zone"
            )

    def on_end(worker, task, why, detail):
        record("task", *task.key, "ended on", worker.name, why, detail)
        on.pop(task.key[:2], None)

    cluster.on_start, cluster.on_end = on_start, on_end
    await cluster.serve()
    for zone in ZONES * (TASKS // 2):
        cluster.cloud.add(zone, False, 0.1)
    try:
        for name in cluster.names:
            await cluster.start(name)
        await cluster.wait_ready()
        await asyncio.sleep(5.0)  # all workers have reported to the leader
        spec = cluster.job(
            1, shelfmark="fraud-train", desk="membership-ops-00", format="group", precedence="high", volumes=TASKS,
            cores=10.0, cards=2.0, ramGb=58.0, edition="img-fraud", imageGb=6.0, spread=True, bookmarkS=30.0, shelveS=4.0,
        )  # fmt: skip
        status, answer = await cluster.submit(spec)
        record(spec["ref"], "submitted:", status, answer)
        end = now() + 30.0
        while len(on) < TASKS and now() < end:
            await asyncio.sleep(0.2)
        if len(on) < TASKS:
            raise NotRunError("the gang did not start")
        await asyncio.sleep(LOSS_AFTER_S)
        if trouble:
            name = next(name for name, worker in cluster.workers.items() if worker.zone == ZONES[1])
            record(name, "in", ZONES[1], "stops with all that is on it")
            cluster.machine_gone(name)
            asyncio.get_running_loop().call_later(
                30.0, lambda: name in cluster.cloud.machines and cluster.cloud.machines[name].update(status="failed")
            )
        end = now() + 75.0
        while now() < end and not violations:
            await asyncio.sleep(0.5)
        await asyncio.sleep(1.0)
    finally:
        await cluster.kill_all()
    return violations


main(case)
