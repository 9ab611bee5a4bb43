"""Configuration objects in force, received from the platform or from peers."""

from whinrack.feed._config_store import ConfigStore, ConfigView

__all__ = ["ConfigStore", "ConfigView"]
