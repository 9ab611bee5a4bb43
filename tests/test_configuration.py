"""Configuration reaches every router within seconds, and its version never decreases."""

import json
import threading
import time

import pytest

from tests.support import FAST_SETTINGS, run_in_parallel, start_fleet, wait_until


@pytest.fixture
def fleet():
    with start_fleet(engines=(), services=("s1",)) as started:
        yield started


def config_version(fleet, router, name="Workspace/w"):
    return fleet.status(router)["versions"][name]


def stored_version(fleet):
    return fleet.platform.json("GET", "/v1/objects/Workspace/w")["version"]


def test_a_change_is_in_force_at_all_routers_within_two_seconds(fleet):
    seconds = []
    for number in range(10):
        state = ("false_refusals", "overspend")[number % 2]
        began = time.monotonic()
        fleet.put_object("Workspace", "w", {"weighting": state})
        fleet.wait_for_config()
        seconds.append(time.monotonic() - began)
    assert max(seconds) < 2.0


def test_versions_never_decrease_while_watches_lag(fleet):
    fleet.platform.set_faults(watch_lag=0.5)
    observed_versions = {router.name: [] for router in fleet.routers}
    ended = threading.Event()

    def follow(router):
        while not ended.is_set():
            observed_versions[router.name].append(config_version(fleet, router))

    followers = [threading.Thread(target=follow, args=(router,)) for router in fleet.routers]
    for follower in followers:
        follower.start()
    for number in range(20):
        fleet.put_object(
            "Workspace", "w", {"weighting": ("false_refusals", "overspend")[number % 2]}
        )
        fleet.platform.set_faults(watch_lag=(0.5, 0.0)[number % 2])
        time.sleep(0.03)
    fleet.wait_for_config()
    ended.set()
    for follower in followers:
        follower.join()
    for versions in observed_versions.values():
        assert versions == sorted(versions)
        assert versions[-1] == stored_version(fleet)


def test_a_restart_without_disk_or_platform_gets_its_configuration_from_peers(fleet):
    version = stored_version(fleet)
    fleet.platform.set_faults(down=True)
    fleet.routers[0].kill()
    restarted = fleet.start_router("router-1")
    assert config_version(fleet, restarted) == version
    assert fleet.caller.post(restarted).status == 200


def test_a_missed_change_is_fetched_from_peers_during_an_outage(fleet):
    fleet.routers[1].pause()
    fleet.put_object("Workspace", "w", {"weighting": "false_refusals"})
    fleet.platform.set_faults(down=True)
    fleet.routers[1].resume()
    # The platform is unavailable, so the router can fetch the change from its peers only.
    wait_until(
        lambda: config_version(fleet, fleet.routers[0]) == read_stored_version_during_outage(fleet)
    )
    wait_until(
        lambda: config_version(fleet, fleet.routers[1]) == read_stored_version_during_outage(fleet)
    )


def read_stored_version_during_outage(fleet):
    fleet.platform.set_faults(down=False)
    version = stored_version(fleet)
    fleet.platform.set_faults(down=True)
    return version


def test_concurrent_edits_cause_a_conflict_that_shows_both_versions(fleet, tmp_path):
    text = 'kind = "Workspace"\nname = "w"\n[spec]\nweighting = "false_refusals"\n'
    (tmp_path / "w.toml").write_text(text)
    read = json.loads(fleet.platform.call("GET", "/v1/objects?kinds=Workspace").data)["revision"]
    fleet.put_object("Workspace", "w", {"default_class": "deferrable"})
    result = fleet.run_cli("apply", tmp_path, "--read", read, check=False)
    assert result.returncode == 3
    assert "conflict" in result.stderr
    assert "false_refusals" in result.stderr
    assert "deferrable" in result.stderr


def test_an_invalid_object_leaves_the_last_good_version_in_force(fleet):
    fleet.put_object("TargetPool", "board", {"protocol": "service", "queue_limit": -3})
    fleet.wait_for_config()
    assert fleet.caller.post(fleet.routers[0]).status == 200
    assert "W3002" in fleet.routers[0].log.read_text()


def test_apply_is_idempotent_after_a_lost_reply(fleet, tmp_path):
    (tmp_path / "b.toml").write_text(
        'kind = "Budget"\nname = "c"\n[spec]\nworkspace = "w"\ntopups = [{id = "x", tokens = 70}]\n'
    )
    fleet.platform.set_faults(lose_replies=2)
    for _ in range(2):
        fleet.run_cli("apply", tmp_path)
    shown = json.loads(fleet.run_cli("budget", "show", "c", "--output", "json").stdout)
    assert (shown["limit"], shown["free"]) == (70, 70)


def test_eight_routers_agree_with_two_watchers_a_hall():
    # With a short watch, routers that began to watch before they had heard of their peers soon
    # check whether they still have to.
    settings = {
        "membership": {**FAST_SETTINGS["membership"], "watchers_per_hall": "1"},
        "platform": {"watch_wait": "1"},
    }
    halls = (("south", "a"), ("south", "b"))
    with start_fleet(routers=8, engines=(), halls=halls, settings=settings) as fleet:
        wait_until(lambda: sum(fleet.status(router)["watching"] for router in fleet.routers) == 2)
        change = lambda: fleet.put_object("Workspace", "w", {"weighting": "false_refusals"})  # noqa: E731
        began = time.monotonic()
        run_in_parallel(change)
        fleet.wait_for_config()
        assert time.monotonic() - began < 2.0
