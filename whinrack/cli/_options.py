"""Options shared by several commands, and the store client they configure."""

import click

from whinrack.store import HttpObjectStore, ObjectStore

__all__ = ["FLEET_KEY_OPTION", "OUTPUT_OPTION", "PLATFORM_OPTION", "open_store"]

_CALLS_PER_SECOND = 200.0
_TIMEOUT_SECONDS = 5.0
_MAX_WAIT_SECONDS = 60.0

OUTPUT_OPTION = click.option(
    "--output", type=click.Choice(["text", "json"]), default="text", help="Output format."
)
PLATFORM_OPTION = click.option(
    "--platform",
    envvar="WHINRACK_PLATFORM",
    required=True,
    metavar="HOST:PORT",
    help="Address of the platform's object API. Environment variable: WHINRACK_PLATFORM.",
)
FLEET_KEY_OPTION = click.option(
    "--fleet-key",
    envvar="WHINRACK_FLEET_KEY",
    required=True,
    help="Key of the fleet. Prefer the environment variable WHINRACK_FLEET_KEY.",
)


def open_store(address: str) -> ObjectStore:
    """Return a client of the platform's object API."""
    return HttpObjectStore(
        address, timeout=_TIMEOUT_SECONDS, rate=_CALLS_PER_SECOND, max_wait=_MAX_WAIT_SECONDS
    )
