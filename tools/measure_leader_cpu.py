"""Measure the processor time of the leader in a large simulated deployment.

Usage: python tools/measure_leader_cpu.py [--machines N] [--seconds S].

Not a test: the figures depend on this machine. They cover the leader's own work, not the simulation around it.
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

CALL_TIMES: dict[str, list[float]] = {}
PROFILE = cProfile.Profile()


def record_call_times(owner, name):
    """Wrap a method to record the duration of each call."""
    original = getattr(owner, name)

    def wrapper(*args, **kwargs):
        started_at = time.perf_counter()
        try:
            return original(*args, **kwargs)
        finally:
            CALL_TIMES.setdefault(f"{owner.__name__}.{name}", []).append(time.perf_counter() - started_at)

    setattr(owner, name, wrapper)


def profile_calls(owner, name):
    """Wrap a method to profile its calls only, without the simulated cluster around it."""
    original = getattr(owner, name)

    def wrapper(*args, **kwargs):
        PROFILE.enable()
        try:
            return original(*args, **kwargs)
        finally:
            PROFILE.disable()

    setattr(owner, name, wrapper)


def large_job(cluster, number):
    """Return the spec of a random gang of full machines, wide array or service; together they exceed the capacity."""
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


async def run_cluster(machines, duration_s, admission):
    """Run the cluster: a quarter of the machines and a sixth of the jobs at the start, the other jobs over time."""
    cluster = SimulatedCluster(
        1,
        machines=machines // 4,
        teams=10,
        guarantee=machines / 8.0,
        quota=machines * 0.8,
        capacity=(machines // 4, machines // 12),
        limits={"report_s": 2.5, "lease_s": 15.0},
        admission=admission,
    )
    count = int(machines * duration_s / 450)
    for number in range(count):
        spec = large_job(cluster, number)
        cancel_after_s = duration_s if spec["format"] == "service" else None
        submit_at = 0.0 if number < count / 6 else cluster.rng.uniform(0.0, duration_s * 0.9)
        run_s = cluster.rng.uniform(30.0, 150.0)
        asyncio.get_running_loop().call_later(
            submit_at, lambda s=spec, c=cancel_after_s, r=run_s: cluster.spawn(cluster.simulate_user(s, r, c))
        )
    await asyncio.sleep(duration_s)
    return cluster


def measure():
    """Run the simulation and print the duration of the leader's calls."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--machines", type=int, default=120)
    parser.add_argument("--seconds", type=float, default=120.0)
    parser.add_argument("--profile", action="store_true")
    parser.add_argument("--admission", action="store_true", help="enable fair admission and measure it too")
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
            record_call_times(owner, name)
    if options.profile:
        for owner, name in ((HeartbeatEndpoint, "handle"), (EvaluationLoop, "evaluate")):
            profile_calls(owner, name)
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
            record_call_times(owner, name)
    admission = AdmissionSettings() if options.admission else None
    cluster = virtual_time.run(run_cluster(options.machines, options.seconds, admission))
    print(
        f"machines {len(cluster.workers)}, starts {cluster.checker.starts}, violations {cluster.checker.violations}"
    )
    for method, times in CALL_TIMES.items():
        total = sum(times)
        print(
            f"{method:20} {len(times):7} calls {total:7.2f} s {1e3 * total / len(times):8.3f} ms each,"
            f" longest {1e3 * max(times):6.1f} ms, {100 * total / options.seconds:5.1f} % of a core"
        )
    if options.profile:
        pstats.Stats(PROFILE).sort_stats("tottime").print_stats(40)


if __name__ == "__main__":
    measure()
