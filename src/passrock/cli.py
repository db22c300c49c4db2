"""The command line."""

from __future__ import annotations

import argparse
import sys
from pathlib import Path

from passrock import __version__
from passrock.settings import SettingsError, read_settings

EXIT_FAULTY_SETTINGS = 2
EXIT_CANNOT_SERVE = 3


def build_parser() -> argparse.ArgumentParser:
    """The options and commands."""
    parser = argparse.ArgumentParser(
        prog="passrock",
        description="Cluster scheduler: runs a controller, or checks its settings.",
        epilog="exit codes: 0 fine, 2 faulty settings or usage, 3 the controller could not serve",
    )
    parser.add_argument("--version", action="version", version=f"passrock {__version__}")
    parser.add_argument("--operator", metavar="HCL", type=Path, help="operators' own settings (HCL)")
    parser.add_argument("--config", metavar="FILE", type=Path, help="serve with this settings file (TOML)")
    commands = parser.add_subparsers(dest="command", metavar="COMMAND")
    check = commands.add_parser("check-config", help="check a settings file and report every fault")
    check.add_argument("file", metavar="FILE", type=Path)
    return parser


def main(argv: list[str] | None = None) -> int:
    """Run the command line; returns the exit code."""
    parser = build_parser()
    args = parser.parse_args(argv)
    path = args.file if args.command == "check-config" else args.config
    if path is None:
        parser.print_usage(sys.stderr)
        print("passrock: give --config FILE or a command", file=sys.stderr)
        return EXIT_FAULTY_SETTINGS
    try:
        settings = read_settings(path, args.operator)
    except SettingsError as error:
        if args.command == "check-config":
            for fault in error.faults:
                print(fault, file=sys.stderr)
        else:
            print(f"passrock: {path}: {error}", file=sys.stderr)
        return EXIT_FAULTY_SETTINGS
    if args.command == "check-config":
        print(f"{path}: fine")
        return 0
    from passrock.controller.node import serve

    try:
        serve(settings)
    except KeyboardInterrupt:
        return 0
    except OSError as error:
        print(f"passrock: can't serve: {error}", file=sys.stderr)
        return EXIT_CANNOT_SERVE
    return 0
