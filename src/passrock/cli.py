"""The command line: options and commands for operators."""

from __future__ import annotations

import argparse
import sys

from passrock import __version__
from passrock.serving import EXIT_INVALID_SETTINGS, run_controller
from passrock.settings import FilePath, SettingsError, read_settings, resource_warnings


def build_parser() -> argparse.ArgumentParser:
    """Return the parser of the options and commands."""
    parser = argparse.ArgumentParser(
        prog="passrock",
        description="Cluster scheduler: runs a controller, or checks its settings.",
        epilog="exit codes: 0 fine, 2 faulty settings or usage, 3 the controller could not serve",
    )
    parser.add_argument("--version", action="version", version=f"passrock {__version__}")
    parser.add_argument(
        "--operator",
        metavar="HCL",
        action="append",
        default=[],
        help="operators' own settings (HCL); may be repeated",
    )
    parser.add_argument("--config", metavar="FILE", help="serve with this settings file (TOML)")
    commands = parser.add_subparsers(dest="command", metavar="COMMAND")
    check = commands.add_parser("check-config", help="check a settings file and report every fault")
    check.add_argument("file", metavar="FILE")
    admission = commands.add_parser("admission", help="fair admission")
    reports = admission.add_subparsers(dest="admission_command", metavar="COMMAND", required=True)
    report = reports.add_parser("report", help="who was served, refused and waiting, and why, from decision logs")
    report.add_argument("paths", metavar="PATH", nargs="+", help="a decision log's directory or file")
    report.add_argument("--from", dest="begin", metavar="TIME", help="seconds since 1970, or ISO 8601")
    report.add_argument("--to", dest="end", metavar="TIME")
    report.add_argument("--json", action="store_true", help="print JSON")
    return parser


def main(argv: list[str] | None = None) -> int:
    """Run the command line and return the exit code."""
    args = build_parser().parse_args(argv)
    if args.command == "check-config":
        return check_config(args.file, args.operator)
    if args.command == "admission":
        from passrock.admission.report import run

        return run(args.paths, args.begin, args.end, as_json=args.json)
    if args.config is None:
        build_parser().print_usage(sys.stderr)
        print("passrock: give --config FILE or a command", file=sys.stderr)
        return EXIT_INVALID_SETTINGS
    return run_controller(args.config, args.operator)


def check_config(path: FilePath, operator_paths: list[FilePath]) -> int:
    """Print every fault of the settings files, and the warnings if there are none; return the exit code."""
    try:
        settings = read_settings(path, operator_paths)
    except SettingsError as exc:
        for fault in exc.faults:
            print(fault, file=sys.stderr)
        return EXIT_INVALID_SETTINGS
    for warning in resource_warnings(settings):
        print(f"warning: {warning}", file=sys.stderr)
    print(f"{path}: fine")
    return 0
