"""Start of a controller from its settings files; the exit code distinguishes invalid settings from other failures."""

from __future__ import annotations

import sys
from collections.abc import Sequence

from passrock.settings import FilePath, SettingsError, read_settings

EXIT_INVALID_SETTINGS = 2
EXIT_CANNOT_SERVE = 3


def run_controller(path: FilePath, operator_paths: Sequence[FilePath] = ()) -> int:
    """Run a controller until the process is killed; return the exit code."""
    try:
        settings = read_settings(path, operator_paths)
    except SettingsError as exc:
        print(f"passrock: {path}: {exc}", file=sys.stderr)
        return EXIT_INVALID_SETTINGS
    from passrock.controller.process import serve

    try:
        serve(settings)
    except KeyboardInterrupt:
        return 0
    except OSError as exc:
        print(f"passrock: can't serve: {exc}", file=sys.stderr)
        return EXIT_CANNOT_SERVE
    return 0
