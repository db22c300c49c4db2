"""Processor time of one leader in a large simulated deployment: python tests/scale.py [SECONDS].

Not a test: it measures this machine's time. The figures are of the leader's own work in the simulated world.
"""

import asyncio
import cProfile
import pstats
import sys
import time
from pathlib import Path

sys.path[:0] = [str(Path(__file__).parent), str(Path(__file__).parents[1] / "src")]

from passrock.controller.node import Node  # noqa: E402
from passrock.controller.term import Term  # noqa: E402
from passrock.core.placement import Placer  # noqa: E402
from standins import virtual_loop  # noqa: E402
from standins.world import World  # noqa: E402

SPENT: dict[str, list[float]] = {}


def timed(owner, name):
    """Measure the calls of a method."""
    inner = getattr(owner, name)

    def outer(*args, **kwargs):
        began = time.perf_counter()
        try:
            return inner(*args, **kwargs)
        finally:
            SPENT.setdefault(f"{owner.__name__}.{name}", []).append(time.perf_counter() - began)

    setattr(owner, name, outer)


def large_job(world, number):
    """Gangs of whole machines, wide arrays and replicas, more than there is room for."""
    rng = world.rng
    kind = rng.choices(["batch", "group", "service"], [2, 6, 1])[0]
    fields = {"format": kind, "edition": f"img-{rng.randint(0, 40)}", "imageGb": 6.0, "loaners": kind != "service"}
    if kind == "batch":
        fields.update(volumes=rng.randint(5, 60), bookmarkS=10.0, shelveS=4.0)
    elif kind == "group":
        size = rng.choice([1, 2, 4, 8, 16])
        fields.update(volumes=size, samePlace=True, precedence="high", cards=2.0, cores=14.0, ramGb=50.0)
    else:
        fields.update(volumes=rng.choice([2, 4, 8]), spread=True, precedence="prod", loanS=0.0)
    return world.job(number, desk=f"t{number % world.teams}", **fields)


async def main(duration):
    world = World(1, machines=60, teams=10, guarantee=30.0, limit=200.0, capacity=(55, 16))
    for number in range(int(duration / 3.0)):
        spec = large_job(world, number)
        cancel = duration if spec["format"] == "service" else None
        at = world.rng.uniform(0.0, duration * 0.8)
        run_s = world.rng.uniform(30.0, 150.0)
        asyncio.get_running_loop().call_later(at, lambda s=spec, c=cancel, r=run_s: world.spawn(world.user(s, r, c)))
    await asyncio.sleep(duration)
    return world


if __name__ == "__main__":
    seconds = float(sys.argv[1]) if len(sys.argv) > 1 else 200.0
    for owner, name in ((Node, "_checkin"), (Term, "checkin"), (Term, "tick"), (Term, "_rent"), (Placer, "run")):
        timed(owner, name)
    profile = cProfile.Profile()
    if "--profile" in sys.argv:
        profile.enable()
    done = virtual_loop.run(main(seconds))
    profile.disable()
    print(f"machines {len(done.workers)}, starts {done.checker.starts}, broken {done.checker.broken}")
    for what, times in SPENT.items():
        total = sum(times)
        print(
            f"{what:16} {len(times):7} calls {total:7.2f} s {1e3 * total / len(times):8.3f} ms each,"
            f" longest {1e3 * max(times):6.1f} ms, {100 * total / seconds:5.1f} % of a core"
        )
    if "--profile" in sys.argv:
        pstats.Stats(profile).sort_stats("tottime").print_stats(35)
