"""Reloading of settings in a running process."""

import contextlib
from collections.abc import Callable

import eventlet

from whinrack.edge._options import EdgeOptions, ReloadedOptions, reload_options
from whinrack.exceptions import InvalidSettings
from whinrack.observability import Event, log_event

__all__ = ["SettingsFollower"]

# Interval at which the settings are read without a signal.
_POLL_SECONDS = 5.0


class SettingsFollower:
    """Rereads the settings and applies the options that need no restart.

    Parameters
    ----------
    options : EdgeOptions
        Options in force at the start.
    read : callable
        Reads the settings and returns the `EdgeOptions`; raises `InvalidSettings`.
    apply : callable
        Called with the changed `EdgeOptions`.
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
        """Apply changed settings; log invalid ones and keep the current options."""
        try:
            read = self.read()
        except InvalidSettings as error:
            log_event(Event.SETTINGS_INVALID, error=error.message)
            return
        self._apply_reloaded(reload_options(self.options, read))

    def follow(self) -> None:
        """Poll the settings for changes until the process ends."""
        while True:
            eventlet.sleep(_POLL_SECONDS)
            # Invalid settings are logged only when a signal requests a reload.
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
