"""Run a controller from a settings file; the exit code says what prevented it."""

from __future__ import annotations

import sys
from collections.abc import Sequence

from passrock.settings import FilePath, SettingsError, read_settings

EXIT_FAULTY_SETTINGS = 2
EXIT_CANNOT_SERVE = 3


def serve_from(path: FilePath, operator_paths: Sequence[FilePath] = ()) -> int:
    """Serve until killed; returns the exit code."""
    try:
        settings = read_settings(path, operator_paths)
    except SettingsError as error:
        print(f"passrock: {path}: {error}", file=sys.stderr)
        return EXIT_FAULTY_SETTINGS
    from passrock.controller.process import serve

    try:
        serve(settings)
    except KeyboardInterrupt:
        return 0
    except OSError as error:
        print(f"passrock: can't serve: {error}", file=sys.stderr)
        return EXIT_CANNOT_SERVE
    return 0
