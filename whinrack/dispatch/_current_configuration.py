"""The configuration that this instance currently uses; its version only increases."""

from collections.abc import Callable

from whinrack.dispatch._configuration import Configuration
from whinrack.dispatch._route_history import RouteHistory
from whinrack.dispatch._values import PoolRecord
from whinrack.exceptions import ConfigurationUnknown
from whinrack.http1 import ServerLimits

__all__ = ["CurrentConfiguration"]

_RETRY_SECONDS = 0.3


class CurrentConfiguration:
    """Holds the newest configuration that this process has received.

    Parameters
    ----------
    on_change : callable
        Called with each configuration that takes effect.

    Attributes
    ----------
    route_history : RouteHistory
        Where the configurations of this process have routed requests.
    """

    def __init__(self, on_change: Callable[[Configuration], None]):
        self.on_change = on_change
        self.route_history = RouteHistory()
        self._current: Configuration | None = None

    @property
    def version(self) -> int:
        """Version of the current configuration, 0 if none is known."""
        return 0 if self._current is None else self._current.version

    @property
    def limits(self) -> ServerLimits:
        """Limits of the current configuration, or the defaults if none is known."""
        return ServerLimits() if self._current is None else self._current.limits

    @property
    def pools(self) -> list[PoolRecord]:
        """Pools of the current configuration, empty if none is known."""
        return [] if self._current is None else list(self._current.pools.values())

    def get(self) -> Configuration:
        """Return the current configuration.

        Raises
        ------
        ConfigurationUnknown
        """
        if self._current is None:
            raise ConfigurationUnknown(
                "no configuration has been received yet", retry_after=_RETRY_SECONDS
            )
        return self._current

    def update(self, configuration: Configuration) -> bool:
        """Make a configuration current unless the current one is as new or newer.

        Returns
        -------
        bool
            Whether the configuration took effect.
        """
        if configuration.version <= self.version:
            return False
        self._current = configuration
        self.route_history.replace(configuration.routes)
        self.on_change(configuration)
        return True
