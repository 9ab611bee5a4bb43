"""Command line interface: the `whinrack` command."""

import sys

__all__ = ["main"]

_DAEMON_COMMAND = ["router", "run"]


def main() -> None:
    """Run the command line.

    For a daemon, eventlet patches the standard library before other modules import it.
    """
    if sys.argv[1:3] == _DAEMON_COMMAND:
        from whinrack.green import monkey_patch

        monkey_patch()
    from whinrack.cli._main import main as command

    command(prog_name="whinrack")
