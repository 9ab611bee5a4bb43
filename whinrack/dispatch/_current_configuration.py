"""The configuration in force here; versions only rise."""

from collections.abc import Callable

from whinrack.dispatch._configuration import Configuration
from whinrack.dispatch._values import PoolRecord
from whinrack.exceptions import ConfigurationUnknown
from whinrack.http1 import ServerLimits

__all__ = ["CurrentConfiguration"]

_RETRY_SECONDS = 0.3


class CurrentConfiguration:
    """Holds the newest configuration that this run has met.

    Parameters
    ----------
    on_change : callable
        Called with each configuration that comes into force.
    """

    def __init__(self, on_change: Callable[[Configuration], None]):
        self.on_change = on_change
        self._current: Configuration | None = None

    @property
    def version(self) -> int:
        """The version in force, 0 if none is known."""
        return 0 if self._current is None else self._current.version

    @property
    def limits(self) -> ServerLimits:
        """The limits in force, or their defaults."""
        return ServerLimits() if self._current is None else self._current.limits

    @property
    def pools(self) -> list[PoolRecord]:
        """The pools in force, none if no configuration is known."""
        return [] if self._current is None else list(self._current.pools.values())

    def get(self) -> Configuration:
        """Return the configuration in force.

        Raises
        ------
        ConfigurationUnknown
        """
        if self._current is None:
            raise ConfigurationUnknown("no configuration is known yet", retry_after=_RETRY_SECONDS)
        return self._current

    def update(self, configuration: Configuration) -> bool:
        """Put a configuration in force unless a newer one is; True if it is new."""
        if configuration.version <= self.version:
            return False
        self._current = configuration
        self.on_change(configuration)
        return True
