"""Settings that change while the process runs."""

import contextlib
from collections.abc import Callable

import eventlet

from whinrack.edge._options import EdgeOptions, ReloadedOptions, reload_options
from whinrack.exceptions import InvalidSettings
from whinrack.observability import Event, log_event

__all__ = ["SettingsFollower"]

# How often the settings are read without a signal.
_POLL_SECONDS = 5.0


class SettingsFollower:
    """Reads the settings again and passes on what comes into force without a restart.

    Parameters
    ----------
    options : EdgeOptions
        Those in force at the start.
    read : callable
        Reads the settings and returns the `EdgeOptions`; raises `InvalidSettings`.
    apply : callable
        Called with the `EdgeOptions` that are in force from now on.
    """

    def __init__(
        self,
        options: EdgeOptions,
        read: Callable[[], EdgeOptions],
        apply: Callable[[EdgeOptions], None],
    ):
        self.options = options
        self.read = read
        self.apply = apply

    def reload(self) -> None:
        """Put changed settings in force; invalid ones change nothing."""
        try:
            read = self.read()
        except InvalidSettings as error:
            log_event(Event.SETTINGS_INVALID, error=error.message)
            return
        self._apply_reloaded(reload_options(self.options, read))

    def follow(self) -> None:
        """Notice changes that no signal told, for ever."""
        while True:
            eventlet.sleep(_POLL_SECONDS)
            # Invalid settings are logged when a signal asks for them.
            with contextlib.suppress(InvalidSettings):
                reloaded = reload_options(self.options, self.read())
                if reloaded.changed:
                    self._apply_reloaded(reloaded)

    def _apply_reloaded(self, reloaded: ReloadedOptions) -> None:
        self.options = reloaded.options
        self.apply(reloaded.options)
        log_event(
            Event.SETTINGS_RELOADED,
            changed=",".join(reloaded.changed) or "nothing",
            after_restart=",".join(reloaded.after_restart) or "nothing",
        )
