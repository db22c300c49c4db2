"""A real controller process with stand-in services on loopback: finished jobs survive kill -9 and a restart."""

import asyncio

from standins.loopback_cluster import LoopbackCluster

TIMEOUT_S = 60.0  # far above the usual duration, so that only a failure reaches it


async def run_jobs_across_a_restart(directory):
    cluster = LoopbackCluster(5, zones=("a",), node_count=1, machines=2)
    await cluster.serve(directory)
    await cluster.start()
    try:
        async with asyncio.timeout(TIMEOUT_S):
            array_job = cluster.job(1, volumes=2)
            gang_job = cluster.job(2, format="group", volumes=2)
            cluster.spawn(cluster.simulate_user(gang_job, run_s=0.5))
            cluster.spawn(cluster.simulate_user(array_job, run_s=0.5))
            while cluster.done_users < 2:
                await asyncio.sleep(0.1)
            await cluster.kill()
            await cluster.start()
            sent_at = cluster.now()
            status, answer = 0, {}
            while status != 200:
                await asyncio.sleep(0.1)
                sent_at = cluster.now()
                status, answer = await cluster.request("GET", f"/v2/runs/{array_job['ref']}")
                assert status != 404
            cluster.checker.on_answer(array_job["ref"], sent_at, status, answer)
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
