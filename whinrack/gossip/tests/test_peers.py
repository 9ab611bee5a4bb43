"""Tests of the peer table under direct and passed-on heartbeats."""

import random

import msgspec

from whinrack.gossip import Heartbeat, PeerAddress, PeerState, PeerTable


def state(name="b", run="1", sequence=1, ready=True, port=9, serving=False, data_hall="h"):
    return PeerState(
        incarnation=f"{name}.{run}",
        sequence=sequence,
        sender=PeerAddress(name, "127.0.0.1", port),
        callers=f"{name}:80",
        data_hall=data_hall,
        ready=ready,
        store_answers=True,
        load=0,
        configuration=1,
        serving=serving,
    )


def beat(peers=(), passed_on=(), ages=None, number=None, **fields):
    own = state(**fields)
    return Heartbeat(
        state=own,
        number=own.sequence if number is None else number,
        peers=list(peers),
        passed_on=list(passed_on),
        ages={} if ages is None else ages,
    )


def of_age(age, *states):
    """Return the heartbeat fields that pass on states heard `age` hundredths of a second ago."""
    return {"passed_on": list(states), "ages": {each.digest: age for each in states}}


def table():
    return PeerTable("a", silent_seconds=1.0, forget_seconds=10.0)


def addresses_of(peers, now):
    """Return all receivers of the next heartbeat."""
    receivers = peers.next_receivers(now)
    return [*receivers.own_hall, *receivers.other_halls]


def names(views):
    return [view.state.sender.name for view in views]


def test_peer_is_live_until_the_silence_timeout():
    peers = table()
    assert peers.record_heartbeat(beat(), 0.0)
    assert names(peers.live_peers(1.0)) == ["b"]
    assert peers.live_peers(1.1) == []
    assert peers.count_live_instances(1.1) == 1


def test_instance_is_not_a_peer_of_itself():
    assert not table().record_heartbeat(beat(name="a"), 0.0)


def test_outdated_heartbeats_change_nothing():
    peers = table()
    peers.record_heartbeat(beat(sequence=5, ready=False), 0.0)
    assert not peers.record_heartbeat(beat(sequence=4), 0.5)
    assert peers.ready(0.5) == []
    assert peers.live_peers(1.2) == []


def test_new_run_replaces_the_old_one_though_its_numbers_start_again():
    peers = table()
    peers.record_heartbeat(beat(sequence=50), 0.0)
    assert peers.record_heartbeat(beat(run="2", sequence=1), 0.1)
    assert [view.state.incarnation for view in peers.live_peers(0.1)] == ["b.2"]


def test_only_ready_peers_are_offered_to_callers():
    peers = table()
    peers.record_heartbeat(beat(), 0.0)
    peers.record_heartbeat(beat(name="c", ready=False, port=10), 0.0)
    assert names(peers.ready(0.0)) == ["b"]


def test_heartbeats_go_to_addresses_learned_from_peers():
    peers = table()
    peers.record_heartbeat(beat(peers=[PeerAddress("c", "127.0.0.2", 9)]), 0.0)
    assert set(addresses_of(peers, 0.0)) == {("127.0.0.1", 9), ("127.0.0.2", 9)}


def test_addresses_without_heartbeats_are_removed():
    peers = table()
    peers.add_addresses([("127.0.0.3", 9)], 0.0)
    assert addresses_of(peers, 9.0) == [("127.0.0.3", 9)]
    assert addresses_of(peers, 11.0) == []


def large_table(seed=1, size=30):
    """Return a table with enough peers that the fleet is not a full mesh."""
    peers = PeerTable("a", silent_seconds=1.0, forget_seconds=10.0, seed=seed)
    for number in range(size):
        peers.record_heartbeat(beat(name=f"p{number}", port=number), 0.0)
    return peers


def test_passed_on_states_do_not_make_peers_live_in_a_full_mesh():
    peers = table()
    peers.record_heartbeat(beat(**of_age(10, state(name="c", port=10))), 0.0)
    assert names(peers.live_peers(0.0)) == ["b"]
    assert ("127.0.0.1", 10) in addresses_of(peers, 0.0)
    assert (peers.take_states_to_pass_on(0.0), peers.ages(0.0)) == ([], {})


def view_of(peers, name, now):
    (view,) = [view for view in peers.live_peers(now) if view.state.sender.name == name]
    return view


def test_passed_on_states_make_peers_live_in_a_large_fleet():
    peers = large_table()
    peers.record_heartbeat(
        beat(name="p0", port=0, sequence=2, **of_age(50, state(name="c", port=99))), 1.0
    )
    assert view_of(peers, "c", 1.0).heard_at == 0.5


def test_one_heartbeat_with_all_states_is_enough_to_know_a_large_fleet():
    peers = table()
    others = [state(name=f"p{number}", port=number) for number in range(20)]
    peers.record_heartbeat(beat(**of_age(10, *others)), 0.0)
    assert len(peers.live_peers(0.0)) == 21
    assert not peers.is_full_mesh


def test_ages_increase_when_passed_on():
    peers = large_table()
    peers.record_heartbeat(beat(name="p0", port=0, sequence=2), 2.0)
    ages = peers.ages(2.5)
    assert ages.pop(state(name="p0").digest) == 50
    assert set(ages.values()) == {250}


def test_reported_age_keeps_a_known_peer_live():
    peers = large_table()
    known = {state(name="p3").digest: 10}
    peers.record_heartbeat(beat(name="p0", port=0, sequence=2, ages=known), 4.5)
    assert sorted(names(peers.live_peers(5.0))) == ["p0", "p3"]
    assert not peers.pop_missing_states_flag()


def test_reported_age_of_an_unknown_run_marks_its_state_as_missing():
    peers = large_table()
    peers.record_heartbeat(beat(name="p0", port=0, sequence=2, ages={1234: 10}), 0.5)
    assert peers.pop_missing_states_flag()
    assert not peers.pop_missing_states_flag()


def test_reported_ages_of_own_runs_do_not_count_as_missing_states():
    """Peers also report ages of the receiving instance itself and of its earlier run."""
    peers = large_table()
    own = [state(name="a", run=run, port=90) for run in ("1", "2")]
    ages = {each.digest: 10 for each in own}
    peers.record_heartbeat(beat(name="p0", port=0, sequence=2, passed_on=own, ages=ages), 0.5)
    peers.pop_missing_states_flag()
    peers.record_heartbeat(beat(name="p0", port=0, sequence=3, ages=ages), 1.0)
    assert not peers.pop_missing_states_flag()


def test_instances_that_know_all_peers_request_states_at_most_once():
    first, second = (PeerTable(name, 1.0, 10.0, seed=1) for name in ("p0", "p1"))
    for peers in (first, second):
        for number in range(30):
            peers.record_heartbeat(beat(name=f"p{number}", port=number), 0.0)
    asked = 0
    for turn in range(1, 10):
        now = turn * 0.1
        for asker, answerer, number in ((first, second, 1), (second, first, 0)):
            message = _beat_of(answerer, number, 2 * turn, now)
            asker.record_heartbeat(message, now)
            if asker.pop_missing_states_flag():
                asked += 1
                asker.record_heartbeat(
                    _beat_of(answerer, number, 2 * turn + 1, now, whole=True), now
                )
                asker.pop_missing_states_flag()
    assert asked <= 2


def test_silent_peer_is_not_kept_live_by_passed_on_ages():
    """Two instances that report the age of a third to each other must not refresh it."""
    first, second = large_table(seed=1), large_table(seed=2)
    for turn in range(1, 40):
        now = turn * 0.2
        first.record_heartbeat(beat(name="x", port=70, sequence=turn, ages=second.ages(now)), now)
        second.record_heartbeat(beat(name="y", port=71, sequence=turn, ages=first.ages(now)), now)
    assert set(names(first.live_peers(8.0))) <= {"x", "y"}


def test_older_run_reported_late_does_not_replace_a_newer_one():
    peers = large_table()
    peers.record_heartbeat(beat(name="p0", port=0, run="2", sequence=1), 1.0)
    late = state(name="p0", port=0, run="1", sequence=9)
    peers.record_heartbeat(beat(name="p1", port=1, sequence=2, **of_age(30, late)), 1.1)
    assert view_of(peers, "p0", 1.1).state.incarnation == "p0.2"


def test_state_is_passed_on_a_few_times_and_again_after_a_change():
    peers = large_table(size=20)
    for _ in range(4):
        assert len(peers.take_states_to_pass_on(0.0)) == 20
    assert peers.take_states_to_pass_on(0.0) == []
    peers.record_heartbeat(beat(name="p7", port=7, sequence=2, ready=False), 0.1)
    (changed,) = peers.take_states_to_pass_on(0.1)
    assert (changed.sender.name, changed.ready) == ("p7", False)


def test_heartbeats_of_a_large_fleet_go_to_all_peers_in_turn():
    peers = large_table()
    rounds = [addresses_of(peers, 0.0) for _ in range(5)]
    assert all(len(targets) <= 8 for targets in rounds)
    assert len({address for targets in rounds for address in targets}) == 30


def test_some_addresses_without_a_known_instance_are_tried():
    peers = large_table()
    unheard = [("127.0.0.9", port) for port in range(5)]
    peers.add_addresses(unheard, 0.0)
    tried = [address for address in addresses_of(peers, 0.0) if address in unheard]
    assert len(tried) == 2


def test_work_is_shared_by_serving_instances_in_a_large_fleet_and_by_all_in_a_small_one():
    small, large = table(), large_table()
    small.record_heartbeat(beat(), 0.0)
    assert small.count_sharing_instances(0.0) == 2
    assert large.count_sharing_instances(0.0) == 1
    large.record_heartbeat(beat(name="p0", port=0, sequence=2, serving=True), 0.1)
    assert large.count_sharing_instances(0.1) == 2


def halls_of(peers, addresses, now):
    halls = {view.state.sender.address: view.state.data_hall for view in peers.live_peers(now)}
    return [halls[address] for address in addresses]


def fleet_in_halls(halls=5, of_each=20):
    """Return a table that knows all instances of a fleet in several data halls."""
    peers = PeerTable("a", 1.0, 10.0, seed=1, data_hall="h0")
    for number in range(halls * of_each):
        peers.record_heartbeat(
            beat(name=f"p{number}", port=number, data_hall=f"h{number % halls}"), 0.0
        )
    return peers


def test_most_heartbeats_of_a_large_fleet_stay_in_the_data_hall():
    peers = fleet_in_halls()
    for _ in range(40):
        receivers = peers.next_receivers(0.0)
        assert halls_of(peers, receivers.own_hall, 0.0) == ["h0"] * 5
        assert len(receivers.other_halls) == 1
        assert "h0" not in halls_of(peers, receivers.other_halls, 0.0)


def test_all_other_halls_get_heartbeats_in_turn():
    peers = fleet_in_halls(of_each=10)
    receivers = [address for _ in range(40) for address in peers.next_receivers(0.0).other_halls]
    assert len(set(receivers)) == 40


def test_only_instance_of_a_hall_sends_all_heartbeats_to_other_halls():
    peers = PeerTable("a", 1.0, 10.0, seed=1, data_hall="h0")
    for number in range(30):
        peers.record_heartbeat(beat(name=f"p{number}", port=number, data_hall="h1"), 0.0)
    receivers = peers.next_receivers(0.0)
    assert (len(receivers.own_hall), len(receivers.other_halls)) == (0, 6)


def test_all_heartbeats_stay_in_the_only_hall():
    peers = PeerTable("a", 1.0, 10.0, seed=1, data_hall="h")
    for number in range(30):
        peers.record_heartbeat(beat(name=f"p{number}", port=number), 0.0)
    receivers = peers.next_receivers(0.0)
    assert (len(receivers.own_hall), len(receivers.other_halls)) == (6, 0)


def test_heartbeats_to_another_hall_cover_the_own_hall_only():
    peers = fleet_in_halls()
    assert len(peers.ages(0.0)) == 100
    assert len(peers.ages(0.0, own_hall_only=True)) == 20
    included = peers.own_hall_only(peers.live_states(0.0))
    assert {state.data_hall for state in included} == {"h0"}


def test_states_reach_all_of_a_large_fleet_within_a_few_rounds():
    """All of eighty instances must become live at each other within nine rounds and stay so."""
    size = 80
    tables = [
        PeerTable(f"p{number}", silent_seconds=0.9, forget_seconds=60.0, seed=number)
        for number in range(size)
    ]
    by_address = {("127.0.0.1", number): table for number, table in enumerate(tables)}
    for peers in tables:
        peers.add_addresses([("127.0.0.1", 0), ("127.0.0.1", 1)], 0.0)
    fewest_live = []
    for turn in range(1, 16):
        now = turn * 0.5
        for number, peers in enumerate(tables):
            message = _beat_of(peers, number, 2 * turn, now)
            for address in addresses_of(peers, now):
                receiver, receiver_number = by_address[address], address[1]
                if receiver.record_heartbeat(message, now) or message.requests_states:
                    # An unknown sender gets an immediate answer.
                    peers.record_heartbeat(
                        _beat_of(receiver, receiver_number, 2 * turn + 1, now, whole=True), now
                    )
        fewest_live.append(min(peers.count_live_instances(now) for peers in tables))
    assert fewest_live[8] == size
    assert min(fewest_live[8:]) == size


def test_changed_state_reaches_every_instance_of_a_large_fleet():
    """Each instance passes a state on only a few times; the change must still reach all."""
    size = 87
    tables = [PeerTable(f"p{n}", 1.0, 60.0, seed=n) for n in range(size)]
    by_address = {("127.0.0.1", n): peers for n, peers in enumerate(tables)}
    for number, peers in enumerate(tables):
        for other in range(size):
            if other != number:
                peers.record_heartbeat(beat(name=f"p{other}", port=other), 0.0)
        for _ in range(4):
            peers.take_states_to_pass_on(0.0)
    for turn in range(1, 11):
        now = turn * 0.5
        for number, peers in enumerate(tables):
            message = _beat_of(peers, number, 2 * turn, now)
            ready = number != 0
            own = msgspec.structs.replace(message.state, sequence=1 if ready else 2, ready=ready)
            message = msgspec.structs.replace(message, state=own)
            for address in addresses_of(peers, now):
                by_address[address].record_heartbeat(message, now)
    behind = [n for n in range(1, size) if view_of(tables[n], "p0", 5.0).state.ready]
    assert behind == []


def _beat_of(peers, number, turn, now, whole=False):
    message = beat(
        name=f"p{number}",
        port=number,
        number=turn,
        data_hall=peers.data_hall or "h",
        peers=peers.live_addresses(now),
        passed_on=peers.live_states(now) if whole else peers.take_states_to_pass_on(now),
        ages=peers.ages(now),
    )
    return msgspec.structs.replace(message, requests_states=peers.pop_missing_states_flag())


def test_all_instances_stay_live_across_halls_with_lost_datagrams():
    """Heartbeats to other halls cover the own hall only, and one datagram in twenty is lost.

    All of a hundred instances in five halls must become live at each other and stay so.
    """
    size, halls = 100, 5
    loss = random.Random(1)
    tables = [PeerTable(f"p{n}", 0.9, 60.0, seed=n, data_hall=f"h{n % halls}") for n in range(size)]
    for peers in tables:
        peers.add_addresses([("127.0.0.1", 0), ("127.0.0.1", 1), ("127.0.0.1", 2)], 0.0)
    fewest_live = []
    for turn in range(1, 31):
        now = turn * 0.5
        for number in range(size):
            for address, message in _messages(tables[number], number, 2 * turn, now):
                if loss.random() < 0.05 or address[1] == number:
                    continue
                receiver = tables[address[1]]
                if receiver.record_heartbeat(message, now) or message.requests_states:
                    whole = _beat_of(receiver, address[1], 2 * turn + 1, now, whole=True)
                    tables[number].record_heartbeat(whole, now)
        fewest_live.append(min(peers.count_live_instances(now) for peers in tables))
    assert fewest_live[7] == size
    assert min(fewest_live[7:]) == size


def _messages(peers, number, turn, now):
    """Return the receivers and heartbeats of an instance in one round."""
    message = _beat_of(peers, number, turn, now)
    brief = msgspec.structs.replace(
        message,
        passed_on=peers.own_hall_only(message.passed_on),
        ages=peers.ages(now, own_hall_only=True),
    )
    receivers = peers.next_receivers(now)
    own_hall = [(address, message) for address in receivers.own_hall]
    return own_hall + [(address, brief) for address in receivers.other_halls]


def test_ended_instance_is_soon_offered_by_no_other_instance():
    """Passed-on ages must not keep an ended instance among the ready peers.

    Of eighty instances one ends and another one restarts a second later, which learns all states
    from the others. No instance may offer the ended one after seven seconds: about four seconds
    of silence timeout and three more.
    """
    size, ended, restarted = 80, 5, 6
    tables = [PeerTable(f"p{n}", 0.9, 60.0, seed=n) for n in range(size)]
    for number, peers in enumerate(tables):
        for other in range(size):
            if other != number:
                peers.record_heartbeat(beat(name=f"p{other}", port=other), 0.0)
    for turn in range(1, 15):
        now = turn * 0.5
        if turn == 2:
            tables[restarted] = PeerTable(f"p{restarted}", 0.9, 60.0, seed=99)
            tables[restarted].add_addresses([("127.0.0.1", 0)], now)
        for number, peers in enumerate(tables):
            if number == ended:
                continue
            message = _beat_of(peers, number, 2 * turn, now)
            for address in addresses_of(peers, now):
                receiver, receiver_number = tables[address[1]], address[1]
                if receiver_number == ended:
                    continue
                if receiver.record_heartbeat(message, now) or message.requests_states:
                    peers.record_heartbeat(
                        _beat_of(receiver, receiver_number, 2 * turn + 1, now, whole=True), now
                    )
    offering = [
        number
        for number, peers in enumerate(tables)
        if number != ended and f"p{ended}" in {view.state.sender.name for view in peers.ready(now)}
    ]
    assert offering == []
    assert len(tables[restarted].ready(now)) == size - 2
