"""Settings of a daemon, read from an INI file and validated."""

from whinrack.settings._settings import (
    Settings,
    load_settings,
    parse_settings,
    render_settings_reference,
)

__all__ = ["Settings", "load_settings", "parse_settings", "render_settings_reference"]
