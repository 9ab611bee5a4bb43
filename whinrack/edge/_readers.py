"""Interfaces for reading stored objects, implemented by an adapter."""

from whinrack.dispatch import Configuration, TargetRecord
from whinrack.store import StoredObject

__all__ = ["ConfigurationReader", "HallReader", "TargetReader", "truncate_for_log"]

# Maximum length of foreign text in a log line.
_MAX_LOGGED_CHARACTERS = 200


class ConfigurationReader:
    """Reads the stored configuration."""

    kind: str
    name: str

    def read(self, stored: StoredObject) -> Configuration:
        """Parse the configuration of an object.

        Raises
        ------
        InvalidObject
        """
        raise NotImplementedError


class TargetReader:
    """Reads the stored records of targets."""

    kind: str

    def read(self, stored: StoredObject) -> TargetRecord:
        """Parse the target record of an object.

        Raises
        ------
        InvalidObject
        """
        raise NotImplementedError


class HallReader:
    """Reads the stored entries of emptied data halls."""

    kind: str

    def read(self, stored: StoredObject) -> str:
        """Return the name of the data hall that an object marks as emptied.

        Raises
        ------
        InvalidObject
        """
        raise NotImplementedError


def truncate_for_log(text: str) -> str:
    """Return the beginning of a foreign text, for a log line."""
    return text[:_MAX_LOGGED_CHARACTERS]
