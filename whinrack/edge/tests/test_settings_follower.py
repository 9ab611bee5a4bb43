"""Reloading of settings."""

import msgspec

from whinrack.edge import EdgeOptions
from whinrack.edge._settings_follower import SettingsFollower
from whinrack.exceptions import InvalidSettings

OPTIONS = EdgeOptions(
    name="a",
    data_hall="h",
    callers=("10.0.0.1", 80),
    directory=None,
    ready=None,
    gossip=("10.0.0.1", 7340),
)


def test_only_reloadable_options_are_applied():
    used = []
    read = msgspec.structs.replace(OPTIONS, retry_ratio=0.5, watch_seconds=9.0)
    SettingsFollower(OPTIONS, lambda: read, used.append).reload()
    assert used == [msgspec.structs.replace(OPTIONS, retry_ratio=0.5)]


def test_invalid_settings_change_nothing():
    def read():
        raise InvalidSettings("no number")

    used = []
    follower = SettingsFollower(OPTIONS, read, used.append)
    follower.reload()
    assert used == []
    assert follower.options == OPTIONS
