"""Commands for routing programs, settings files and the daemon, run without platform options."""

import sys
import tomllib
from pathlib import Path

import click
import msgspec

from whinrack.cli._options import OUTPUT_OPTION
from whinrack.cli._output import exit_with_error, print_result, value_or_exit
from whinrack.exceptions import InvalidObject, WhinrackError
from whinrack.objects import RequestClass
from whinrack.routing import PoolFacts, RequestFacts, RoutingProgram
from whinrack.settings import Settings, load_settings

__all__ = ["policy", "router", "settings"]


@click.group()
def policy() -> None:
    """Check and try routing programs."""


@policy.command("check")
@click.argument("program", type=click.Path(exists=True, dir_okay=False, path_type=Path))
def policy_check(program: Path) -> None:
    """Compile a PROGRAM file and report errors."""
    _compile_program(program)
    click.echo("the routing program is valid")


@policy.command("try")
@click.argument("program", type=click.Path(exists=True, dir_okay=False, path_type=Path))
@click.argument("request", type=click.Path(exists=True, dir_okay=False, path_type=Path))
@OUTPUT_OPTION
def policy_try(program: Path, request: Path, output: str) -> None:
    """Run a PROGRAM file on a sample REQUEST (TOML) and print its decision.

    \b
    The file holds a table `request` and one table `pools.NAME` for each pool.
    """
    compiled = _compile_program(program)
    try:
        sample = tomllib.loads(request.read_text())
        pools = msgspec.convert(sample.get("pools", {}), dict[str, PoolFacts])
        request_values = {"workspace": "sample", "request_class": RequestClass.INTERACTIVE}
        request_values |= sample.get("request", {})
        facts = msgspec.convert(request_values, RequestFacts)
    except (tomllib.TOMLDecodeError, msgspec.ValidationError) as error:
        exit_with_error(InvalidObject(f"{request.name}: {error}"))
    decision = value_or_exit(compiled.decide(facts, pools))
    text = "\n".join(f"{name}: {getattr(decision, name)}" for name in decision.__struct_fields__)
    print_result(decision, output, text)


def _compile_program(path: Path) -> RoutingProgram:
    try:
        return RoutingProgram(path.read_text())
    except WhinrackError as error:
        exit_with_error(error)


@click.group()
def settings() -> None:
    """Check settings files of a router."""


@settings.command("check")
@click.argument("file", type=click.Path(exists=True, dir_okay=False, path_type=Path))
def settings_check(file: Path) -> None:
    """Validate a settings FILE."""
    _load_settings_file(file)
    click.echo("the settings file is valid")


@click.group()
def router() -> None:
    """Run the router daemon."""


@router.command("run")
@click.option(
    "--settings",
    "file",
    type=click.Path(exists=True, dir_okay=False, path_type=Path),
    required=True,
)
def router_run(file: Path) -> None:
    """Run a router until SIGTERM, which starts a graceful shutdown."""
    loaded = _load_settings_file(file)
    from whinrack.server import RouterDaemon

    sys.exit(RouterDaemon(loaded).run())


def _load_settings_file(file: Path) -> Settings:
    try:
        return load_settings(file)
    except WhinrackError as error:
        exit_with_error(error)
