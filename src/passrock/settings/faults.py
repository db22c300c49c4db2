"""The exception that lists every fault of the settings files."""

from __future__ import annotations


class SettingsError(Exception):
    """The settings files are invalid or cannot be read.

    Attributes:
        faults: one message for each fault, with the path of the setting. All faults found are listed, not only the
            first, so that an operator can correct them at once.
    """

    def __init__(self, faults: list[str]) -> None:
        super().__init__("; ".join(faults))
        self.faults = faults
