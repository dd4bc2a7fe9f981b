"""Errors of TOML files that processes and operators write."""

from __future__ import annotations

from acaciastand.errors import InvalidInput


class SettingsFileError(InvalidInput):
    """A settings file cannot be used as it is.

    Parameters
    ----------
    file
        Path of the file.
    key
        Key in the file, empty when the whole file is meant.
    problem
        What is wrong.
    remedy
        What to change.
    """

    code = "settings_file_invalid"

    def __init__(self, file: str, key: str, problem: str, remedy: str) -> None:
        place = f"settings file {file}, key {key}" if key else f"settings file {file}"
        super().__init__(f"{place}: {problem}", remedy)
        self.file = file
        self.key = key


class FileUnreadable(SettingsFileError):
    """The file is missing, too large or may not be read."""

    code = "settings_file_unreadable"


class FileNotToml(SettingsFileError):
    """The file is not valid TOML."""

    code = "settings_file_not_toml"


class UnknownFileKey(SettingsFileError):
    """The file has a key that the program does not know."""

    code = "settings_file_unknown_key"


class MissingFileKey(SettingsFileError):
    """A key without a default is absent."""

    code = "settings_file_missing_key"


class BadFileValue(SettingsFileError):
    """A value has the wrong type or is outside its range."""

    code = "settings_file_bad_value"
