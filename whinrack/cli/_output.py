"""How the command line shows results and failures."""

import sys
from typing import NoReturn

import click
import msgspec
from returns.result import Failure, Result

from whinrack.exceptions import (
    Conflict,
    InvalidObject,
    InvalidSettings,
    NotFound,
    PlatformUnavailable,
    PolicyFailure,
    RateExceeded,
    WhinrackError,
    WriteUnknown,
)

__all__ = ["EXIT_CODES", "fail", "show", "unwrap"]

# Documented in docs/operators.md; 2 is click's own for wrong usage.
EXIT_CODES: dict[type[WhinrackError], int] = {
    WhinrackError: 1,
    Conflict: 3,
    InvalidObject: 4,
    InvalidSettings: 4,
    PolicyFailure: 4,
    PlatformUnavailable: 5,
    RateExceeded: 5,
    WriteUnknown: 6,
    NotFound: 7,
}


def fail(error: WhinrackError) -> NoReturn:
    """Show a failure and end with its exit code."""
    click.echo(f"{error.code}: {error.message}", err=True)
    sys.exit(EXIT_CODES.get(type(error), 1))


def unwrap(result: Result):
    """Return a result's value, or show its failure and end."""
    if isinstance(result, Failure):
        fail(result.failure())
    return result.unwrap()


def show(value: object, output: str, text: str) -> None:
    """Print a value as JSON, or its text form."""
    if output == "json":
        click.echo(msgspec.json.format(msgspec.json.encode(value), indent=2).decode())
    else:
        click.echo(text)
