"""Settings, decision log and report of admission: faulty settings, and reading of damaged logs."""

import json
import sys
from pathlib import Path

import pytest

from passrock.admission.core.decision import Decision, FlowOutcome
from passrock.admission.io.decision_log import BLOCK_DECISIONS, MAX_FILES, DecisionLog, log_files
from passrock.admission.settings import AdmissionSettings
from passrock.cli import main
from passrock.settings import SettingsError, read_settings
from standins.deployment import platform_settings
from standins.loopback_cluster import ROOT, encode_toml


@pytest.fixture
def platform(tmp_path):
    path = tmp_path / "node.toml"
    path.write_text(encode_toml(platform_settings(0, 3, ("a", "b", "c"))))
    return path


def test_the_file_in_deploy_holds_the_defaults(platform):
    found = read_settings(platform, [ROOT / "deploy" / "passrock.hcl", ROOT / "deploy" / "admission.hcl"])
    assert found.admission == AdmissionSettings()
    assert read_settings(platform).admission is None


FAULTY = """
admission {
  slot_ratio = 0
  intake_share = "x"
  window_s = true
  log_dir = 5
  speed = 3
  interactive_share = 0.6
  burst_share = 0.4
  team_weights = { nobody = 1.0, t0 = 0 }
  class_weights = 7
}
"""


def test_faulty_settings_are_all_named(platform, tmp_path, capsys):
    path = tmp_path / "admission.hcl"
    path.write_text(FAULTY)
    with pytest.raises(SettingsError) as caught:
        read_settings(platform, [path])
    named = ("slot_ratio", "intake_share:", "window_s", "log_dir", "speed", "burst_share together")
    for name in (*named, "team_weights.nobody: no such team", "team_weights.t0", "class_weights"):
        assert any(name in fault for fault in caught.value.faults), name
    assert len(caught.value.faults) == 9
    assert main(["--operator", str(path), "check-config", str(platform)]) == 2
    assert capsys.readouterr().err.count("\n") == 9
    path.write_text("admission {}\nadmission {}\n")
    with pytest.raises(SettingsError, match="one block"):
        read_settings(platform, [path])


def decision(slot, term=2, **fields):
    low = FlowOutcome("t0", "low", 9, 2, 2, 5, 0, 4, 4.0 * slot, "others")
    look = FlowOutcome("t1", "look", 1, 1, 1, 0, 1, 0, 0.0, "")
    return Decision(
        **{"slot": slot, "at": 4.0 * slot, "term": term, "leader": "n1", "capacity": 5, **fields}, flows=(low, look)
    )


def write(directory, decisions, max_bytes=1_000_000, started_ms=1000):
    log = DecisionLog(str(directory), max_bytes, started_ms)
    for item in decisions:
        log.add(item)
    log.close()
    return log


def test_report_lists_admitted_refused_and_waiting(tmp_path, capsys):
    write(tmp_path / "one", [decision(slot) for slot in range(40)])
    write(tmp_path / "two", [decision(slot, term=3, leader="n2") for slot in range(30, 50)])
    both = [str(tmp_path / "one"), str(tmp_path / "two")]
    assert main(["admission", "report", *both, "--from", "40", "--to", "180", "--json"]) == 0
    report = json.loads(capsys.readouterr().out)
    assert (report["slots"], report["first"], report["last"], report["leaders"]) == (35, 40.0, 176.0, ["n1", "n2"])
    low, look = report["flows"]
    assert (low["admitted"], low["refused"], low["waiting_jobs"], low["longest_wait_s"]) == (70, 175, 4, 176.0)
    assert low["obstacles"] == {"others": 35}
    assert look["started"] == 35
    assert main(["admission", "report", both[0], "--to", "1970-01-01T00:00:00+00:00"]) == 0
    assert "no decisions" in capsys.readouterr().out
    assert main(["admission", "report", both[0]]) == 0
    assert "others (40 slots)" in capsys.readouterr().out
    assert main(["admission", "report", both[0], "--from", "yesterday"]) == 2


@pytest.mark.parametrize(
    ("damage", "readable"),
    [
        (lambda data: data[: len(data) * 2 // 3], 2 * BLOCK_DECISIONS),
        (lambda data: data[: len(data) * 2 // 3] + bytes(50) + data[len(data) * 2 // 3 + 50 :], 2 * BLOCK_DECISIONS),
        (lambda data: data[:20], 0),
        (lambda data: b"", 0),
        (lambda data: b"junk" * 100, 0),
    ],
)
def test_a_damaged_log_is_read_up_to_the_damage_and_reported(damage, readable, tmp_path, capsys):
    write(tmp_path, [decision(slot) for slot in range(3 * BLOCK_DECISIONS)])
    (path,) = log_files(str(tmp_path))
    Path(path).write_bytes(damage(Path(path).read_bytes()))
    assert main(["admission", "report", str(tmp_path), "--json"]) == 1
    out, err = capsys.readouterr()
    assert json.loads(out)["slots"] in (
        readable,
        readable - BLOCK_DECISIONS,
    )  # the cut may fall just after a block's sync marker
    assert path in err
    assert "unreadable after" in err


def test_a_changed_byte_is_noticed(tmp_path, capsys):
    write(tmp_path, [decision(slot) for slot in range(BLOCK_DECISIONS)])
    (path,) = log_files(str(tmp_path))
    data = Path(path).read_bytes()
    for at in range(len(data) // 2, len(data), 7):
        Path(path).write_bytes(data[:at] + bytes([data[at] ^ 0x15]) + data[at + 1 :])
        code = main(["admission", "report", path, "--json"])
        report = json.loads(capsys.readouterr().out)
        assert (
            code == 1 or report["slots"] == BLOCK_DECISIONS
        )  # only a change in the last sync marker loses no decision


@pytest.mark.parametrize("missing", ["nowhere", "empty"])
def test_a_missing_log(missing, tmp_path, capsys):
    (tmp_path / "empty").mkdir()
    assert main(["admission", "report", str(tmp_path / missing)]) == 1
    assert missing in capsys.readouterr().err


def test_a_log_is_bounded_and_a_failing_disk_harms_nothing(tmp_path):
    limit_bytes = 20_000
    write(tmp_path / "log", [decision(slot, leader=f"n{slot * 7919}") for slot in range(4000)], limit_bytes)
    sizes = [(tmp_path / "log" / name).stat().st_size for name in log_files(str(tmp_path / "log"))]
    assert len(sizes) <= MAX_FILES
    assert sum(sizes) <= 1.5 * limit_bytes
    (tmp_path / "file").write_text("in the way")
    write(tmp_path / "file", [decision(1)])


def test_nothing_of_admission_is_loaded_when_it_is_off():
    import subprocess

    list_modules = "import sys, passrock.controller.node, passrock.cli; print(*sys.modules)"
    run = subprocess.run(
        [sys.executable, "-c", list_modules],
        env={"PYTHONPATH": f"{ROOT / 'src'}"},
        capture_output=True,
        text=True,
        check=True,
    )
    assert not [
        name for name in run.stdout.split() if name.startswith(("passrock.admission", "fastavro", "backports"))
    ]
