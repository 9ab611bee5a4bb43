"""Output of results and errors, and exit codes."""

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

__all__ = ["EXIT_CODES", "exit_with_error", "print_result", "value_or_exit"]

# Documented in docs/operators.md; click itself uses 2 for usage errors.
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


def exit_with_error(error: WhinrackError) -> NoReturn:
    """Print an error to standard error and exit with its exit code."""
    click.echo(f"{error.code}: {error.message}", err=True)
    sys.exit(EXIT_CODES.get(type(error), 1))


def value_or_exit(result: Result):
    """Return the value of a result, or print its failure and exit."""
    if isinstance(result, Failure):
        exit_with_error(result.failure())
    return result.unwrap()


def print_result(value: object, output_format: str, text: str) -> None:
    """Print `value` as JSON if the output format is ``json``, else print `text`."""
    if output_format == "json":
        click.echo(msgspec.json.format(msgspec.json.encode(value), indent=2).decode())
    else:
        click.echo(text)
