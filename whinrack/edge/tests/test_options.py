"""Options that can change in a running process."""

import msgspec

from whinrack.edge import EdgeOptions
from whinrack.edge._options import reload_options

OLD = EdgeOptions(
    name="m",
    data_hall="h",
    callers=("127.0.0.1", 1),
    directory=None,
    ready=None,
    gossip=("127.0.0.1", 2),
)


def test_unchanged_options_change_nothing():
    reloaded = reload_options(OLD, OLD)
    assert (reloaded.options, reloaded.changed, reloaded.after_restart) == (OLD, (), ())


def test_reloadable_options_apply_at_once_and_the_others_after_a_restart():
    read = msgspec.structs.replace(
        OLD, retry_slack=7.0, seeds=(("127.0.0.3", 2),), callers=("127.0.0.1", 9)
    )
    reloaded = reload_options(OLD, read)
    assert reloaded.changed == ("retry_slack", "seeds")
    assert reloaded.after_restart == ("callers",)
    assert reloaded.options == msgspec.structs.replace(
        OLD, retry_slack=7.0, seeds=(("127.0.0.3", 2),)
    )
