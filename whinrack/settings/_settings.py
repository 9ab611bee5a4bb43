"""INI settings, every key checked at start."""

import configparser
import re
from pathlib import Path
from typing import Annotated, get_args

import msgspec
from msgspec import Meta

from whinrack.exceptions import InvalidSettings

__all__ = ["Settings", "load_settings", "parse_settings", "render_settings_reference"]

_ADDRESS = r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$"
_NAME = r"^[a-z0-9]([a-z0-9-]{0,40}[a-z0-9])?$"

Name = Annotated[str, Meta(pattern=_NAME, description="1 to 42 of a-z, 0-9 and '-'")]
Address = Annotated[str, Meta(pattern=_ADDRESS, description="an IPv4 address and port")]
Text = Annotated[str, Meta(description="text")]
Key = Annotated[str, Meta(min_length=16, max_length=200, description="16 to 200 characters")]
Choice = Annotated[str, Meta(pattern="^(text|json)$", description="text or json")]
Level = Annotated[
    str, Meta(pattern="^(DEBUG|INFO|WARNING|ERROR)$", description="DEBUG, INFO, WARNING or ERROR")
]
Seconds = Annotated[float, Meta(gt=0, le=3600, description="above 0 to 3600 seconds")]
SecondsOrNone = Annotated[float, Meta(ge=0, le=3600, description="0 to 3600 seconds")]
Rate = Annotated[float, Meta(gt=0, le=10_000, description="above 0 to 10000 a second")]
Count = Annotated[int, Meta(ge=1, le=10_000_000, description="1 to 10000000")]
Size = Annotated[int, Meta(ge=1024, le=1_000_000_000, description="1024 to 1000000000 bytes")]


class InstanceSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Who and where this instance is."""

    name: Name
    region: Name
    data_hall: Name


class HttpSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The side towards callers."""

    address: Address
    body_limit: Size = 1_000_000
    header_timeout: Seconds = 10.0
    body_timeout: Seconds = 10.0
    connections: Count = 20_000
    entry_seconds: Seconds = 30.0
    busy_requests: Count = 400


class PeerSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The side towards the other daemons."""

    address: Address
    fleet_key: Key
    seeds: Text = ""
    timeout: Seconds = 1.0
    certificate: Text = ""
    private_key: Text = ""
    authority: Text = ""


class PlatformSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The platform's object API."""

    address: Address
    timeout: Seconds = 2.0
    calls_per_second: Rate = 50.0
    watch_wait: Seconds = 20.0


class MembershipSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Heartbeats and the instance list."""

    heartbeat_interval: Seconds = 1.0
    suspect_after: Seconds = 3.5
    list_interval: Seconds = 2.0
    watchers_per_hall: Count = 2
    full_mesh_limit: Count = 16


class BudgetSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Grants."""

    horizon: SecondsOrNone = 600.0
    check_interval: Seconds = 2.0
    report_after: SecondsOrNone = 10.0
    gather_wait: SecondsOrNone = 1.0


class JournalSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Bills."""

    commit_interval: Seconds = 0.05
    answer_wait: SecondsOrNone = 1.0


class RequestSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Request memory."""

    remember: Seconds = 600.0
    entries: Count = 20_000
    answer_limit: Size = 262_144
    join_grace: SecondsOrNone = 2.0


class LogSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Logs."""

    format: Choice = "text"
    level: Level = "INFO"


class StopSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The planned stop."""

    linger: SecondsOrNone = 2.0
    longest: Seconds = 600.0


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All sections."""

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
    """Read and check a settings file.

    Raises
    ------
    InvalidSettings
        Naming section and key, what is allowed and what was got.
    """
    try:
        return parse_settings(path.read_text())
    except OSError as error:
        raise InvalidSettings(f"{path.name}: {error.strerror}") from error


def parse_settings(text: str) -> Settings:
    """Check the text of a settings file."""
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(text)
    except configparser.Error as error:
        raise InvalidSettings(f"not INI: {error.message}") from error
    sections = {field.name: field.type for field in msgspec.structs.fields(Settings)}
    unknown = set(parser.sections()) - set(sections)
    if unknown:
        raise InvalidSettings(f"sections: allowed are {list(sections)}, got {sorted(unknown)}")
    values = {}
    for name, section in sections.items():
        got = dict(parser[name]) if parser.has_section(name) else {}
        values[name] = _section(name, section, got)
    return Settings(**values)


def render_settings_reference() -> str:
    """Return the settings reference as a Markdown page."""
    lines = ["# Settings", "", "Made from the code by `make generate`. The file is INI.", ""]
    for section in msgspec.structs.fields(Settings):
        lines += [f"## [{section.name}]", "", section.type.__doc__.strip(), ""]
        lines += ["| key | allowed | default |", "| --- | --- | --- |"]
        for field in msgspec.structs.fields(section.type):
            default = "(required)" if field.required else str(field.default) or "(none)"
            lines.append(f"| `{field.name}` | {_allowed(field.type)} | {default} |")
        lines.append("")
    return "\n".join(lines)


def _section(name: str, section: type[msgspec.Struct], got: dict[str, str]) -> msgspec.Struct:
    fields = {field.name: field for field in msgspec.structs.fields(section)}
    unknown = set(got) - set(fields)
    if unknown:
        raise InvalidSettings(f"[{name}]: allowed are {list(fields)}, got {sorted(unknown)}")
    values = {}
    for key, field in fields.items():
        if key in got:
            values[key] = _value(name, key, field.type, got[key])
        elif field.required:
            raise InvalidSettings(f"[{name}] {key}: allowed is {_allowed(field.type)}, got nothing")
    return section(**values)


def _value(section: str, key: str, kind: type, text: str):
    try:
        value = msgspec.convert(text.strip(), kind, strict=False)
    except msgspec.ValidationError as error:
        shown = "a secret" if re.search("key", key) else repr(text)
        raise InvalidSettings(
            f"[{section}] {key}: allowed is {_allowed(kind)}, got {shown}"
        ) from error
    return value


def _allowed(kind: type) -> str:
    return next(meta.description for meta in get_args(kind) if isinstance(meta, Meta))
