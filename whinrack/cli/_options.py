"""Options that several commands share, and what they stand for."""

import click

from whinrack.store import HttpObjectStore, ObjectStore

__all__ = ["FLEET_KEY", "OUTPUT", "PLATFORM", "open_store"]

_RATE = 200.0
_TIMEOUT = 5.0
_LONGEST_WAIT = 60.0

OUTPUT = click.option(
    "--output", type=click.Choice(["text", "json"]), default="text", help="Form of the output."
)
PLATFORM = click.option(
    "--platform",
    envvar="WHINRACK_PLATFORM",
    required=True,
    metavar="HOST:PORT",
    help="The platform's object API; or set WHINRACK_PLATFORM.",
)
FLEET_KEY = click.option(
    "--fleet-key",
    envvar="WHINRACK_FLEET_KEY",
    required=True,
    help="The fleet's key; better set WHINRACK_FLEET_KEY.",
)


def open_store(address: str) -> ObjectStore:
    """Return the platform's object API for one command."""
    return HttpObjectStore(address, timeout=_TIMEOUT, rate=_RATE, max_wait=_LONGEST_WAIT)
