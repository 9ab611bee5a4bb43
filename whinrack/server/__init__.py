"""The daemon: its callers' side, its peers' side and its background tasks."""

from whinrack.server._daemon import RouterDaemon

__all__ = ["RouterDaemon"]
