"""Sections and keys of the INI settings file, and their validation."""

import configparser
import re
from pathlib import Path
from typing import Annotated, get_args

import msgspec
from msgspec import Meta

from whinrack.exceptions import InvalidSettings

__all__ = ["Settings", "load_settings", "parse_settings", "render_settings_reference"]

_ADDRESS_PATTERN = r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$"
_NAME_PATTERN = r"^[a-z0-9]([a-z0-9-]{0,40}[a-z0-9])?$"

Name = Annotated[str, Meta(pattern=_NAME_PATTERN, description="1 to 42 of a-z, 0-9 and '-'")]
Address = Annotated[str, Meta(pattern=_ADDRESS_PATTERN, description="an IPv4 address and port")]
Text = Annotated[str, Meta(description="text")]
FleetKey = Annotated[str, Meta(min_length=16, max_length=200, description="16 to 200 characters")]
LogFormat = Annotated[str, Meta(pattern="^(text|json)$", description="text or json")]
LogLevel = Annotated[
    str, Meta(pattern="^(DEBUG|INFO|WARNING|ERROR)$", description="DEBUG, INFO, WARNING or ERROR")
]
PositiveSeconds = Annotated[float, Meta(gt=0, le=3600, description="above 0 to 3600 seconds")]
NonNegativeSeconds = Annotated[float, Meta(ge=0, le=3600, description="0 to 3600 seconds")]
Rate = Annotated[float, Meta(gt=0, le=10_000, description="above 0 to 10000 a second")]
Count = Annotated[int, Meta(ge=1, le=10_000_000, description="1 to 10000000")]
ByteCount = Annotated[int, Meta(ge=1024, le=1_000_000_000, description="1024 to 1000000000 bytes")]


class InstanceSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Name and location of this instance."""

    name: Name
    region: Name
    data_hall: Name


class HttpSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The HTTP server for callers."""

    address: Address
    body_limit: ByteCount = 1_000_000
    header_timeout: PositiveSeconds = 10.0
    body_timeout: PositiveSeconds = 10.0
    connections: Count = 20_000
    entry_seconds: PositiveSeconds = 30.0
    busy_requests: Count = 400


class PeerSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Communication with the other daemons of the fleet."""

    address: Address
    fleet_key: FleetKey
    seeds: Text = ""
    timeout: PositiveSeconds = 1.0
    certificate: Text = ""
    private_key: Text = ""
    authority: Text = ""


class PlatformSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Client of the platform's object API."""

    address: Address
    timeout: PositiveSeconds = 2.0
    calls_per_second: Rate = 50.0
    watch_wait: PositiveSeconds = 20.0


class MembershipSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Heartbeats between instances and reading of the instance list."""

    heartbeat_interval: PositiveSeconds = 1.0
    suspect_after: PositiveSeconds = 3.5
    list_interval: PositiveSeconds = 2.0
    watchers_per_hall: Count = 2
    full_mesh_limit: Count = 16


class BudgetSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Token grants: how much this instance draws from budgets, and when it reports use."""

    horizon: NonNegativeSeconds = 600.0
    check_interval: PositiveSeconds = 2.0
    report_after: NonNegativeSeconds = 10.0
    gather_wait: NonNegativeSeconds = 1.0


class JournalSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The journal of bill records."""

    commit_interval: PositiveSeconds = 0.05
    answer_wait: NonNegativeSeconds = 1.0


class RequestSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The memory of recent requests, which lets retries join or repeat a response."""

    remember: PositiveSeconds = 600.0
    entries: Count = 20_000
    answer_limit: ByteCount = 262_144
    join_grace: NonNegativeSeconds = 2.0


class LogSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Log output."""

    format: LogFormat = "text"
    level: LogLevel = "INFO"


class StopSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Graceful shutdown."""

    linger: NonNegativeSeconds = 2.0
    longest: PositiveSeconds = 600.0


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All sections of the settings file."""

    instance: InstanceSettings
    http: HttpSettings
    peer: PeerSettings
    platform: PlatformSettings
    membership: MembershipSettings = MembershipSettings()
    budgets: BudgetSettings = BudgetSettings()
    journal: JournalSettings = JournalSettings()
    requests: RequestSettings = RequestSettings()
    logs: LogSettings = LogSettings()
    stop: StopSettings = StopSettings()


def load_settings(path: Path) -> Settings:
    """Read and validate a settings file.

    Raises
    ------
    InvalidSettings
        If the file cannot be read or is invalid; the message names the section and key, the
        allowed values and the given value.
    """
    try:
        return parse_settings(path.read_text())
    except OSError as error:
        raise InvalidSettings(f"{path.name}: {error.strerror}") from error


def parse_settings(text: str) -> Settings:
    """Parse and validate the text of a settings file.

    Raises
    ------
    InvalidSettings
        If the text is not INI, or a section, key or value is invalid.
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(text)
    except configparser.Error as error:
        raise InvalidSettings(f"not a valid INI file: {error.message}") from error
    sections = {field.name: field.type for field in msgspec.structs.fields(Settings)}
    unknown = set(parser.sections()) - set(sections)
    if unknown:
        raise InvalidSettings(f"unknown sections {sorted(unknown)}; allowed are {list(sections)}")
    values = {}
    for name, section in sections.items():
        given = dict(parser[name]) if parser.has_section(name) else {}
        values[name] = _parse_section(name, section, given)
    return Settings(**values)


def render_settings_reference() -> str:
    """Return the reference of all settings as a Markdown page."""
    lines = [
        "# Settings",
        "",
        "Generated by `make generate`. The settings file uses INI syntax.",
        "",
    ]
    for section in msgspec.structs.fields(Settings):
        lines += [f"## [{section.name}]", "", section.type.__doc__.strip(), ""]
        lines += ["| key | allowed | default |", "| --- | --- | --- |"]
        for field in msgspec.structs.fields(section.type):
            default = "(required)" if field.required else str(field.default) or "(none)"
            lines.append(f"| `{field.name}` | {_allowed_values(field.type)} | {default} |")
        lines.append("")
    return "\n".join(lines)


def _parse_section(
    name: str, section: type[msgspec.Struct], given: dict[str, str]
) -> msgspec.Struct:
    fields = {field.name: field for field in msgspec.structs.fields(section)}
    unknown = set(given) - set(fields)
    if unknown:
        raise InvalidSettings(
            f"[{name}]: unknown keys {sorted(unknown)}; allowed are {list(fields)}"
        )
    values = {}
    for key, field in fields.items():
        if key in given:
            values[key] = _parse_value(name, key, field.type, given[key])
        elif field.required:
            raise InvalidSettings(
                f"[{name}] {key}: required key is missing; must be {_allowed_values(field.type)}"
            )
    return section(**values)


def _parse_value(section: str, key: str, value_type: type, text: str):
    try:
        value = msgspec.convert(text.strip(), value_type, strict=False)
    except msgspec.ValidationError as error:
        displayed_value = "a secret value" if re.search("key", key) else repr(text)
        raise InvalidSettings(
            f"[{section}] {key}: must be {_allowed_values(value_type)}, got {displayed_value}"
        ) from error
    return value


def _allowed_values(value_type: type) -> str:
    return next(meta.description for meta in get_args(value_type) if isinstance(meta, Meta))
