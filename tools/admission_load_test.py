"""A long flood on loopback: python tools/admission_load_test.py [--off] [--minutes M] [--rate R] [--seed S].

Not a test: it measures in real time. Three controller processes, stand-ins for key-value store, cloud and workers, a
flood of batch submissions, interactive ones, and a class of low priority; the leader is killed every few minutes.
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
    longest_gap,
    note_starts,
)
from standins.loopback_cluster import LoopbackCluster  # noqa: E402

WINDOW_S = 600.0
FLOWS = (  # first number, class, submissions a second (None: the flood's rate), seconds a task runs, what is asked
    (900_000, "look", 0.5, 10.0, {"precedence": "prod"}),
    (100_000, "batch", None, 8.0, {"precedence": "high"}),
    (800_000, "low", 0.05, 8.0, {"precedence": "low"}),
    (850_000, "gang", 0.02, 8.0, {"precedence": "low", "format": "group", "volumes": 4, "cards": 2.0}),
)


async def flood(options, folder):
    """Play it; the cluster, the checker, starts by class, and when the flood began and ended."""
    cluster = LoopbackCluster(options.seed, zones=("a",), machines=8, objectives=OBJECTIVES, capacity=(0, 0))
    cluster.operator = [] if options.off else [ROOT / "deploy" / "admission.hcl"]
    checker, starts = AdmissionChecker(cluster), note_starts(cluster)
    await cluster.serve(folder)
    for name in cluster.nodes:
        await cluster.start(name)
    await asyncio.sleep(15.0)
    begin, for_s = cluster.now(), options.minutes * 60.0
    for first, name, rate, run_s, fields in FLOWS:
        one = SubmissionLoad(cluster, checker, first, shelfmark=name, **fields)
        cluster.spawn(one.run(rate or options.rate, for_s, run_s=run_s))
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
    """Play it and print what was admitted and started."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--off", action="store_true")
    parser.add_argument("--minutes", type=float, default=11.0)
    parser.add_argument("--rate", type=float, default=60.0)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        cluster, checker, starts, begin, end = asyncio.run(flood(options, Path(folder)))
    print(
        f"admission {'off' if options.off else 'on'}, {end - begin:.0f} s, {len(checker.accepted_at)} jobs accepted"
    )
    print(f"rules broken: {cluster.checker.violations}; of admission: {checker.verify()}")
    print("class   asked  admitted  gave up  wait p50/p99/max s       starts  longest time without a start s")
    for first, name, *_ in FLOWS:
        prefix = f"wk-{first}"[:6] if name in ("low", "gang") else f"wk-{first}"[:4]
        waits = sorted(checker.waits(prefix))
        got = [wait for wait in waits if wait < float("inf")]
        gave_up = sum(job.startswith(prefix) for job in checker.given_up)
        at = [got[int(len(got) * part)] if got else float("nan") for part in (0.5, 0.99)] + [max(got, default=0.0)]
        times = starts.get(name, [])
        print(
            f"{name:7} {len(waits):5} {len(got):9} {gave_up:8}  {at[0]:7.2f} {at[1]:7.2f} {at[2]:7.2f}"
            f" {len(times):12}  {longest_gap(times, begin, end):7.1f}"
        )


if __name__ == "__main__":
    measure()
