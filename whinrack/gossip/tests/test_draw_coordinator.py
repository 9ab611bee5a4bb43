"""Tests of the choice of the writer of an account, and of writers that do not reply."""

import eventlet
import pytest
from returns.result import Failure, Success

from whinrack.budgets import (
    AccountBackend,
    DrawOrder,
    DrawResult,
    ReleasedRow,
    RestartTime,
    RunRelease,
)
from whinrack.exceptions import Conflict, PlatformUnavailable
from whinrack.gossip import (
    DrawAccepted,
    DrawCoordinator,
    DrawReply,
    DrawRequest,
    Heartbeat,
    PeerAddress,
    PeerState,
    PeerTable,
    ReleaseReply,
    ReleaseRequest,
)

ORDERS = [DrawOrder(account="a", budget="b", holder="m1.1", sequence=1, need=5)]


RELEASE = RunRelease("m1.2", RestartTime(1.0, 2.0, 3.5), ["m1.1"])
ROW = ReleasedRow(budget="b", written_off=1, freed=2, seconds=0.5)


class Books(AccountBackend):
    def __init__(self):
        self.written = []

    def release_runs(self, account, release):
        self.written.append(release)
        return Success([ROW])

    def draw_for_holder(self, orders):
        self.written.append(orders)
        return Success({"b": DrawResult(sequence=1, drawn=5)})


class Link:
    """Link that records messages and passes them to `deliver` if it is set."""

    def __init__(self):
        self.sent = []
        self.deliver = None

    def send(self, message, address):
        self.sent.append(message)
        if self.deliver is not None:
            eventlet.spawn_n(self.deliver, message)


HIGH_BANDWIDTH, LOW_BANDWIDTH = 100.0, 5.0


def beat(name, **changes):
    fields = {"incarnation": f"{name}.1", "sequence": 1, "sender": PeerAddress(name, name, 1)}
    fields |= {"callers": "", "data_hall": "", "ready": True, "store_answers": True}
    fields |= {"bandwidth": HIGH_BANDWIDTH, "store_confirmed": True}
    return Heartbeat(state=PeerState(**fields | {"load": 0, "configuration": 1} | changes))


def start_coordinator(books, link, peers):
    own_state = lambda: beat("m1", bandwidth=HIGH_BANDWIDTH).state  # noqa: E731
    return DrawCoordinator("m1", own_state, books, link, peers, accept_timeout=0.05)


@pytest.fixture
def world(monkeypatch):
    """Return the coordinator of m1; a peer m0 would be the account's writer."""
    monkeypatch.setattr("whinrack.gossip._draw_coordinator.steady", lambda: 0.0)
    monkeypatch.setattr(
        "whinrack.gossip._draw_coordinator.rendezvous_order", lambda key, names: sorted(names)
    )
    peers, link, books = PeerTable("m1", 1.0, 10.0), Link(), Books()
    return start_coordinator(books, link, peers), peers, link, books


def test_writer_writes_for_other_instances(world):
    coordinator, peers, link, books = world
    peers.record_heartbeat(beat("m0"), 0.0)
    link.deliver = lambda request: coordinator.handle_reply(
        DrawReply(request.request_id, {"b": DrawResult(drawn=9)})
    )
    assert coordinator.draw_for_holder(ORDERS).unwrap()["b"].drawn == 9
    assert books.written == []


def test_writer_that_does_not_reply_is_avoided_and_the_instance_writes_by_itself(world):
    coordinator, peers, link, books = world
    peers.record_heartbeat(beat("m0"), 0.0)
    assert coordinator.draw_for_holder(ORDERS).unwrap()["b"].drawn == 5
    coordinator.draw_for_holder(ORDERS)
    assert (len(link.sent), len(books.written)) == (1, 2)


def test_second_writer_is_asked_before_an_instance_writes_by_itself(world):
    coordinator, peers, link, books = world
    peers.record_heartbeat(beat("m00"), 0.0)
    peers.record_heartbeat(beat("m01"), 0.0)

    def only_the_second_replies(request):
        if len(link.sent) > 1:
            coordinator.handle_reply(DrawReply(request.request_id, {"b": DrawResult(drawn=9)}))

    link.deliver = only_the_second_replies
    assert coordinator.draw_for_holder(ORDERS).unwrap()["b"].drawn == 9
    assert books.written == []


@pytest.mark.parametrize("changes", [{"store_confirmed": False}, {"ready": False}])
def test_instance_without_the_store_or_stopping_is_no_writer(world, changes):
    coordinator, peers, link, _ = world
    peers.record_heartbeat(beat("m0", **changes), 0.0)
    coordinator.draw_for_holder(ORDERS)
    assert link.sent == []


def test_late_reply_is_dropped(world):
    coordinator, *_ = world
    coordinator.handle_reply(DrawReply(77, {}))


def test_reply_to_an_earlier_process_is_not_taken_for_its_own(world):
    """Guards against tokens that a process takes for its own after a restart."""
    earlier, peers, link, books = world
    peers.record_heartbeat(beat("m0"), 0.0)
    earlier.draw_for_holder(ORDERS)
    late = DrawReply(link.sent[0].request_id, {"b": DrawResult(drawn=9)})
    coordinator = start_coordinator(books, link, peers)
    link.deliver = lambda request: coordinator.handle_reply(late)
    assert coordinator.draw_for_holder(ORDERS).unwrap()["b"].drawn == 5


def slow_writer(coordinator, link, seconds, books):
    """Simulate a writer that accepts requests at once and replies after some seconds."""

    def deliver(request):
        coordinator.handle_acceptance(DrawAccepted(request.request_id))
        eventlet.sleep(seconds)
        coordinator.handle_reply(DrawReply(request.request_id, books))

    link.deliver = deliver


def test_accepted_request_waits_for_a_writer_with_a_slow_store(world):
    coordinator, peers, link, books = world
    peers.record_heartbeat(beat("m0"), 0.0)
    slow_writer(coordinator, link, 0.2, {"b": DrawResult(drawn=9)})
    assert coordinator.draw_for_holder(ORDERS).unwrap()["b"].drawn == 9
    assert books.written == []


def test_writer_whose_write_failed_is_avoided(world):
    coordinator, peers, link, books = world
    peers.record_heartbeat(beat("m0"), 0.0)
    slow_writer(coordinator, link, 0.0, None)
    assert coordinator.draw_for_holder(ORDERS).unwrap()["b"].drawn == 5
    coordinator.draw_for_holder(ORDERS)
    assert (len(link.sent), len(books.written)) == (1, 2)


def test_writer_accepts_before_it_writes_and_reports_a_failure(world):
    coordinator, _, link, books = world
    books.draw_for_holder = lambda orders: Failure(PlatformUnavailable("down"))
    coordinator.handle_draw_request(DrawRequest(3, ORDERS), ("m1", 1))
    assert link.sent == [DrawAccepted(3), DrawReply(3, None)]


def test_instance_with_low_bandwidth_does_not_write_for_others(world):
    coordinator, peers, link, books = world
    peers.record_heartbeat(beat("m0", bandwidth=LOW_BANDWIDTH), 0.0)
    coordinator.draw_for_holder(ORDERS)
    assert (link.sent, books.written) == ([], [ORDERS])


def test_no_instance_writes_concurrently_with_a_slow_writer(world, monkeypatch):
    """Concurrent writes would conflict with those of a slow writer and slow it down further."""
    monkeypatch.setattr("whinrack.gossip._draw_coordinator._WRITE_TIMEOUT_SECONDS", 0.05)
    coordinator, peers, link, books = world
    peers.record_heartbeat(beat("m0"), 0.0)
    slow_writer(coordinator, link, 0.2, {"b": DrawResult(drawn=9)})
    assert isinstance(coordinator.draw_for_holder(ORDERS), Failure)
    assert books.written == []


def test_writer_releases_tokens_of_earlier_runs_of_other_instances(world):
    coordinator, peers, link, books = world
    peers.record_heartbeat(beat("m0"), 0.0)
    link.deliver = lambda request: coordinator.handle_reply(ReleaseReply(request.request_id, [ROW]))
    assert coordinator.release_runs("a", RELEASE).unwrap() == [ROW]
    (sent,) = link.sent
    assert sent == ReleaseRequest(sent.request_id, "a", RELEASE)
    assert books.written == []


def test_instance_releases_tokens_by_itself_without_another_writer(world):
    coordinator, _, link, books = world
    assert coordinator.release_runs("a", RELEASE).unwrap() == [ROW]
    assert (link.sent, books.written) == ([], [RELEASE])


def test_writer_reports_what_it_released_for_a_peer(world):
    coordinator, _, link, _ = world
    coordinator.handle_release_request(ReleaseRequest(4, "a", RELEASE), ("m1", 1))
    assert link.sent == [DrawAccepted(4), ReleaseReply(4, [ROW])]


def all_write_after_an_outage(world, replies):
    """Return the result of a write from here that meets a conflict as a peer becomes known."""
    coordinator, peers, link, books = world
    superseded = []
    link.deliver = lambda request: coordinator.handle_reply(DrawReply(request.request_id, replies))

    def write(orders):
        peers.record_heartbeat(beat("m0"), 0.0)
        superseded.append(coordinator.is_superseded("a"))
        if superseded[-1]:
            return Failure(Conflict("changed"))
        return Success({"b": DrawResult(sequence=1, drawn=5)})

    books.draw_for_holder = write
    return coordinator.draw_for_holder(ORDERS).unwrap()["b"].drawn, superseded


def test_write_that_met_a_conflict_gives_way_to_a_writer_known_since(world):
    assert all_write_after_an_outage(world, {"b": DrawResult(drawn=9)}) == (9, [True])


def test_write_that_gave_way_in_vain_is_made_from_here(world):
    assert all_write_after_an_outage(world, None) == (5, [True, False])


@pytest.mark.parametrize(("is_relayed", "drawn"), [(False, 9), (True, 5)])
def test_asked_instance_relays_once_to_the_writer_after_a_conflict(world, is_relayed, drawn):
    coordinator, peers, link, books = world
    peers.record_heartbeat(beat("m0"), 0.0)

    def deliver(message):
        if isinstance(message, DrawRequest):
            assert message.is_relayed
            coordinator.handle_reply(DrawReply(message.request_id, {"b": DrawResult(drawn=9)}))

    link.deliver = deliver
    books.draw_for_holder = lambda orders: (
        Failure(Conflict("changed"))
        if coordinator.is_superseded("a")
        else Success({"b": DrawResult(drawn=5)})
    )
    coordinator.handle_draw_request(DrawRequest(3, ORDERS, is_relayed), ("m2", 1))
    assert link.sent[-1] == DrawReply(3, {"b": DrawResult(drawn=drawn)})
