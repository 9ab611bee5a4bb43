"""Generate pages from the code: the settings reference and the example settings file."""

import pathlib

import msgspec

from whinrack.settings import Settings, render_settings_reference

__all__ = ["generated_pages"]

_EXAMPLES = {
    ("instance", "name"): "router-1",
    ("instance", "region"): "south",
    ("instance", "data_hall"): "a",
    ("http", "address"): "127.0.0.1:8080",
    ("peer", "address"): "127.0.0.1:8081",
    ("peer", "fleet_key"): "change-this-fleet-key",
    ("platform", "address"): "127.0.0.1:8090",
}


def example_settings() -> str:
    """Return the example settings file, with every key and its default."""
    lines = ["; Settings of a whinrack router, every key with its default.", ""]
    for section in msgspec.structs.fields(Settings):
        lines += [f"; {section.type.__doc__.strip()}", f"[{section.name}]"]
        for field in msgspec.structs.fields(section.type):
            example = _EXAMPLES.get((section.name, field.name))
            if example is not None:
                lines.append(f"{field.name} = {example}")
            elif field.default == "":
                lines.append(f";{field.name} =")
            else:
                lines.append(f";{field.name} = {field.default}")
        lines.append("")
    return "\n".join(lines)


def generated_pages() -> dict[pathlib.PurePath, str]:
    """Return the text of each generated page by its path."""
    return {
        pathlib.PurePath("docs/settings.md"): render_settings_reference(),
        pathlib.PurePath("examples/router.ini"): example_settings(),
    }
