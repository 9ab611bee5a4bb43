"""The `whinrack` command."""

import sys

__all__ = ["main"]

_DAEMON_COMMAND = ["router", "run"]


def main() -> None:
    """Run the command line; a daemon is prepared before anything else is imported."""
    if sys.argv[1:3] == _DAEMON_COMMAND:
        from whinrack.green import monkey_patch

        monkey_patch()
    from whinrack.cli._main import main as command

    command(prog_name="whinrack")
