"""Three controller processes with admission on, stand-ins on loopback, and a flood of batch work."""

import asyncio

from passrock.cli import main
from standins.admission_load import OBJECTIVES, AdmissionChecker, SubmissionLoad, note_starts
from standins.loopback_cluster import ROOT, LoopbackCluster

TIMEOUT_S = 90.0  # far above what it takes; only a failure comes near it
BATCH, INTERACTIVE = 100_000, 900_000


async def flooded(folder):
    cluster = LoopbackCluster(6, zones=("a",), machines=4, objectives=OBJECTIVES)
    cluster.operator_files = [folder / "admission.hcl"]
    text = (ROOT / "deploy" / "admission.hcl").read_text().replace('log_dir = ""', f'log_dir = "{folder / "log"}"')
    cluster.operator_files[0].write_text(text.replace("slot_ratio = 4.0", "slot_ratio = 2.0"))
    checker, starts = AdmissionChecker(cluster), note_starts(cluster)
    await cluster.serve(folder)
    for name in cluster.nodes:
        await cluster.start(name)
    try:
        async with asyncio.timeout(TIMEOUT_S):
            while not checker.pages:
                await asyncio.sleep(0.2)
            batch = SubmissionLoad(cluster, checker, BATCH, shelfmark="batch", precedence="low")
            interactive = SubmissionLoad(cluster, checker, INTERACTIVE, shelfmark="look", precedence="prod")
            flood = cluster.spawn(batch.run(150.0, 12.0, run_s=0.5))
            await interactive.run(2.0, 12.0, run_s=0.5)
            await flood
            while any(job.startswith("wk-9") and job not in checker.got_in for job in checker.first_asked):
                await asyncio.sleep(0.2)
            while "look" not in starts or "batch" not in starts:
                await asyncio.sleep(0.2)
    finally:
        for name in cluster.processes:
            await cluster.kill(name)
    return cluster, checker


def test_a_flood_over_three_processes(tmp_path, capsys):
    cluster, checker = asyncio.run(flooded(tmp_path))
    assert checker.verify() == []
    assert cluster.checker.violations == []
    assert checker.unmarked == 0  # every job was admitted by a grant
    assert len({incarnation for _, incarnation in checker.admitted}) == 3  # at each controller
    asked = sum(job.startswith("wk-1") for job in checker.first_asked)
    assert 0 < sum(job.startswith("wk-1") for job in checker.accepted_at) < asked  # more than could be admitted
    # the processes were killed: the blocks that they had written are readable
    main(["admission", "report", str(tmp_path / "log")])
    capsys.readouterr()
