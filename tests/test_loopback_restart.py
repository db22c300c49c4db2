"""The real process over stand-ins on loopback: finished jobs survive kill -9 and a restart."""

import asyncio

from standins.loopback_cluster import LoopbackCluster

TIMEOUT_S = 60.0  # far above what it takes; only a failure comes near it


async def run_jobs_across_a_restart(folder):
    cluster = LoopbackCluster(5, zones=("a",), node_count=1, machines=2)
    await cluster.serve(folder)
    await cluster.start()
    try:
        async with asyncio.timeout(TIMEOUT_S):
            first = cluster.job(1, volumes=2)
            gang = cluster.job(2, format="group", volumes=2)
            cluster.spawn(cluster.simulate_user(gang, run_s=0.5))
            cluster.spawn(cluster.simulate_user(first, run_s=0.5))
            while cluster.done_users < 2:
                await asyncio.sleep(0.1)
            await cluster.kill()
            await cluster.start()
            asked = cluster.now()
            status, answer = 0, {}
            while status != 200:
                await asyncio.sleep(0.1)
                asked = cluster.now()
                status, answer = await cluster.request("GET", f"/v2/runs/{first['ref']}")
                assert status != 404
            cluster.checker.on_answer(first["ref"], asked, status, answer)
            assert answer["status"] == "done"
            cluster.spawn(cluster.simulate_user(cluster.job(3), run_s=0.5))
            while cluster.done_users < 3:
                await asyncio.sleep(0.1)
            unknown, _ = await cluster.request("GET", "/v2/runs/wk-999999")
            assert unknown == 404
    finally:
        await cluster.kill()
    return cluster.checker


def test_finished_jobs_survive_a_kill_and_restart_of_the_process(tmp_path):
    checker = asyncio.run(run_jobs_across_a_restart(tmp_path))
    assert checker.violations == []
    assert checker.starts == 5
