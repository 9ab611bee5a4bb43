"""Configuration: taken from the platform or from peers, and followed."""

from whinrack.feed._config_store import ConfigStore, ConfigView

__all__ = ["ConfigStore", "ConfigView"]
