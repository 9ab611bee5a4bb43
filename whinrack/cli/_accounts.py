"""Commands on budgets, bills and keys."""

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
    """Prepaid budgets."""


@budget.command("show")
@click.argument("name")
@PLATFORM_OPTION
@OUTPUT_OPTION
def budget_show(name: str, platform: str, output: str) -> None:
    """Show a budget's books; a holder marked `gone` isn't on the instance list."""
    books = value_or_exit(read_budget_balance(open_store(platform), name))
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
    print_result(books, output, "\n".join(lines))


@budget.command("topup")
@click.argument("name")
@click.argument("tokens", type=click.IntRange(1, 10**15))
@click.option("--id", "payment", help="Payment id; repeating it pays once. Default: a new one.")
@PLATFORM_OPTION
def budget_topup(name: str, tokens: int, payment: str | None, platform: str) -> None:
    """Pay TOKENS into budget NAME.

    \b
    Example:  whinrack budget topup clachan 500000 --id 2026-12-invoice-7
    """
    payment = payment or secrets.token_hex(8)
    result = top_up(open_store(platform), name, payment, tokens)
    if isinstance(result, Failure):
        click.echo(f"payment id {payment}; repeat the command with it", err=True)
    entry = value_or_exit(result)
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
@PLATFORM_OPTION
def budget_release(name: str, holder: str, served: int | None, platform: str) -> None:
    """Release what a killed incarnation holds of budget NAME.

    Without --served nothing becomes spendable: the tokens are only booked as unproven.
    Tokens that are given back though their holder still lives could be spent twice.
    """
    entry = value_or_exit(release_grant(open_store(platform), name, holder, served))
    click.echo(f"{name}: free {entry.free}, unproven {entry.unproven}")


@click.command()
@PLATFORM_OPTION
@OUTPUT_OPTION
def bill(platform: str, output: str) -> None:
    """Show each workspace's bill: every request once, however often it ran."""
    bills = value_or_exit(read_bills(open_store(platform)))
    lines = [
        f"{name}: {row.requests} requests, {row.tokens} tokens"
        f" ({row.duplicate_tokens} of further runs not billed)"
        for name, row in sorted(bills.items())
    ]
    print_result(bills, output, "\n".join(lines))


@click.group()
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
