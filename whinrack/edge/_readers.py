"""What translates stored objects into the product's values; an adapter implements it."""

from whinrack.dispatch import Configuration, TargetRecord
from whinrack.store import StoredObject

__all__ = ["ConfigurationReader", "HallReader", "TargetReader", "truncate_for_log"]

# Letters of other writers' text that a log line shows.
_MAX_LOGGED_CHARACTERS = 200


class ConfigurationReader:
    """Translates the stored configuration."""

    kind: str
    name: str

    def read(self, stored: StoredObject) -> Configuration:
        """Return the configuration that an object holds.

        Raises
        ------
        InvalidObject
        """
        raise NotImplementedError


class TargetReader:
    """Translates the stored records of targets."""

    kind: str

    def read(self, stored: StoredObject) -> TargetRecord:
        """Return the record that an object holds.

        Raises
        ------
        InvalidObject
        """
        raise NotImplementedError


class HallReader:
    """Translates the stored entries of data halls that are emptied."""

    kind: str

    def read(self, stored: StoredObject) -> str:
        """Return the data hall that an object empties.

        Raises
        ------
        InvalidObject
        """
        raise NotImplementedError


def truncate_for_log(text: str) -> str:
    """Return the beginning of a text that others wrote, for a log line."""
    return text[:_MAX_LOGGED_CHARACTERS]
