"""Validates INI files against a JSON Schema; errors name the line to correct."""

from filbertreach.settings._check import load, load_text
from filbertreach.settings._daemon import add_settings_arguments, settings_or_exit
from filbertreach.settings._errors import SettingsError, SettingsProblem
from filbertreach.settings._reader import IniOption, IniSection, read_ini

__all__ = [
    "IniOption",
    "IniSection",
    "SettingsError",
    "SettingsProblem",
    "add_settings_arguments",
    "load",
    "load_text",
    "read_ini",
    "settings_or_exit",
]
