"""Edge daemon: serves declared routes to callers and exchanges state with its peers."""

from whinrack.edge._daemon import EdgeDaemon
from whinrack.edge._endpoints import AuxiliaryEndpoints
from whinrack.edge._options import EdgeOptions
from whinrack.edge._readers import ConfigurationReader, HallReader, TargetReader

__all__ = [
    "AuxiliaryEndpoints",
    "ConfigurationReader",
    "EdgeDaemon",
    "EdgeOptions",
    "HallReader",
    "TargetReader",
]
