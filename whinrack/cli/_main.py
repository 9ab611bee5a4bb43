"""Root command; subcommands only parse options, call the library and print results."""

import click

from whinrack import __version__
from whinrack.cli._accounts import bill, budget, key
from whinrack.cli._configuration import configuration
from whinrack.cli._declarations import apply, delete, diff, get
from whinrack.cli._fleet import instance, status
from whinrack.cli._local import policy, router, settings
from whinrack.cli._quarantine import quarantine

__all__ = ["main"]


@click.group(epilog="Exit codes are listed in docs/operators.md.")
@click.version_option(__version__)
def main() -> None:
    """Whinrack: a router fleet for prepaid token budgets.

    \b
    Shell completion:  eval "$(_WHINRACK_COMPLETE=bash_source whinrack)"
    """


for command in (
    *(apply, diff, get, delete),
    *(status, instance),
    *(budget, bill, key),
    *(policy, settings, router),
    configuration,
    quarantine,
):
    main.add_command(command)
