"""An instance whose connections to peers all fail forwards nothing but trials."""

import pytest

from whinrack.dispatch import (
    ForwardingPeer,
    PeerSelector,
    RequestForwarder,
    Route,
    RouteKind,
    TargetRegistry,
    WeightedPool,
)
from whinrack.dispatch._peer_contact import PeerContact
from whinrack.dispatch.tests.pipeline import Pipeline
from whinrack.exceptions import TargetUnavailable
from whinrack.observability import Event, Metrics

# Connection timeout, seconds.
TIMEOUT = 0.3


def lost_contact(now=0.0):
    contact = PeerContact()
    for number in range(3):
        contact.record_failure(f"peer-{number}", now)
    return contact


def may_connect(contact, now):
    return not contact.is_lost(now) or contact.take_trial(now)


def hold_times(contact, reachable, requests=300, rate=50.0, peers=3):
    """Return the seconds for which each request of a load is held by attempts to reach peers."""
    held, done = [], []
    for number in range(requests):
        arrived = now = number / rate
        for peer in range(peers):
            # Attempts that have ended by now, in order.
            while done and done[0][0] <= now:
                contact.record_failure(done.pop(0)[1], now)
            if reachable or not may_connect(contact, now):
                break
            now += TIMEOUT
            done.append((now, f"peer-{(number + peer) % 20}"))
            done.sort()
        held.append(now - arrived)
    return held


def test_requests_are_refused_at_once_while_no_peer_is_reached():
    held = hold_times(PeerContact(), reachable=False)
    later = held[50:]
    assert sum(seconds > 0 for seconds in later) / len(later) <= 0.1
    assert max(held) <= 3 * TIMEOUT


@pytest.mark.parametrize("failed", [["peer-1"], ["peer-1", "peer-2"], ["peer-1"] * 5])
def test_a_few_failed_peers_do_not_stop_forwarding(failed):
    contact = PeerContact()
    for peer in failed:
        assert not contact.record_failure(peer, 0.0)
    assert not contact.is_lost(0.0)


def test_an_answer_of_any_peer_ends_the_loss():
    contact = lost_contact()
    assert contact.record_answer()
    assert not contact.is_lost(0.0)
    assert not contact.record_answer()


def test_contact_is_tried_soon_after_it_was_lost_and_again():
    contact = lost_contact()
    assert may_connect(contact, 0.0)
    assert not may_connect(contact, 0.4)
    assert may_connect(contact, 0.6)


def test_old_failures_are_forgotten():
    contact = lost_contact()
    assert contact.is_lost(1.0)
    assert not contact.is_lost(2.5)


class ManyPeers(PeerSelector):
    """Peers that are all said to reach the pool."""

    def __init__(self):
        self.declined = []

    def candidates(self, pool, needs_version=False, needs_answer=False):
        untried = [f"peer-{n}" for n in range(50) if f"peer-{n}" not in self.declined]
        return [ForwardingPeer(name, ("127.0.0.1", 1)) for name in untried]

    def record_declined(self, peer):
        self.declined.append(peer.name)


class DeadLink:
    """Connections that can't be opened."""

    def __init__(self):
        self.attempts = 0

    def acquire(self, address, deadline):
        self.attempts += 1
        raise TargetUnavailable("connection to the target: timed out")


def test_requests_are_refused_as_not_run_without_further_connections(monkeypatch):
    events = []
    monkeypatch.setattr(
        "whinrack.dispatch._forwarding.log_event", lambda event, **fields: events.append(event)
    )
    registry, link = TargetRegistry(seed=1), DeadLink()
    for name in ("is_lost", "is_loss_confirmed"):
        monkeypatch.setattr(registry.reachability, name, lambda pool: True)
    monkeypatch.setattr(registry.reachability, "take_trial", lambda pool: False)
    route = Route(
        name="r",
        host="h",
        path_prefix="/",
        kind=RouteKind.REPEATABLE,
        timeout=5.0,
        weighted_pools=(WeightedPool("p"),),
        is_public=True,
    )
    forwarder = RequestForwarder(link, ManyPeers(), Metrics(), lambda address, size: None)
    pipeline = Pipeline(route, registry, connections=None, forwarder=forwarder)
    refusals = [pipeline.handle() for _ in range(20)]
    assert {(refusal.code, refusal.outcome) for refusal in refusals} == {
        ("target_unavailable", "not_run")
    }
    # Three failures, and the first trial.
    assert link.attempts == 4
    assert events == [Event.PEERS_LOST]
