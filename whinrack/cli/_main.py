"""The command line; each command is thin over the library."""

import secrets
import sys
import tomllib
from pathlib import Path

import click
import msgspec
from returns.result import Failure

from whinrack import __version__
from whinrack.cli._output import fail, show, unwrap
from whinrack.exceptions import Conflict, InvalidObject, NotFound, WhinrackError
from whinrack.objects import (
    DECLARED_KINDS,
    Declaration,
    RequestClass,
    Target,
    TargetState,
    load_declarations,
    make_key,
)
from whinrack.operators import (
    Change,
    ChangeKind,
    apply_change,
    budget_books,
    fleet_status,
    plan_changes,
    read_bills,
    read_snapshot,
    release_grant,
    top_up,
)
from whinrack.platform import HttpObjectStore, ObjectStore
from whinrack.routing import PoolFacts, RequestFacts, RoutingProgram
from whinrack.settings import load_settings

__all__ = ["main"]

_CLI_RATE = 200.0
_OUTPUT = click.option(
    "--output", type=click.Choice(["text", "json"]), default="text", help="Form of the output."
)
_PLATFORM = click.option(
    "--platform",
    envvar="WHINRACK_PLATFORM",
    required=True,
    metavar="HOST:PORT",
    help="The platform's object API; or set WHINRACK_PLATFORM.",
)
_FLEET_KEY = click.option(
    "--fleet-key",
    envvar="WHINRACK_FLEET_KEY",
    required=True,
    help="The fleet's key; better set WHINRACK_FLEET_KEY.",
)
_KIND = click.argument("kind", type=click.Choice(list(DECLARED_KINDS)))


def _store(address: str) -> ObjectStore:
    return HttpObjectStore(address, timeout=5.0, rate=_CLI_RATE, longest_wait=60.0)


@click.group(epilog="Exit codes are listed in docs/operators.md.")
@click.version_option(__version__)
def main() -> None:
    """Whinrack: a router fleet for prepaid token budgets.

    \b
    Shell completion:  eval "$(_WHINRACK_COMPLETE=bash_source whinrack)"
    """


# --- declarations --------------------------------------------------------------------


@main.command()
@click.argument("folder", type=click.Path(exists=True, file_okay=False, path_type=Path))
@click.option("--dry-run", is_flag=True, help="Show what would change and write nothing.")
@click.option(
    "--read", type=int, metavar="REVISION", help="Refuse objects changed after this revision."
)
@_PLATFORM
@_OUTPUT
def apply(folder: Path, dry_run: bool, read: int | None, platform: str, output: str) -> None:
    """Write the declarations below FOLDER.

    \b
    Example:  whinrack apply declarations/ --dry-run
              whinrack apply declarations/ --read 1041
    """
    store = _store(platform)
    changes, revision = _plan(store, folder)
    if read is not None:
        _refuse_changed(changes, read)
    if not dry_run:
        for change in changes:
            unwrap(apply_change(store, change))
    _show_changes(changes, revision, output)


@main.command()
@click.argument("folder", type=click.Path(exists=True, file_okay=False, path_type=Path))
@_PLATFORM
@_OUTPUT
def diff(folder: Path, platform: str, output: str) -> None:
    """Show how declarations differ from what is stored, and the revision that was read."""
    changes, revision = _plan(_store(platform), folder)
    _show_changes(changes, revision, output)


@main.command()
@_KIND
@click.argument("name", required=False)
@_PLATFORM
@_OUTPUT
def get(kind: str, name: str | None, platform: str, output: str) -> None:
    """Show stored objects of a KIND, or the one called NAME."""
    snapshot = unwrap(_store(platform).list((kind,)))
    found = [item for item in snapshot.objects if name in (None, item.name)]
    if name is not None and not found:
        fail(NotFound(f"{kind}/{name}"))
    lines = [
        f"{item.kind}/{item.name} @{item.version} {bytes(item.value).decode()}" for item in found
    ]
    show(found, output, "\n".join(lines))


@main.command()
@_KIND
@click.argument("name")
@click.option("--version", type=int, required=True, help="The version that was read.")
@_PLATFORM
def delete(kind: str, name: str, version: int, platform: str) -> None:
    """Delete an object that is still at a version, as `get` shows it."""
    unwrap(_store(platform).delete(kind, name, version))
    click.echo(f"deleted {kind}/{name}")


def _plan(store: ObjectStore, folder: Path) -> tuple[list[Change], int]:
    try:
        declarations = load_declarations(folder)
        snapshot = unwrap(read_snapshot(store))
        return plan_changes(declarations, snapshot), snapshot.revision
    except InvalidObject as error:
        fail(error)


def _refuse_changed(changes: list[Change], read: int) -> None:
    for change in changes:
        if change.kind is not ChangeKind.SAME and change.version > read:
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


# --- the fleet -----------------------------------------------------------------------


@main.command()
@_PLATFORM
@_FLEET_KEY
@_OUTPUT
def status(platform: str, fleet_key: str, output: str) -> None:
    """Show each router: versions in force, leaving targets, tokens held."""
    rows = unwrap(fleet_status(_store(platform), fleet_key))
    lines = []
    for row in rows:
        if row.status is None:
            lines.append(f"{row.name} {row.address} {row.listed_as}: no answer")
            continue
        state = row.status
        held = sum(grant.spendable + grant.open_cover for grant in state.grants)
        lines.append(
            f"{row.name} {row.address} {'leaving' if state.leaving else 'serving'} "
            f"newest={state.newest} in_progress={state.requests_in_progress} "
            f"tokens_held={held} leaving_targets={','.join(state.leaving_targets) or '-'}"
        )
    reached = [row.status.newest for row in rows if row.status is not None]
    if reached:
        lines.append(f"in force everywhere: {min(reached)}" + _behind(rows))
    show(rows, output, "\n".join(lines))


def _behind(rows) -> str:
    silent = [row.name for row in rows if row.status is None]
    return f" (not heard: {', '.join(silent)})" if silent else ""


@main.group()
def instance() -> None:
    """Instances of targets."""


@instance.command("drain")
@click.argument("name")
@_PLATFORM
def instance_drain(name: str, platform: str) -> None:
    """Mark every target on instance NAME as leaving: no new work, work in progress ends."""
    store = _store(platform)
    snapshot = unwrap(store.list(("Target",)))
    drained = 0
    for item in snapshot.objects:
        spec = msgspec.json.decode(item.value, type=Target)
        if spec.instance != name or spec.state is TargetState.LEAVING:
            continue
        leaving = msgspec.structs.replace(spec, state=TargetState.LEAVING)
        declaration = Declaration("Target", item.name, leaving)
        unwrap(apply_change(store, Change(ChangeKind.UPDATE, declaration, item.version)))
        drained += 1
    click.echo(f"{drained} targets on {name} are leaving")


# --- budgets, bills and keys ---------------------------------------------------------


@main.group()
def budget() -> None:
    """Prepaid budgets."""


@budget.command("show")
@click.argument("name")
@_PLATFORM
@_OUTPUT
def budget_show(name: str, platform: str, output: str) -> None:
    """Show a budget's books; a holder marked `gone` isn't on the instance list."""
    books = unwrap(budget_books(_store(platform), name))
    lines = [
        f"{books.budget}: limit {books.limit} = billed {books.billed} + unproven "
        f"{books.unproven} + outstanding {books.outstanding} + free {books.free}"
    ]
    for row in books.holders:
        state = "closed" if row.closed else "listed" if row.listed else "gone"
        lines.append(
            f"  {row.holder} {state} outstanding={row.outstanding} billed={row.billed} "
            f"unproven={row.unproven}"
        )
    show(books, output, "\n".join(lines))


@budget.command("topup")
@click.argument("name")
@click.argument("tokens", type=click.IntRange(1, 10**15))
@click.option("--id", "payment", help="Payment id; repeating it pays once. Default: a new one.")
@_PLATFORM
def budget_topup(name: str, tokens: int, payment: str | None, platform: str) -> None:
    """Pay TOKENS into budget NAME.

    \b
    Example:  whinrack budget topup clachan 500000 --id 2026-12-invoice-7
    """
    payment = payment or secrets.token_hex(8)
    result = top_up(_store(platform), name, payment, tokens)
    if isinstance(result, Failure):
        click.echo(f"payment id {payment}; repeat the command with it", err=True)
    entry = unwrap(result)
    click.echo(f"{name}: limit {entry.limit}, payment id {payment}")


@budget.command("release")
@click.argument("name")
@click.option("--holder", required=True, help="The incarnation that is gone for good.")
@click.option(
    "--served",
    type=click.IntRange(0),
    help="Tokens known to be spent; the rest becomes free. Default: all stay out of use.",
)
@click.confirmation_option(prompt="Is this incarnation gone for good?")
@_PLATFORM
def budget_release(name: str, holder: str, served: int | None, platform: str) -> None:
    """Release what a killed incarnation holds of budget NAME.

    Without --served nothing becomes spendable: the tokens are only booked as unproven.
    Tokens that are given back though their holder still lives could be spent twice.
    """
    entry = unwrap(release_grant(_store(platform), name, holder, served))
    click.echo(f"{name}: free {entry.free}, unproven {entry.unproven}")


@main.command()
@_PLATFORM
@_OUTPUT
def bill(platform: str, output: str) -> None:
    """Show each workspace's bill: every request once, however often it ran."""
    bills = unwrap(read_bills(_store(platform)))
    lines = [
        f"{name}: {row.requests} requests, {row.tokens} tokens"
        f" ({row.duplicate_tokens} of further runs not billed)"
        for name, row in sorted(bills.items())
    ]
    show(bills, output, "\n".join(lines))


@main.group()
def key() -> None:
    """Bearer keys."""


@key.command("create")
@click.argument("name")
@click.option("--workspace", required=True)
@click.option("--budget", "budget_name", required=True)
@click.option("--declaration", type=click.Path(path_type=Path), required=True)
def key_create(name: str, workspace: str, budget_name: str, declaration: Path) -> None:
    """Make a key: prints it once and writes its declaration, which holds no secret.

    \b
    Example:  whinrack key create bench --workspace clachan --budget clachan \\
                  --declaration declarations/key-bench.toml
    """
    bearer, spec = make_key(name, workspace, budget_name)
    fields = "\n".join(f'{field} = "{getattr(spec, field)}"' for field in spec.__struct_fields__)
    declaration.write_text(f'kind = "ApiKey"\nname = "{name}"\n\n[spec]\n{fields}\n')
    click.echo(bearer)


# --- policies and settings -----------------------------------------------------------


@main.group()
def policy() -> None:
    """Routing programs."""


@policy.command("check")
@click.argument("program", type=click.Path(exists=True, dir_okay=False, path_type=Path))
def policy_check(program: Path) -> None:
    """Compile a PROGRAM file and say whether it is in order."""
    _compile(program)
    click.echo("in order")


@policy.command("try")
@click.argument("program", type=click.Path(exists=True, dir_okay=False, path_type=Path))
@click.argument("request", type=click.Path(exists=True, dir_okay=False, path_type=Path))
@_OUTPUT
def policy_try(program: Path, request: Path, output: str) -> None:
    """Run a PROGRAM file for a sample REQUEST, a TOML file, outside the fleet.

    \b
    The file holds a table `request` and one table `pools.NAME` for each pool.
    """
    compiled = _compile(program)
    try:
        sample = tomllib.loads(request.read_text())
        pools = msgspec.convert(sample.get("pools", {}), dict[str, PoolFacts])
        plain = {"workspace": "sample", "request_class": RequestClass.INTERACTIVE}
        plain |= sample.get("request", {})
        facts = msgspec.convert(plain, RequestFacts)
    except (tomllib.TOMLDecodeError, msgspec.ValidationError) as error:
        fail(InvalidObject(f"{request.name}: {error}"))
    decision = unwrap(compiled.decide(facts, pools))
    text = "\n".join(f"{name}: {getattr(decision, name)}" for name in decision.__struct_fields__)
    show(decision, output, text)


def _compile(path: Path) -> RoutingProgram:
    try:
        return RoutingProgram(path.read_text())
    except WhinrackError as error:
        fail(error)


@main.group()
def settings() -> None:
    """Settings of a router."""


@settings.command("check")
@click.argument("file", type=click.Path(exists=True, dir_okay=False, path_type=Path))
def settings_check(file: Path) -> None:
    """Check every key of a settings FILE."""
    _load(file)
    click.echo("in order")


@main.group()
def router() -> None:
    """The router daemon."""


@router.command("run")
@click.option(
    "--settings",
    "file",
    type=click.Path(exists=True, dir_okay=False, path_type=Path),
    required=True,
)
def router_run(file: Path) -> None:
    """Run one router until SIGTERM, which is a planned stop."""
    loaded = _load(file)
    from whinrack.server import RouterDaemon

    sys.exit(RouterDaemon(loaded).run())


def _load(file: Path):
    try:
        return load_settings(file)
    except WhinrackError as error:
        fail(error)
