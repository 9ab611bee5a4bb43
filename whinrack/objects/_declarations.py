"""Declarations: TOML files under version control, with one object per file.

A file contains `kind`, `name` and a table `spec`. A RoutingPolicy can refer to the file of
its program by `program_file`, relative to the declaration.
"""

import tomllib
from pathlib import Path

import msgspec

from whinrack.exceptions import InvalidObject
from whinrack.objects._checks import decode_spec
from whinrack.objects._kinds import Spec

__all__ = ["Declaration", "load_declarations"]


class Declaration(msgspec.Struct, frozen=True):
    """An object read from a declaration file."""

    kind: str
    name: str
    spec: Spec


def load_declarations(folder: Path) -> list[Declaration]:
    """Load all declarations (`*.toml`) in a folder and its subfolders.

    Raises
    ------
    InvalidObject
        If a file is not a valid declaration, or an object is declared more than once.
    """
    declarations: dict[tuple[str, str], Declaration] = {}
    for path in sorted(folder.rglob("*.toml")):
        declaration = _load_declaration(path)
        key = (declaration.kind, declaration.name)
        if key in declarations:
            raise InvalidObject(f"{path.name}: {key[0]}/{key[1]} is declared more than once")
        declarations[key] = declaration
    return list(declarations.values())


def _load_declaration(path: Path) -> Declaration:
    try:
        data = tomllib.loads(path.read_text())
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise InvalidObject(f"{path.name}: invalid TOML: {error}") from error
    unknown_fields = set(data) - {"kind", "name", "spec"}
    if unknown_fields:
        raise InvalidObject(
            f"{path.name}: allowed are kind, name and spec, got {sorted(unknown_fields)}"
        )
    spec = dict(data.get("spec", {}))
    if "program_file" in spec:
        spec["program"] = (path.parent / spec.pop("program_file")).read_text()
    try:
        kind, name = data.get("kind", ""), data.get("name", "")
        return Declaration(kind, name, decode_spec(kind, name, spec))
    except InvalidObject as error:
        raise InvalidObject(f"{path.name}: {error.message}") from error
