"""Reading of all the settings files of a controller."""

from __future__ import annotations

import tomllib
from collections.abc import Sequence

import msgspec

from passrock.settings.checks import unknown_team_faults
from passrock.settings.faults import SettingsError
from passrock.settings.model import FilePath, Settings
from passrock.settings.operator_files import OperatorFiles, read_operator_files
from passrock.settings.platform_file import parse_settings


def read_settings(path: FilePath, operator_paths: Sequence[FilePath] = ()) -> Settings:
    """Read and check the platform's file and the operators' files.

    Raises:
        SettingsError: with the faults of all files; if the platform's file cannot be read, with this fault only.
    """
    try:
        with open(path, "rb") as file:
            data = tomllib.load(file)
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as exc:
        raise SettingsError([f"{path}: {exc}"]) from exc
    faults: list[str] = []
    files = read_operator_files(operator_paths, faults) if operator_paths else OperatorFiles()
    settings = parse_settings(data, files.operator, faults)
    if files.admission is not None:
        faults += unknown_team_faults(files.admission, settings)
    if faults:
        raise SettingsError(faults)
    return msgspec.structs.replace(settings, admission=files.admission)
