"""Settings files: every fault is named at once; the command line's exit codes."""

import os
import shutil
import subprocess
import sys
import tomllib
from pathlib import Path

import pytest

from passrock.cli import main
from passrock.settings import Operator, SettingsError, parse_settings, read_settings
from standins.deployment import node_table
from standins.loopback_cluster import toml

ROOT = Path(__file__).parent.parent
NOT_NEEDED = {"argparse", "dataclasses", "gettext", "hcl2", "importlib.resources", "lark", "pathlib", "shutil", "ssl"}
SHOW_MODULES = """
import sys
import passrock.__main__
assert passrock.__main__.start(["--config", "missing.toml"]) == 2
import passrock.controller.node
print(*(name for name, module in sys.modules.items() if module is not None))
"""


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
        ("deployment.resources.cpu", None),
        ("deployment.resources.cpu", 0.0),
        ("deployment.resources.mem_mb", -98.0),
        ("deployment.resources.mem_mb", "98"),
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
    assert capsys.readouterr().err == ""
    little = node_table(0, 3, ("a", "b", "c"))
    change(little, "deployment.resources.cpu", 0.01)
    good.write_text(toml(little))
    assert main(["check-config", str(good)]) == 0  # it serves as well as can be
    assert "warning: deployment.resources.cpu" in capsys.readouterr().err
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
    assert read_settings(table, [path]).operator.round_s == 30
    assert read_settings(table, [ROOT / "deploy" / "passrock.hcl"]).operator == Operator()
    path.write_text('round_s = 0\nspeed = 3\nsilent_ratio = "x"\n')
    with pytest.raises(SettingsError) as caught:
        read_settings(table, [path])
    assert len(caught.value.faults) == 3
    assert {word for fault in caught.value.faults for word in fault.split(": ")} >= {
        "round_s",
        "speed",
        "silent_ratio",
    }


def test_the_built_service_starts_with_byte_code_and_without_what_only_the_command_line_needs(tmp_path):
    """At a tenth of a core each 0.1 s of processor time at the start is a second during which nobody is served."""
    deploy = tomllib.loads((ROOT / "deploy" / "service.toml").read_text())
    checkout = tmp_path / "checkout"
    for folder in ("src", "deploy"):
        shutil.copytree(ROOT / folder, checkout / folder, ignore=shutil.ignore_patterns("__pycache__"))
    service = checkout / "target" / "service"
    service.mkdir(parents=True)
    for name in ("requirements.txt", "README.md"):
        shutil.copy(ROOT / name, checkout / name)
    os.utime(checkout / "requirements.txt", (0, 0))  # the libraries count as installed: those of the tests serve here
    subprocess.run(deploy["build"], shell=True, check=True, cwd=checkout)
    program, *options, script, last = deploy["run"].split()
    assert (program, options, last) == ("python3", ["-S"], "--config")
    assert (checkout / script).is_file()
    sources = [path.relative_to(ROOT / "src") for path in (ROOT / "src").rglob("*.py")]
    compiled = {path.name.partition(".")[0] for path in (service / "passrock").rglob("*.pyc")}
    assert compiled == {path.stem for path in sources}
    command = [sys.executable, "-S", "-c", SHOW_MODULES]
    libraries = os.pathsep.join([str(service), *sys.path])
    run = subprocess.run(command, env={"PYTHONPATH": libraries}, capture_output=True, text=True, check=True)
    loaded = set(run.stdout.split())
    assert "passrock.controller.node" in loaded
    assert not NOT_NEEDED & loaded
