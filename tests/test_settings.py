"""Settings files: all faults are reported together, with their paths; exit codes of the command line."""

import copy
import os
import re
import shutil
import subprocess
import sys
import tomllib
from pathlib import Path

import pytest

from passrock.admission import settings as admission
from passrock.admission.settings import AdmissionSettings, parse_admission
from passrock.cli import main
from passrock.core.model import Team
from passrock.core.objectives import Objective
from passrock.settings import OperatorSettings, SettingsError, parse_settings, read_settings, resource_warnings
from passrock.settings.checks import MIN_CPU_CORES, MIN_MEMORY_MB
from passrock.settings.operator_files import RANGES
from standins.deployment import platform_settings
from standins.loopback_cluster import encode_toml

ROOT = Path(__file__).parent.parent
UNNEEDED_MODULES = {
    "argparse",
    "dataclasses",
    "gettext",
    "hcl2",
    "importlib.resources",
    "lark",
    "pathlib",
    "shutil",
    "ssl",
}
PRINT_LOADED_MODULES = """
import sys
import passrock.__main__
assert passrock.__main__.start(["--config", "missing.toml"]) == 2
import passrock.controller.node
print(*(name for name, module in sys.modules.items() if module is not None))
"""


def set_value(table, path, value):
    *parents, last = path.split(".")
    for key in parents:
        table = table[key]
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
        ("deployment.workers.cancel_s", 10.0),  # equal to lease_s: leaves no renewal horizon
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
def test_faults_name_the_setting(path, value):
    table = platform_settings(0, 3, ("a", "b", "c"))
    set_value(table, path, value)
    faults = []
    parse_settings(table, OperatorSettings(), faults)
    assert faults
    assert any(path.split(".")[-1] in fault or path.split(".")[0] in fault for fault in faults)


def test_all_faults_are_reported_with_paths_in_reading_order(tmp_path):
    table = platform_settings(0, 3, ("a", "b", "c"))
    set_value(table, "node", "")
    set_value(table, "client_listen", "10.0.0.1")
    set_value(table, "outside", None)
    set_value(table, "peers", [{"node": "x", "area": 1, "endpoint": "nowhere"}])
    set_value(table, "deployment.zones", [])
    set_value(table, "deployment.teams", [{"name": "a"}, {"name": "a", "gpus": -1.0}])
    set_value(table, "deployment.objectives", 5)
    set_value(table, "deployment.workers.cancel_s", 10.0)
    set_value(table, "deployment.state", {"rps": 0, "write_rps": "40", "value_kb": 0.5, "txn_ops": 3})
    set_value(table, "deployment.resources.fd_limit", 31)
    path, first, second = tmp_path / "node.toml", tmp_path / "first.hcl", tmp_path / "second.hcl"
    path.write_text(encode_toml(table))
    first.write_text('round_s = 0\nspeed = 3\nsilent_ratio = "x"\nadmission {\n slot_ratio = 0.5\n}\n')
    second.write_text("alpha_extra = 0.2\nround_s = 30\nadmission {}\n")
    with pytest.raises(SettingsError) as caught:
        read_settings(path, [first, second])
    assert caught.value.faults == [
        f"{first}: round_s: 0 is outside 1.0 to 600.0",
        f"{first}: speed: unknown setting",
        f"{first}: silent_ratio: a number is required",
        f"{first}: admission.slot_ratio: 0.5 is outside 1.0 to 60.0",
        f"{second}: round_s: stands there twice",
        f"{second}: admission: one block is required",
        "outside: a table is required",
        "deployment.zones: a list of names is required",
        "peers[0].area: a text is required",
        "peers[0].endpoint: an address like 10.0.0.1:8080 is required",
        "deployment.teams[1].name: a stands there twice",
        "deployment.teams[1].gpus: -1.0 must be at least 0.0",
        "deployment.objectives: a list of tables is required",
        "deployment.workers.cancel_s: 10.0 must be above lease_s (10.0) and 3 times report_s (1.0)",
        "node: a text is required",
        "client_listen: an address like 10.0.0.1:8080 is required",
        "outside.cloud: an address like 10.0.0.1:8080 is required",
        "outside.state: an address like 10.0.0.1:8080 is required",
        "deployment.state.rps: 0 must be above 0.0",
        "deployment.state.write_rps: a number is required",
        "deployment.state.value_kb: 0.5 must be at least 1.0",
        "deployment.state.txn_ops: 3 must be at least 4",
        "deployment.resources.fd_limit: 31 must be at least 32",
    ]


def test_check_config(tmp_path, capsys):
    table = platform_settings(0, 3, ("a", "b", "c"))
    valid, invalid = tmp_path / "good.toml", tmp_path / "bad.toml"
    valid.write_text(encode_toml(table) + "\n[news]\nunknown = 1\n")
    set_value(table, "node", 3)
    set_value(table, "deployment.workers.lease_s", -1.0)
    invalid.write_text(encode_toml(table))
    assert main(["check-config", str(valid)]) == 0
    assert capsys.readouterr().err == ""
    small = platform_settings(0, 3, ("a", "b", "c"))
    set_value(small, "deployment.resources.cpu", 0.01)
    valid.write_text(encode_toml(small))
    assert main(["check-config", str(valid)]) == 0  # small resources are a warning, not a fault
    assert "warning: deployment.resources.cpu" in capsys.readouterr().err
    assert main(["check-config", str(invalid)]) == 2
    err = capsys.readouterr().err
    assert "node:" in err
    assert "lease_s" in err
    assert main(["--config", str(tmp_path / "missing.toml")]) == 2
    assert main([]) == 2
    with pytest.raises(SystemExit) as exit_info:
        main(["--version"])
    assert exit_info.value.code == 0


def test_operator_settings(tmp_path):
    table, path = tmp_path / "node.toml", tmp_path / "passrock.hcl"
    table.write_text(encode_toml(platform_settings(0, 3, ("a", "b", "c"))))
    path.write_text("round_s = 30\nalpha_extra = 0.2\n")
    assert read_settings(table, [path]).operator.round_s == 30
    assert read_settings(table, [ROOT / "deploy" / "passrock.hcl"]).operator == OperatorSettings()
    path.write_text('round_s = 0\nspeed = 3\nsilent_ratio = "x"\n')
    with pytest.raises(SettingsError) as caught:
        read_settings(table, [path])
    assert len(caught.value.faults) == 3
    assert {word for fault in caught.value.faults for word in fault.split(": ")} >= {
        "round_s",
        "speed",
        "silent_ratio",
    }


def test_built_service_has_byte_code_and_loads_no_unneeded_modules(tmp_path):
    """With a tenth of a core, each 0.1 s of CPU time at the start is 1 s during which no requests are served."""
    deploy = tomllib.loads((ROOT / "deploy" / "service.toml").read_text())
    checkout = tmp_path / "checkout"
    for folder in ("src", "deploy"):
        shutil.copytree(ROOT / folder, checkout / folder, ignore=shutil.ignore_patterns("__pycache__"))
    service = checkout / "target" / "service"
    service.mkdir(parents=True)
    for name in ("requirements.txt", "README.md"):
        shutil.copy(ROOT / name, checkout / name)
    os.utime(checkout / "requirements.txt", (0, 0))  # build.sh installs no libraries; the test environment has them
    subprocess.run(deploy["build"], shell=True, check=True, cwd=checkout)
    program, *options, script, last = deploy["run"].split()
    assert (program, options, last) == ("python3", ["-S"], "--config")
    assert (checkout / script).is_file()
    sources = [path.relative_to(ROOT / "src") for path in (ROOT / "src").rglob("*.py")]
    compiled = {path.name.partition(".")[0] for path in (service / "passrock").rglob("*.pyc")}
    assert compiled == {path.stem for path in sources}
    command = [sys.executable, "-S", "-c", PRINT_LOADED_MODULES]
    libraries = os.pathsep.join([str(service), *sys.path])
    run = subprocess.run(command, env={"PYTHONPATH": libraries}, capture_output=True, text=True, check=True)
    loaded = set(run.stdout.split())
    assert "passrock.controller.node" in loaded
    assert not UNNEEDED_MODULES & loaded


class RecordingTable(dict):
    """A table that records the path of every key that is read; ``[]`` in a path stands for each row of a list."""

    def __init__(self, table, path, read_paths):
        super().__init__(table)
        self.path = path
        self.read_paths = read_paths

    def get(self, key, default=None):
        path = self.path + key
        value = super().get(key, default)
        if isinstance(value, dict):
            return RecordingTable(value, f"{path}.", self.read_paths)
        if isinstance(value, list) and value and all(isinstance(row, dict) for row in value):
            return [RecordingTable(row, f"{path}[].", self.read_paths) for row in value]
        self.read_paths.add(path)
        return value


def documented(heading):
    """Return the rows of the table below a heading of the page, by the name of the setting."""
    section = (ROOT / "docs" / "settings.md").read_text().split(f"## {heading}\n")[1].split("\n## ")[0]
    rows = [
        [cell.strip() for cell in line.split("|")[1:-1]] for line in section.splitlines() if line.startswith("| `")
    ]
    return {row[0].strip("`"): row[1:] for row in rows}


PLATFORM = documented("The platform's file (TOML)")
OPERATOR = documented("The operators' files (HCL)")
ADMISSION = documented("Fair admission (HCL)")


def full_table():
    table = platform_settings(0, 3, ("a", "b", "c"))
    table["deployment"]["objectives"] = [{"kind": "wait", "class": "c", "within_s": 60.0, "share": 0.9}]
    return table


def faults_of(table):
    faults = []
    parse_settings(table, OperatorSettings(), faults)
    return faults


def faults_with(path, value):
    """Return the faults of a table in which the setting with this path has this value; None removes the setting."""
    table = copy.deepcopy(full_table())
    *parents, last = re.sub(r"\[\]", ".0", path).split(".")
    parent = table
    for key in parents:
        parent = parent[int(key) if key.isdigit() else key]
    if value is None:
        parent.pop(last, None)
    else:
        parent[last] = value
    return faults_of(table)


def test_page_lists_every_setting_that_is_read():
    read_paths = set()
    faults = []
    parse_settings(RecordingTable(full_table(), "", read_paths), OperatorSettings(), faults)
    assert faults == []
    assert read_paths == set(PLATFORM)
    assert set(OPERATOR) == set(RANGES) == set(OperatorSettings.__struct_fields__)
    assert set(ADMISSION) == set(AdmissionSettings.__struct_fields__)


@pytest.mark.parametrize("path", PLATFORM)
def test_page_has_the_ranges_and_defaults_of_the_platform_file(path):
    unit, limits, default, effect, restart = PLATFORM[path]
    assert unit
    assert effect
    assert restart == "yes"
    assert (faults_with(path, None) == []) == (default != "")
    assert default in ("", "empty", "0")  # the only defaults of the reader; see the next test
    first, *rest = limits.split()
    if unit == "IPv4:port":
        assert limits == "1 to 65535"
        assert faults_with(path, "10.0.0.1:1") == faults_with(path, "10.0.0.1:65535") == []
        assert faults_with(path, "10.0.0.1:0")
        assert faults_with(path, "10.0.0.1:65536")
    elif first in ("not", "any"):
        assert (faults_with(path, [] if unit == "names" else "") == []) == (first == "any")
        assert faults_with(path, 5)
    else:
        bound = float(re.match(r"(?:least )?([0-9.]+)", " ".join(rest)).group(1))
        assert any(path.rpartition(".")[2] in fault for fault in faults_with(path, bound - 0.001))
        at_bound = [fault for fault in faults_with(path, bound) if "times report_s" not in fault]
        assert (at_bound == []) == (first == "at")


def test_defaults_of_teams_and_objectives():
    table = full_table()
    table["deployment"]["teams"] = [{"name": "a"}]
    table["deployment"]["objectives"] = [{"kind": "wait"}]
    settings = parse_settings(table, OperatorSettings(), [])
    assert settings.teams == {"a": Team("a", 0.0, 0.0, 0.0, 0.0)}
    assert settings.objectives == (Objective("wait", "", 0.0, 0.0),)


def test_page_has_the_warnings_about_small_resources():
    table = full_table()
    for name, key, minimum in (("cpu", "cpu", MIN_CPU_CORES), ("mem_mb", "mem_mb", MIN_MEMORY_MB)):
        assert PLATFORM[f"deployment.resources.{name}"][1].endswith(f"warning below {minimum:g}")
        for value, warned in ((minimum, False), (minimum * 0.99, True)):
            table["deployment"]["resources"] = {"cpu": 1.0, "mem_mb": 100.0, "fd_limit": 600, key: value}
            assert bool(resource_warnings(parse_settings(table, OperatorSettings(), []))) == warned


@pytest.mark.parametrize(
    ("rows", "ranges", "defaults"),
    [(OPERATOR, RANGES, OperatorSettings()), (ADMISSION, admission.RANGES, AdmissionSettings())],
)
def test_page_has_the_ranges_and_defaults_of_the_operator_files(rows, ranges, defaults):
    for name, (unit, limits, default, effect, restart) in rows.items():
        assert unit
        assert effect
        assert restart == "yes"
        if name in ranges:
            low, high = ranges[name]
            assert limits == f"{low:g} to {high:.10g}", name
            assert float(default) == getattr(defaults, name), name
        elif name == "log_dir":
            assert (limits, default, getattr(defaults, name)) == ("any", "empty", "")
        else:
            low, high = admission.WEIGHT_RANGE
            assert limits == f"{low:g} to {high:g}"
            assert getattr(defaults, name) == {}


def test_example_operator_files_have_all_settings_with_their_defaults():
    text = (ROOT / "deploy" / "passrock.hcl").read_text()
    assert set(re.findall(r"^(\w+) *=", text, re.MULTILINE)) == set(RANGES)
    text = (ROOT / "deploy" / "admission.hcl").read_text()
    assert set(re.findall(r"^ +(\w+) *=", text, re.MULTILINE)) == set(AdmissionSettings.__struct_fields__)
    assert parse_admission({}, "", []) == AdmissionSettings()


def test_example_platform_file_is_valid_and_has_every_setting(capsys):
    example = ROOT / "docs" / "node.example.toml"
    assert "(docs/node.example.toml)" in (ROOT / "README.md").read_text()
    assert main(["check-config", str(example)]) == 0
    assert capsys.readouterr().err == ""  # no warnings either
    assert set(PLATFORM) <= paths_of(tomllib.loads(example.read_text()))
    settings = read_settings(example)
    assert settings.node_count == 3
    addresses = [settings.client_listen, settings.peer_listen, *(peer.address for peer in settings.peers)]
    assert {address.host for address in addresses} == {"127.0.0.1"}
    assert len(set(addresses)) == len(addresses)


def paths_of(table, prefix=""):
    """Return the paths of all keys of nested tables, in the notation of the page."""
    paths = set()
    for key, value in table.items():
        if isinstance(value, dict):
            paths |= paths_of(value, f"{prefix}{key}.")
        elif isinstance(value, list) and value and isinstance(value[0], dict):
            for row in value:
                paths |= paths_of(row, f"{prefix}{key}[].")
        else:
            paths.add(prefix + key)
    return paths
