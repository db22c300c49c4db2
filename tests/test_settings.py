"""Settings files: every fault is named at once; the command line's exit codes."""

import tomllib
from pathlib import Path

import pytest

from passrock.cli import main
from passrock.settings import Operator, SettingsError, parse_settings, read_settings
from standins.loopback import toml
from standins.world import node_table

ROOT = Path(__file__).parent.parent


def change(table, path, value):
    *way, last = path.split(".")
    for part in way:
        table = table[part]
    if value is None:
        del table[last]
    else:
        table[last] = value


@pytest.mark.parametrize(
    ("path", "value"),
    [
        ("node", None),
        ("client_listen", "10.0.0.1"),
        ("client_listen", "host:80"),
        ("peer_listen", "10.0.0.1:99999"),
        ("outside", None),
        ("outside.state", 5),
        ("deployment.zones", []),
        ("deployment.workers.lease_s", 0.0),
        ("deployment.workers.report_s", "1"),
        ("deployment.workers.cancel_s", None),
        ("deployment.workers.cancel_s", "35"),
        ("deployment.workers.cancel_s", 0.0),
        ("deployment.workers.cancel_s", 10.0),  # no longer than a lease: nothing could be kept
        ("deployment.workers.cancel_s", float("nan")),
        ("deployment.state.txn_ops", 1),
        ("deployment.teams", [{"gpus": 1.0}]),
        ("deployment.teams", [{"name": "a"}, {"name": "a"}]),
        ("peers", [{"node": "x", "area": "a", "endpoint": "nowhere"}]),
    ],
)
def test_faults_are_named(path, value):
    table = node_table(0, 3, ("a", "b", "c"))
    change(table, path, value)
    faults = []
    parse_settings(table, Operator(), faults)
    assert faults and any(path.split(".")[-1] in fault or path.split(".")[0] in fault for fault in faults)


def test_check_config(tmp_path, capsys):
    table = node_table(0, 3, ("a", "b", "c"))
    good, bad = tmp_path / "good.toml", tmp_path / "bad.toml"
    good.write_text(toml(table) + "\n[news]\nunknown = 1\n")
    change(table, "node", 3)
    change(table, "deployment.workers.lease_s", -1.0)
    bad.write_text(toml(table))
    assert main(["check-config", str(good)]) == 0
    assert main(["check-config", str(bad)]) == 2
    err = capsys.readouterr().err
    assert "node:" in err and "lease_s" in err
    assert main(["--config", str(tmp_path / "missing.toml")]) == 2
    assert main([]) == 2
    with pytest.raises(SystemExit) as stop:
        main(["--version"])
    assert stop.value.code == 0


def test_operator_settings(tmp_path):
    table, path = tmp_path / "node.toml", tmp_path / "passrock.hcl"
    table.write_text(toml(node_table(0, 3, ("a", "b", "c"))))
    path.write_text("round_s = 30\nalpha_extra = 0.2\n")
    assert read_settings(table, path).operator.round_s == 30
    assert read_settings(table, ROOT / "deploy" / "passrock.hcl").operator == Operator()
    path.write_text('round_s = 0\nspeed = 3\nsilent_ratio = "x"\n')
    with pytest.raises(SettingsError) as caught:
        read_settings(table, path)
    assert len(caught.value.faults) == 3
    assert {word for fault in caught.value.faults for word in fault.split(": ")} >= {
        "round_s",
        "speed",
        "silent_ratio",
    }


def test_deploy_file_says_how_to_build_and_run():
    deploy = tomllib.loads((ROOT / "deploy" / "service.toml").read_text())
    assert deploy["run"].split() == ["python3", "run.py", "--config"]
    assert "target/deps" in deploy["build"]
