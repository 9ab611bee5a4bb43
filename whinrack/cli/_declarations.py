"""Commands on declared objects: apply, diff, get, delete."""

from pathlib import Path

import click

from whinrack.cli._options import OUTPUT, PLATFORM, open_store
from whinrack.cli._output import fail, show, unwrap
from whinrack.exceptions import Conflict, InvalidObject, NotFound
from whinrack.objects import DECLARED_KINDS, load_declarations
from whinrack.operators import Change, ChangeKind, apply_change, plan_changes, read_declared_objects
from whinrack.store import ObjectStore

__all__ = ["apply", "delete", "diff", "get"]

_KIND = click.argument("kind", type=click.Choice(list(DECLARED_KINDS)))


@click.command()
@click.argument("folder", type=click.Path(exists=True, file_okay=False, path_type=Path))
@click.option("--dry-run", is_flag=True, help="Show what would change and write nothing.")
@click.option(
    "--read", type=int, metavar="REVISION", help="Refuse objects changed after this revision."
)
@PLATFORM
@OUTPUT
def apply(folder: Path, dry_run: bool, read: int | None, platform: str, output: str) -> None:
    """Write the declarations below FOLDER.

    \b
    Example:  whinrack apply declarations/ --dry-run
              whinrack apply declarations/ --read 1041
    """
    store = open_store(platform)
    changes, revision = _plan(store, folder)
    if read is not None:
        _refuse_changed(changes, read)
    if not dry_run:
        for change in changes:
            unwrap(apply_change(store, change))
    _show_changes(changes, revision, output)


@click.command()
@click.argument("folder", type=click.Path(exists=True, file_okay=False, path_type=Path))
@PLATFORM
@OUTPUT
def diff(folder: Path, platform: str, output: str) -> None:
    """Show how declarations differ from what is stored, and the revision that was read."""
    changes, revision = _plan(open_store(platform), folder)
    _show_changes(changes, revision, output)


@click.command()
@_KIND
@click.argument("name", required=False)
@PLATFORM
@OUTPUT
def get(kind: str, name: str | None, platform: str, output: str) -> None:
    """Show stored objects of a KIND, or the one called NAME."""
    snapshot = unwrap(open_store(platform).list((kind,)))
    found = [item for item in snapshot.objects if name in (None, item.name)]
    if name is not None and not found:
        fail(NotFound(f"{kind}/{name}"))
    lines = [
        f"{item.kind}/{item.name} @{item.version} {bytes(item.value).decode()}" for item in found
    ]
    show(found, output, "\n".join(lines))


@click.command()
@_KIND
@click.argument("name")
@click.option("--version", type=int, required=True, help="The version that was read.")
@PLATFORM
def delete(kind: str, name: str, version: int, platform: str) -> None:
    """Delete an object that is still at a version, as `get` shows it."""
    unwrap(open_store(platform).delete(kind, name, version))
    click.echo(f"deleted {kind}/{name}")


def _plan(store: ObjectStore, folder: Path) -> tuple[list[Change], int]:
    try:
        declarations = load_declarations(folder)
        snapshot = unwrap(read_declared_objects(store))
        return plan_changes(declarations, snapshot), snapshot.revision
    except InvalidObject as error:
        fail(error)


def _refuse_changed(changes: list[Change], read: int) -> None:
    for change in changes:
        if change.kind is not ChangeKind.UNCHANGED and change.version > read:
            name = f"{change.declaration.kind}/{change.declaration.name}"
            lines = _diff_lines(change)
            fail(Conflict("\n".join([f"{name} was changed after revision {read}:", *lines])))


def _show_changes(changes: list[Change], revision: int, output: str) -> None:
    lines = [f"read at revision {revision}"]
    for change in changes:
        name = f"{change.declaration.kind}/{change.declaration.name}"
        lines += [f"{change.kind:7} {name}", *_diff_lines(change)]
    show(changes, output, "\n".join(lines))


def _diff_lines(change: Change) -> list[str]:
    return [f"    {d.field}: {d.stored!r} -> {d.declared!r}" for d in change.fields]
