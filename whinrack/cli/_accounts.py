"""Commands for budgets, bills and API keys."""

import secrets
from pathlib import Path

import click
from returns.result import Failure

from whinrack.cli._options import OUTPUT_OPTION, PLATFORM_OPTION, open_store
from whinrack.cli._output import print_result, value_or_exit
from whinrack.objects import make_key
from whinrack.operators import read_bills, read_budget_balance, release_grant, top_up

__all__ = ["bill", "budget", "key"]


@click.group()
def budget() -> None:
    """Show, top up and release prepaid budgets."""


@budget.command("show")
@click.argument("name")
@PLATFORM_OPTION
@OUTPUT_OPTION
def budget_show(name: str, platform: str, output: str) -> None:
    """Show the token balance of budget NAME; holders marked `gone` are not in the instance list."""
    balance = value_or_exit(read_budget_balance(open_store(platform), name))
    lines = [
        f"{balance.budget}: limit {balance.limit} = billed {balance.billed} + unproven "
        f"{balance.unproven} + outstanding {balance.outstanding} + free {balance.free}"
    ]
    for row in balance.holders:
        state = "closed" if row.closed else "listed" if row.listed else "gone"
        lines.append(
            f"  {row.holder} {state} outstanding={row.outstanding} billed={row.billed} "
            f"unproven={row.unproven}"
        )
    print_result(balance, output, "\n".join(lines))


@budget.command("topup")
@click.argument("name")
@click.argument("tokens", type=click.IntRange(1, 10**15))
@click.option(
    "--id", "payment", help="Payment id; a repeated id is applied once. Default: a new id."
)
@PLATFORM_OPTION
def budget_topup(name: str, tokens: int, payment: str | None, platform: str) -> None:
    """Add TOKENS to budget NAME.

    \b
    Example:  whinrack budget topup clachan 500000 --id 2026-12-invoice-7
    """
    payment = payment or secrets.token_hex(8)
    result = top_up(open_store(platform), name, payment, tokens)
    if isinstance(result, Failure):
        click.echo(f"to retry, repeat the command with --id {payment}", err=True)
    entry = value_or_exit(result)
    click.echo(f"{name}: limit {entry.limit}, payment id {payment}")


@budget.command("release")
@click.argument("name")
@click.option(
    "--holder", required=True, help="The incarnation that no longer runs and cannot resume."
)
@click.option(
    "--served",
    type=click.IntRange(0),
    help="Tokens known to be spent; the rest becomes free. Default: all are booked as unproven.",
)
@click.confirmation_option(prompt="Is it certain that this incarnation cannot resume?")
@PLATFORM_OPTION
def budget_release(name: str, holder: str, served: int | None, platform: str) -> None:
    """Release the tokens of budget NAME that a terminated incarnation holds.

    Without --served no tokens become free: all are booked as unproven.
    If the holder still runs, tokens that become free can be spent twice.
    """
    entry = value_or_exit(release_grant(open_store(platform), name, holder, served))
    click.echo(f"{name}: free {entry.free}, unproven {entry.unproven}")


@click.command()
@PLATFORM_OPTION
@OUTPUT_OPTION
def bill(platform: str, output: str) -> None:
    """Show the bill of each workspace; a request that ran several times is billed once."""
    bills = value_or_exit(read_bills(open_store(platform)))
    lines = [
        f"{name}: {row.requests} requests, {row.tokens} tokens"
        f" ({row.duplicate_tokens} of further runs not billed)"
        for name, row in sorted(bills.items())
    ]
    print_result(bills, output, "\n".join(lines))


@click.group()
def key() -> None:
    """Create API keys."""


@key.command("create")
@click.argument("name")
@click.option("--workspace", required=True)
@click.option("--budget", "budget_name", required=True)
@click.option("--declaration", type=click.Path(path_type=Path), required=True)
def key_create(name: str, workspace: str, budget_name: str, declaration: Path) -> None:
    """Create a key, print it once and write its declaration, which contains no secret.

    \b
    Example:  whinrack key create bench --workspace clachan --budget clachan \\
                  --declaration declarations/key-bench.toml
    """
    bearer, spec = make_key(name, workspace, budget_name)
    fields = "\n".join(f'{field} = "{getattr(spec, field)}"' for field in spec.__struct_fields__)
    declaration.write_text(f'kind = "ApiKey"\nname = "{name}"\n\n[spec]\n{fields}\n')
    click.echo(bearer)
