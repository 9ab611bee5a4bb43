"""INI settings of a daemon."""

from whinrack.settings._settings import (
    Settings,
    load_settings,
    parse_settings,
    render_settings_reference,
)

__all__ = ["Settings", "load_settings", "parse_settings", "render_settings_reference"]
