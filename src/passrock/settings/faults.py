"""The error that carries every fault of the settings files."""

from __future__ import annotations


class SettingsError(Exception):
    """Settings files that can't be used.

    Attributes:
        faults: One text for each fault, with the path of the setting; all that were found, not just the first, so
            that one look at the output mends the file.
    """

    def __init__(self, faults: list[str]) -> None:
        super().__init__("; ".join(faults))
        self.faults = faults
