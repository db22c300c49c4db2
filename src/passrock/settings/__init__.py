"""Settings of a controller, from the platform's TOML file and the operators' HCL files.

``read_settings`` reads and checks all files. ``docs/settings.md`` lists every setting.
"""

from __future__ import annotations

from passrock.settings.checks import resource_warnings
from passrock.settings.faults import SettingsError
from passrock.settings.files import read_settings
from passrock.settings.model import Address, FilePath, OperatorSettings, Peer, Settings
from passrock.settings.platform_file import parse_settings

__all__ = [
    "Address",
    "FilePath",
    "OperatorSettings",
    "Peer",
    "Settings",
    "SettingsError",
    "parse_settings",
    "read_settings",
    "resource_warnings",
]
