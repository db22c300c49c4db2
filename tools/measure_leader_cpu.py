"""Processor time of one leader in a large simulated deployment.

Usage: python tools/measure_leader_cpu.py [--machines N] [--seconds S].

Not a test: it measures this machine's time. The figures are of the leader's own work in the simulated cluster.
"""

import argparse
import asyncio
import cProfile
import pstats
import sys
import time
from pathlib import Path

ROOT = Path(__file__).parents[1]
sys.path[:0] = [str(ROOT / "tests"), str(ROOT / "src")]

from passrock.admission.controller.allocator import SlotAllocator  # noqa: E402
from passrock.admission.controller.control import AdmissionControl  # noqa: E402
from passrock.admission.controller.dispatch import DispatchPrioritizer  # noqa: E402
from passrock.admission.settings import AdmissionSettings  # noqa: E402
from passrock.controller.autoscaler import Autoscaler  # noqa: E402
from passrock.controller.binding_rounds import BindingRounds  # noqa: E402
from passrock.controller.evaluation_loop import EvaluationLoop  # noqa: E402
from passrock.controller.failure_detector import FailureDetector  # noqa: E402
from passrock.controller.heartbeat_endpoint import HeartbeatEndpoint  # noqa: E402
from passrock.controller.heartbeat_handler import HeartbeatHandler  # noqa: E402
from passrock.core.scheduler import Scheduler  # noqa: E402
from standins import virtual_time  # noqa: E402
from standins.simulated_cluster import SimulatedCluster  # noqa: E402

SPENT: dict[str, list[float]] = {}
PROFILE = cProfile.Profile()


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


def profiled(owner, name):
    """Profile the calls of a method, and nothing of the simulated cluster round it."""
    inner = getattr(owner, name)

    def outer(*args, **kwargs):
        PROFILE.enable()
        try:
            return inner(*args, **kwargs)
        finally:
            PROFILE.disable()

    setattr(owner, name, outer)


def large_job(cluster, number):
    """Gangs of full machines, wide arrays and replicas, more than there is capacity for."""
    rng = cluster.rng
    kind = rng.choices(["batch", "group", "service"], [2, 6, 1])[0]
    fields = {"format": kind, "edition": f"img-{rng.randint(0, 40)}", "imageGb": 6.0, "loaners": kind != "service"}
    if kind == "batch":
        fields.update(volumes=rng.randint(5, 60), bookmarkS=10.0, shelveS=4.0)
    elif kind == "group":
        size = rng.choice([1, 2, 4, 8, 16])
        fields.update(volumes=size, samePlace=True, precedence="high", cards=2.0, cores=14.0, ramGb=50.0)
    else:
        fields.update(volumes=rng.choice([2, 4, 8]), spread=True, precedence="prod", loanS=0.0)
    return cluster.job(number, desk=f"t{number % cluster.teams}", **fields)


async def main(machines, duration, admission):
    """A quarter of the machines is up at the start; a sixth of the jobs is submitted then, the rest over time."""
    cluster = SimulatedCluster(
        1,
        machines=machines // 4,
        teams=10,
        guarantee=machines / 8.0,
        limit=machines * 0.8,
        capacity=(machines // 4, machines // 12),
        limits={"report_s": 2.5, "lease_s": 15.0},
        admission=admission,
    )
    count = int(machines * duration / 450)
    for number in range(count):
        spec = large_job(cluster, number)
        cancel = duration if spec["format"] == "service" else None
        at = 0.0 if number < count / 6 else cluster.rng.uniform(0.0, duration * 0.9)
        run_s = cluster.rng.uniform(30.0, 150.0)
        asyncio.get_running_loop().call_later(
            at, lambda s=spec, c=cancel, r=run_s: cluster.spawn(cluster.user(s, r, c))
        )
    await asyncio.sleep(duration)
    return cluster


def measure():
    """Play it and print what the leader's calls took."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--machines", type=int, default=120)
    parser.add_argument("--seconds", type=float, default=120.0)
    parser.add_argument("--profile", action="store_true")
    parser.add_argument("--admission", action="store_true", help="with fair admission, and what it costs")
    options = parser.parse_args()
    if options.admission:
        for owner, name in (
            (AdmissionControl, "decide"),
            (AdmissionControl, "encode_message"),
            (AdmissionControl, "receive_message"),
            (SlotAllocator, "_allocate"),
            (SlotAllocator, "_encode_pages"),
            (DispatchPrioritizer, "on_pass_completed"),
        ):
            timed(owner, name)
    if options.profile:
        for owner, name in ((HeartbeatEndpoint, "handle"), (EvaluationLoop, "evaluate")):
            profiled(owner, name)
    for owner, names in (
        (HeartbeatEndpoint, ("handle",)),
        (HeartbeatHandler, ("handle",)),
        (EvaluationLoop, ("evaluate", "_preempt")),
        (Autoscaler, ("adjust",)),
        (BindingRounds, ("_run",)),
        (Scheduler, ("run",)),
        (FailureDetector, ("evaluate",)),
    ):
        for name in names:
            timed(owner, name)
    admission = AdmissionSettings() if options.admission else None
    done = virtual_time.run(main(options.machines, options.seconds, admission))
    print(f"machines {len(done.workers)}, starts {done.checker.starts}, broken {done.checker.broken}")
    for what, times in SPENT.items():
        total = sum(times)
        print(
            f"{what:20} {len(times):7} calls {total:7.2f} s {1e3 * total / len(times):8.3f} ms each,"
            f" longest {1e3 * max(times):6.1f} ms, {100 * total / options.seconds:5.1f} % of a core"
        )
    if options.profile:
        pstats.Stats(PROFILE).sort_stats("tottime").print_stats(40)


if __name__ == "__main__":
    measure()
