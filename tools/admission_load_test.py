"""Overload fair admission on loopback.

Usage: python tools/admission_load_test.py [--off] [--minutes M] [--rate R] [--seed S].

Not a test: it measures in real time. Three controller processes run with stand-ins for the key-value store, the cloud
and the workers. Users submit more batch jobs than can be admitted, some interactive jobs, and some of low priority.
The leader is killed every three minutes.
"""

import argparse
import asyncio
import sys
import tempfile
from pathlib import Path

ROOT = Path(__file__).parents[1]
sys.path[:0] = [str(ROOT / "tests"), str(ROOT / "src")]

from standins.admission_load import (  # noqa: E402
    OBJECTIVES,
    AdmissionChecker,
    SubmissionLoad,
    longest_gap_s,
    record_starts,
)
from standins.loopback_cluster import LoopbackCluster  # noqa: E402

WINDOW_S = 600.0
# first job number, job class, submissions per second (None: --rate), run time of a task in seconds, fields of the job
FLOWS = (
    (900_000, "look", 0.5, 10.0, {"precedence": "prod"}),
    (100_000, "batch", None, 8.0, {"precedence": "high"}),
    (800_000, "low", 0.05, 8.0, {"precedence": "low"}),
    (850_000, "gang", 0.02, 8.0, {"precedence": "low", "format": "group", "volumes": 4, "cards": 2.0}),
)


async def run_load(options, folder):
    """Run the load; return the cluster, the checker, starts by class, and the begin and end of the load."""
    cluster = LoopbackCluster(options.seed, zones=("a",), machines=8, objectives=OBJECTIVES, capacity=(0, 0))
    cluster.operator_files = [] if options.off else [ROOT / "deploy" / "admission.hcl"]
    checker, starts = AdmissionChecker(cluster), record_starts(cluster)
    await cluster.serve(folder)
    for name in cluster.nodes:
        await cluster.start(name)
    await asyncio.sleep(15.0)
    begin, for_s = cluster.now(), options.minutes * 60.0
    for first, name, rate, run_s, fields in FLOWS:
        load = SubmissionLoad(cluster, checker, first, shelfmark=name, **fields)
        cluster.spawn(load.run(rate or options.rate, for_s, run_s=run_s))
    while cluster.now() - begin < for_s:
        await asyncio.sleep(min(180.0, for_s))
        entry = cluster.store.data.get("p/lead")
        if entry is not None:
            await cluster.kill(entry[0]["node"])
            await asyncio.sleep(3.0)
            await cluster.start(entry[0]["node"])
    end = cluster.now()
    for name in cluster.processes:
        await cluster.kill(name)
    return cluster, checker, starts, begin, end


def measure():
    """Run the load and print what was admitted and started."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--off", action="store_true")
    parser.add_argument("--minutes", type=float, default=11.0)
    parser.add_argument("--rate", type=float, default=60.0)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        cluster, checker, starts, begin, end = asyncio.run(run_load(options, Path(folder)))
    print(
        f"admission {'off' if options.off else 'on'}, {end - begin:.0f} s, {len(checker.accepted_at)} jobs accepted"
    )
    print(f"rules violated: {cluster.checker.violations}; of admission: {checker.verify()}")
    print("class   asked  admitted  gave up  wait p50/p99/max s       starts  longest time without a start s")
    for first, name, *_ in FLOWS:
        prefix = f"wk-{first}"[:6] if name in ("low", "gang") else f"wk-{first}"[:4]
        waits = sorted(checker.admission_waits_s(prefix))
        admitted = [wait for wait in waits if wait < float("inf")]
        gave_up = sum(job.startswith(prefix) for job in checker.abandoned)
        quantiles = [
            admitted[int(len(admitted) * fraction)] if admitted else float("nan") for fraction in (0.5, 0.99)
        ] + [max(admitted, default=0.0)]
        times = starts.get(name, [])
        print(
            f"{name:7} {len(waits):5} {len(admitted):9} {gave_up:8}  "
            f"{quantiles[0]:7.2f} {quantiles[1]:7.2f} {quantiles[2]:7.2f}"
            f" {len(times):12}  {longest_gap_s(times, begin, end):7.1f}"
        )


if __name__ == "__main__":
    measure()
