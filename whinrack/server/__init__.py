"""The router daemon: HTTP endpoints, peer handlers and background tasks."""

from whinrack.server._daemon import RouterDaemon

__all__ = ["RouterDaemon"]
