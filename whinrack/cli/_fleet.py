"""Commands for the fleet: status of routers, and draining of target instances."""

import click
import msgspec

from whinrack.cli._options import FLEET_KEY_OPTION, OUTPUT_OPTION, PLATFORM_OPTION, open_store
from whinrack.cli._output import print_result, value_or_exit
from whinrack.objects import Declaration, Target, TargetState
from whinrack.operators import Change, ChangeKind, RouterRow, apply_change, read_fleet_status

__all__ = ["instance", "status"]


@click.command()
@PLATFORM_OPTION
@FLEET_KEY_OPTION
@OUTPUT_OPTION
def status(platform: str, fleet_key: str, output: str) -> None:
    """Show the status of each router: configuration version, leaving targets, tokens held."""
    rows = value_or_exit(read_fleet_status(open_store(platform), fleet_key))
    lines = []
    for row in rows:
        if row.status is None:
            lines.append(f"{row.name} {row.address} {row.listed_as}: no response")
            continue
        state = row.status
        held_tokens = sum(grant.spendable + grant.open_cover for grant in state.grants)
        lines.append(
            f"{row.name} {row.address} {'leaving' if state.leaving else 'serving'} "
            f"newest={state.newest} in_progress={state.requests_in_progress} "
            f"tokens_held={held_tokens} leaving_targets={','.join(state.leaving_targets) or '-'}"
        )
    newest_versions = [row.status.newest for row in rows if row.status is not None]
    if newest_versions:
        lines.append(
            f"in effect on all responding routers: {min(newest_versions)}" + _unreachable_note(rows)
        )
    print_result(rows, output, "\n".join(lines))


def _unreachable_note(rows: list[RouterRow]) -> str:
    unreachable = [row.name for row in rows if row.status is None]
    return f" (no response: {', '.join(unreachable)})" if unreachable else ""


@click.group()
def instance() -> None:
    """Manage instances that run targets."""


@instance.command("drain")
@click.argument("name")
@PLATFORM_OPTION
def instance_drain(name: str, platform: str) -> None:
    """Mark all targets on instance NAME as leaving; they finish requests but get no new ones."""
    store = open_store(platform)
    snapshot = value_or_exit(store.list(("Target",)))
    drained = 0
    for item in snapshot.objects:
        spec = msgspec.json.decode(item.value, type=Target)
        if spec.instance != name or spec.state is TargetState.LEAVING:
            continue
        leaving = msgspec.structs.replace(spec, state=TargetState.LEAVING)
        declaration = Declaration("Target", item.name, leaving)
        value_or_exit(apply_change(store, Change(ChangeKind.UPDATE, declaration, item.version)))
        drained += 1
    click.echo(f"{drained} targets on {name} are leaving")
