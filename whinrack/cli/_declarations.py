"""Commands for declared objects: apply, diff, get, delete."""

from pathlib import Path

import click

from whinrack.cli._options import OUTPUT_OPTION, PLATFORM_OPTION, open_store
from whinrack.cli._output import exit_with_error, print_result, value_or_exit
from whinrack.exceptions import Conflict, InvalidObject, NotFound
from whinrack.objects import DECLARED_KINDS, load_declarations
from whinrack.operators import Change, ChangeKind, apply_change, plan_changes, read_declared_objects
from whinrack.store import ObjectStore

__all__ = ["apply", "delete", "diff", "get"]

_KIND_ARGUMENT = click.argument("kind", type=click.Choice(list(DECLARED_KINDS)))


@click.command()
@click.argument("folder", type=click.Path(exists=True, file_okay=False, path_type=Path))
@click.option("--dry-run", is_flag=True, help="Show the changes without writing them.")
@click.option(
    "--read",
    type=int,
    metavar="REVISION",
    help="Fail if an object to be updated was changed after this revision.",
)
@PLATFORM_OPTION
@OUTPUT_OPTION
def apply(folder: Path, dry_run: bool, read: int | None, platform: str, output: str) -> None:
    """Write the declarations in FOLDER and its subfolders to the platform.

    \b
    Example:  whinrack apply declarations/ --dry-run
              whinrack apply declarations/ --read 1041
    """
    store = open_store(platform)
    changes, revision = _plan_folder(store, folder)
    if read is not None:
        _reject_changed_after(changes, read)
    if not dry_run:
        for change in changes:
            value_or_exit(apply_change(store, change))
    _print_changes(changes, revision, output)


@click.command()
@click.argument("folder", type=click.Path(exists=True, file_okay=False, path_type=Path))
@PLATFORM_OPTION
@OUTPUT_OPTION
def diff(folder: Path, platform: str, output: str) -> None:
    """Show the differences between declarations in FOLDER and stored objects, and the revision."""
    changes, revision = _plan_folder(open_store(platform), folder)
    _print_changes(changes, revision, output)


@click.command()
@_KIND_ARGUMENT
@click.argument("name", required=False)
@PLATFORM_OPTION
@OUTPUT_OPTION
def get(kind: str, name: str | None, platform: str, output: str) -> None:
    """Show all stored objects of a KIND, or the one named NAME."""
    snapshot = value_or_exit(open_store(platform).list((kind,)))
    selected = [item for item in snapshot.objects if name in (None, item.name)]
    if name is not None and not selected:
        exit_with_error(NotFound(f"{kind}/{name}"))
    lines = [
        f"{item.kind}/{item.name} @{item.version} {bytes(item.value).decode()}" for item in selected
    ]
    print_result(selected, output, "\n".join(lines))


@click.command()
@_KIND_ARGUMENT
@click.argument("name")
@click.option(
    "--version", type=int, required=True, help="Version of the object, as `get` shows it."
)
@PLATFORM_OPTION
def delete(kind: str, name: str, version: int, platform: str) -> None:
    """Delete an object if it is still at the given version."""
    value_or_exit(open_store(platform).delete(kind, name, version))
    click.echo(f"deleted {kind}/{name}")


def _plan_folder(store: ObjectStore, folder: Path) -> tuple[list[Change], int]:
    try:
        declarations = load_declarations(folder)
        snapshot = value_or_exit(read_declared_objects(store))
        return plan_changes(declarations, snapshot), snapshot.revision
    except InvalidObject as error:
        exit_with_error(error)


def _reject_changed_after(changes: list[Change], revision: int) -> None:
    for change in changes:
        if change.kind is not ChangeKind.UNCHANGED and change.version > revision:
            name = f"{change.declaration.kind}/{change.declaration.name}"
            lines = _diff_lines(change)
            exit_with_error(
                Conflict("\n".join([f"{name} was changed after revision {revision}:", *lines]))
            )


def _print_changes(changes: list[Change], revision: int, output: str) -> None:
    lines = [f"read at revision {revision}"]
    for change in changes:
        name = f"{change.declaration.kind}/{change.declaration.name}"
        lines += [f"{change.kind:7} {name}", *_diff_lines(change)]
    print_result(changes, output, "\n".join(lines))


def _diff_lines(change: Change) -> list[str]:
    return [
        f"    {field_diff.field}: {field_diff.stored!r} -> {field_diff.declared!r}"
        for field_diff in change.fields
    ]
