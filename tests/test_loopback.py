"""The real process over stand-ins on loopback: submit, run, done, kill -9, restart, still done."""

import asyncio

from standins.loopback import LoopbackWorld

PATIENCE_S = 60.0  # far above what it takes; only a failure comes near it


async def story(folder):
    world = LoopbackWorld(5, zones=("a",), node_count=1, machines=2)
    await world.serve(folder)
    await world.start()
    try:
        async with asyncio.timeout(PATIENCE_S):
            first = world.job(1, volumes=2)
            gang = world.job(2, format="group", volumes=2)
            world.spawn(world.user(gang, run_s=0.5))
            world.spawn(world.user(first, run_s=0.5))
            while world.done_users < 2:
                await asyncio.sleep(0.1)
            await world.kill()
            await world.start()
            asked = world.now()
            status, answer = 0, {}
            while status != 200:
                await asyncio.sleep(0.1)
                asked = world.now()
                status, answer = await world.ask("GET", f"/v2/runs/{first['ref']}")
                assert status != 404
            world.checker.answered(first["ref"], asked, status, answer)
            assert answer["status"] == "done"
            world.spawn(world.user(world.job(3), run_s=0.5))
            while world.done_users < 3:
                await asyncio.sleep(0.1)
            unknown, _ = await world.ask("GET", "/v2/runs/wk-999999")
            assert unknown == 404
    finally:
        await world.kill()
    return world.checker


def test_story(tmp_path):
    checker = asyncio.run(story(tmp_path))
    assert checker.broken == []
    assert checker.starts == 5
